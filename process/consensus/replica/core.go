// Package replica joins the raft core to the replicated state: a pure core that keeps the group's
// time, answers commands and reads, and an actor that gives it clock, disk and links.
package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Core is one member's agreement and replicated state.
type Core struct {
	config Config
	raft   *raft.Core
	state  *statemachine.State

	appliedIndex         raft.Index
	entriesSinceSnapshot int
	// sizes are those of the entries applied since the last snapshot, bytes their sum.
	entrySizes         []int
	bytesSinceSnapshot int
	proposals          map[raft.Index]proposal
	reads              map[uint64]raft.Index

	// heard is when each member last said something here.
	lastContact map[raft.MemberID]clock.Mark
	// leaving is when each member last said that it stops.
	leaving map[raft.MemberID]clock.Mark

	// timeMark is when, on this machine's clock, the group's time was last seen to rise.
	groupTimeAt clock.Mark
	// began is when this member started, and restored the last entry it found on its disk: whatever stands there was
	// stamped before.
	startedAt    clock.Mark
	lastRestored raft.Index
	wallClock    func() time.Time
	// ledSince is when this member began to lead with all before it applied.
	leaderSince  clock.Mark
	isLeader     bool
	reclaimIndex raft.Index
	// confirmed is up to when a majority has confirmed that this member leads.
	leadership leadershipConfirmation

	digests digestTracker
	// checked is the state read from the snapshot that is being installed.
	validated *statemachine.State
}

// NewCore makes a member from what its disk holds.
func NewCore(config Config, member *raft.Core, snapshot []byte, now clock.Mark, wall func() time.Time) (*Core, error) {
	state, err := statemachine.Restore(snapshot, statemachine.WithLimits(config.HistoryLimits))
	if err != nil {
		return nil, err
	}
	c := &Core{config: config, raft: member, state: state, appliedIndex: member.SnapshotIndex(), groupTimeAt: now, startedAt: now, lastRestored: member.LastIndex(), wallClock: wall,
		proposals: map[raft.Index]proposal{}, reads: map[uint64]raft.Index{}, lastContact: map[raft.MemberID]clock.Mark{}, leaving: map[raft.MemberID]clock.Mark{},
		digests: newDigests(statemachine.DigestSchema(config.Build))}
	member.SetSnapshotCheck(c.validateSnapshot)
	return c, nil
}

// Raft gives the agreement core, for looking only.
func (c *Core) Raft() *raft.Core { return c.raft }

// State gives the replicated state, for looking only.
func (c *Core) State() *statemachine.State { return c.state }

// Step passes an event on to the agreement core.
func (c *Core) Step(now clock.Mark, event raft.Event) Effects {
	if received, ok := event.(raft.Receive); ok {
		c.lastContact[received.Message.From] = now
	}
	effects := c.raft.Step(event)
	out := c.processRaftEffects(now, effects)
	if received, ok := event.(raft.Receive); ok {
		c.handleDigest(received.Message, &out)
	}
	if _, beat := event.(raft.Tick); beat {
		c.reclaimExpiredLeases(now, &out)
	}
	return out
}

// carry applies what was committed and turns raft effects into the replica's.
func (c *Core) processRaftEffects(now clock.Mark, effects raft.Effects) Effects {
	out := Effects{Save: effects.Save, MessagesAfterSave: effects.AfterSync, Messages: effects.Immediate, Notices: effects.Notices}
	if effects.Save != nil && effects.Save.TruncateFrom > 0 && effects.Save.TruncateFrom <= c.lastRestored {
		// What takes the place of entries found on disk may have been stamped at any time since.
		c.lastRestored = effects.Save.TruncateFrom - 1
	}
	specBefore, closuresBefore, leavesBefore := c.state.Version(), c.state.Closures.Version, c.state.Departures
	if effects.InstallSnapshot != nil {
		// It was read by checkSnapshot before the log was given up for it.
		c.state, c.appliedIndex, c.groupTimeAt, c.validated = c.validated, effects.InstallSnapshot.Index, now, nil
		c.digests.reset()
		c.entriesSinceSnapshot, c.entrySizes, c.bytesSinceSnapshot = 0, c.entrySizes[:0], 0
	}
	for _, entry := range effects.Committed {
		c.apply(now, entry, &out)
	}
	for _, read := range effects.ReadStates {
		if !read.OK {
			out.Responses = append(out.Responses, Response{RequestID: read.RequestID, Outcome: NotLeader})
			continue
		}
		c.reads[read.RequestID] = read.Index
	}
	for _, ref := range slices.Sorted(maps.Keys(c.reads)) {
		if c.appliedIndex >= c.reads[ref] {
			out.Responses = append(out.Responses, Response{RequestID: ref, Outcome: Applied, State: c.state})
			delete(c.reads, ref)
		}
	}
	c.updateLeadership(now, &out)
	c.leadership.observe(now, c.raft)
	c.attachDigests(now, out.Messages)
	out.ConfigurationChanged = c.state.Version() != specBefore || c.state.Closures.Version != closuresBefore || c.state.Departures != leavesBefore
	if c.entriesSinceSnapshot >= c.config.CompactEntries || c.config.CompactBytes > 0 && c.bytesSinceSnapshot >= c.config.CompactBytes {
		keep := c.retainedEntries()
		c.entriesSinceSnapshot, c.entrySizes, c.bytesSinceSnapshot = 0, c.entrySizes[:0], 0
		out.merge(c.processRaftEffects(now, c.raft.Step(raft.Compact{Index: c.appliedIndex, Data: c.state.Snapshot(), RetainEntries: keep})))
	}
	return out
}

func (c *Core) apply(now clock.Mark, entry raft.Entry, out *Effects) {
	c.appliedIndex = entry.Index
	c.entriesSinceSnapshot++
	c.entrySizes = append(c.entrySizes, len(entry.Data))
	c.bytesSinceSnapshot += len(entry.Data)
	var result statemachine.Result
	if entry.Kind == raft.EntryCommand {
		before := c.state.Now
		result = c.state.Apply(entry.Data)
		switch {
		case c.state.Now <= before:
		case entry.Index <= c.lastRestored:
			// It was stamped before this member started, however late it is applied: the time since has passed.
			c.groupTimeAt = c.startedAt
		default:
			c.groupTimeAt = now
		}
	}
	if c.digests.due(entry.Index) {
		digest := c.state.Digest()
		c.digests.record(entry.Index, digest.Sum, digest.SnapshotBytes)
	}
	waiting, ok := c.proposals[entry.Index]
	if !ok {
		return
	}
	delete(c.proposals, entry.Index)
	if waiting.requestID == 0 {
		return
	}
	// Another leader's entry in that place means that the command was never committed.
	if waiting.term != entry.Term {
		out.Responses = append(out.Responses, Response{RequestID: waiting.requestID, Outcome: NotLeader})
		return
	}
	out.Responses = append(out.Responses, Response{RequestID: waiting.requestID, Outcome: Applied, Result: result})
}
