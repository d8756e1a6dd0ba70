package replica

import (
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// checkSnapshot reads a leader's snapshot before it takes the place of this member's state.
func (c *Core) validateSnapshot(snapshot raft.Snapshot) error {
	state, err := statemachine.Restore(snapshot.Data, statemachine.WithLimits(c.config.HistoryLimits))
	c.validated = state
	return err
}

// keep is how many entries stay before a snapshot.
func (c *Core) retainedEntries() int {
	if c.config.RetainBytes == 0 {
		return c.config.RetainEntries
	}
	room := c.config.RetainBytes
	for kept := 0; kept < min(c.config.RetainEntries, len(c.entrySizes)); kept++ {
		if room -= c.entrySizes[len(c.entrySizes)-1-kept]; room < 0 {
			return kept
		}
	}
	return c.config.RetainEntries
}
