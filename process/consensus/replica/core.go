package replica

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Core is one member's Raft core and replicated state. It is not safe for concurrent use.
type Core struct {
	config Config
	raft   *raft.Core
	state  *statemachine.State

	appliedIndex raft.Index
	// entriesSinceSnapshot, entrySizes and bytesSinceSnapshot describe the entries applied since the last snapshot: their
	// number, the size of each in bytes, and the sum of these.
	entriesSinceSnapshot int
	entrySizes           []int
	bytesSinceSnapshot   int

	// proposals are the commands that this member proposed as the leader and that are not applied yet, by log index.
	proposals map[raft.Index]proposal
	// reads are the confirmed reads that wait for the state to reach an index, by request.
	reads map[uint64]raft.Index

	// lastContact is when the last message of each member arrived.
	lastContact map[raft.MemberID]clock.Mark
	// leaving is when each member last announced that it shuts down.
	leaving map[raft.MemberID]clock.Mark

	// groupTimeAt is the moment, on this machine's clock, at which the group's time last advanced.
	groupTimeAt clock.Mark
	// startedAt is when this member started, and lastRestored the last entry that it found on its disk: entries up to
	// that one were stamped before the start.
	startedAt    clock.Mark
	lastRestored raft.Index
	wallClock    func() time.Time

	// isLeader says that this member leads and has applied all that was committed before; leaderSince is when it did.
	isLeader    bool
	leaderSince clock.Mark
	// reclaimIndex is the log index of the last reclaim that was proposed; the next one waits until it is applied.
	reclaimIndex raft.Index
	leadership   leadershipConfirmation

	digests digestTracker
	// memberIncarnations is the incarnation of each member's process by its newest reply to a heartbeat of this one.
	memberIncarnations map[raft.MemberID]uint64
	// memberLevels is, at a leader, the feature level that each member last said it understands; proposedLevel is the one
	// that it raises the group to.
	memberLevels  map[raft.MemberID]statemachine.FeatureLevel
	proposedLevel statemachine.FeatureLevel
	// validated is the state read from the leader's snapshot that is about to be installed.
	validated *statemachine.State
}

// NewCore makes a member from what its disk holds: the Raft core restored from the log, and the state of the last
// snapshot. It fails if the snapshot can't be read. wallClock is read once, when the group is new.
func NewCore(config Config, member *raft.Core, snapshot []byte, now clock.Mark, wallClock func() time.Time) (*Core, error) {
	state, err := statemachine.Restore(snapshot, statemachine.WithLimits(config.HistoryLimits))
	if err != nil {
		return nil, err
	}
	if err := state.CheckFeatureLevel(config.FeatureLevel); err != nil {
		return nil, err
	}
	c := &Core{
		config: config, raft: member, state: state, appliedIndex: member.SnapshotIndex(),
		groupTimeAt: now, startedAt: now, lastRestored: member.LastIndex(), wallClock: wallClock,
		proposals: map[raft.Index]proposal{}, reads: map[uint64]raft.Index{},
		lastContact: map[raft.MemberID]clock.Mark{}, leaving: map[raft.MemberID]clock.Mark{},
		memberLevels: map[raft.MemberID]statemachine.FeatureLevel{}, memberIncarnations: map[raft.MemberID]uint64{},
		digests: newDigestTracker(statemachine.DigestSchema(config.Build)),
	}
	member.SetSnapshotCheck(c.validateSnapshot)
	return c, nil
}

// Raft returns the Raft core, for reading only.
func (c *Core) Raft() *raft.Core { return c.raft }

// State returns the replicated state, for reading only.
func (c *Core) State() *statemachine.State { return c.state }

// Step passes an event to the Raft core and performs the leader's periodic duties.
func (c *Core) Step(now clock.Mark, event raft.Event) Effects {
	received, isMessage := event.(raft.Receive)
	if isMessage {
		c.lastContact[received.Message.From] = now
	}
	out := c.processRaftEffects(now, c.raft.Step(event))
	if isMessage {
		c.handleDigest(received.Message, &out)
		c.recordProcess(received.Message)
	}
	if _, isTick := event.(raft.Tick); isTick {
		c.reclaimExpiredLeases(now, &out)
	}
	return out
}

// processRaftEffects applies what was committed and turns the Raft core's effects into the replica's.
func (c *Core) processRaftEffects(now clock.Mark, effects raft.Effects) Effects {
	out := Effects{Save: effects.Save, MessagesAfterSave: effects.AfterSync, Messages: effects.Immediate, Notices: effects.Notices}
	c.noteTruncation(effects.Save)
	before := c.visibleVersions()
	if effects.InstallSnapshot != nil {
		c.installValidated(now, effects.InstallSnapshot.Index)
	}
	for _, entry := range effects.Committed {
		c.apply(now, entry, &out)
	}
	c.queueReads(effects.ReadStates, &out)
	c.answerReads(&out)
	c.updateLeadership(now, &out)
	c.leadership.observe(now, c.raft)
	c.attachDigests(now, out.Messages)
	c.attachProcess(out.Messages)
	if err := c.state.CheckFeatureLevel(c.config.FeatureLevel); err != nil {
		out.Fatal = err
	}
	out.ConfigurationChanged = c.visibleVersions() != before
	if c.compactionDue() {
		out.merge(c.compact(now))
	}
	return out
}

// apply applies one committed entry and answers whoever proposed it here.
func (c *Core) apply(now clock.Mark, entry raft.Entry, out *Effects) {
	c.appliedIndex = entry.Index
	c.entriesSinceSnapshot++
	c.entrySizes = append(c.entrySizes, len(entry.Data))
	c.bytesSinceSnapshot += len(entry.Data)
	var result statemachine.Result
	before := c.state.Now
	if entry.Kind == raft.EntryCommand {
		result = c.state.Apply(entry.Data)
		if c.state.Now > before {
			c.groupTimeAt = c.stampedAt(now, entry.Index)
		}
	}
	if c.digests.due(before, c.state.Now) {
		digest := c.state.Digest()
		c.digests.record(entry.Index, digest.Sum, digest.SnapshotBytes)
	}
	c.answerProposal(entry, result, out)
}

// visibleVersions tell apart the states whose difference is reported as ConfigurationChanged.
type visibleVersions struct {
	configuration, closures ident.Version
	enginesLeft             uint64
}

func (c *Core) visibleVersions() visibleVersions {
	return visibleVersions{configuration: c.state.Version(), closures: c.state.Closures.Version, enginesLeft: c.state.Departures}
}
