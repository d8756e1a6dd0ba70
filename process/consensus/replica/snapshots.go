package replica

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// validateSnapshot reads a leader's snapshot before the Raft core gives up its log for it. Its error has the Raft core
// reject the snapshot.
func (c *Core) validateSnapshot(snapshot raft.Snapshot) error {
	state, err := statemachine.Restore(snapshot.Data, statemachine.WithLimits(c.config.HistoryLimits))
	c.validated = state
	if err != nil {
		return err
	}
	return state.CheckFeatureLevel(c.config.FeatureLevel)
}

// installValidated replaces the state by the one that validateSnapshot read.
func (c *Core) installValidated(now clock.Mark, index raft.Index) {
	c.state, c.appliedIndex, c.groupTimeAt, c.validated = c.validated, index, now, nil
	c.digests.reset()
	c.resetSinceSnapshot()
}

// compactionDue reports whether enough was applied since the last snapshot to take another.
func (c *Core) compactionDue() bool {
	return c.entriesSinceSnapshot >= c.config.CompactEntries ||
		c.config.CompactBytes > 0 && c.bytesSinceSnapshot >= c.config.CompactBytes
}

// compact takes a snapshot of the state and has the Raft core drop the entries before it. Entries that a majority applied
// wrongly alike leave equal digests, so the state is checked by itself: one that contradicts itself could not be restored,
// and the log that led to it is kept.
func (c *Core) compact(now clock.Mark) Effects {
	keep := c.retainedEntries()
	c.resetSinceSnapshot()
	if err := c.state.Validate(); err != nil {
		return Effects{Notices: []raft.Notice{{Kind: raft.NoticeStateInvalid, Peer: c.raft.ID(), Index: c.appliedIndex, Err: err}}}
	}
	return c.processRaftEffects(now, c.raft.Step(raft.Compact{Index: c.appliedIndex, Data: c.state.Snapshot(), RetainEntries: keep}))
}

func (c *Core) resetSinceSnapshot() {
	c.entriesSinceSnapshot, c.entrySizes, c.bytesSinceSnapshot = 0, c.entrySizes[:0], 0
}

// retainedEntries is how many entries are kept before a snapshot: RetainEntries, or as many as RetainBytes allows.
func (c *Core) retainedEntries() int {
	if c.config.RetainBytes == 0 {
		return c.config.RetainEntries
	}
	remaining := c.config.RetainBytes
	for count := 0; count < min(c.config.RetainEntries, len(c.entrySizes)); count++ {
		if remaining -= c.entrySizes[len(c.entrySizes)-1-count]; remaining < 0 {
			return count
		}
	}
	return c.config.RetainEntries
}
