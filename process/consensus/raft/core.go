package raft

import (
	"math/rand/v2"
	"time"
)

// Timing holds the time-outs, in ticks.
type Timing struct {
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// ElectionTicks is the shortest election time-out; each is drawn between this and twice this.
	ElectionTicks int
}

// ElectionTimeout is the shortest election time-out, for ticks of this length.
func (t Timing) ElectionTimeout(tick time.Duration) time.Duration {
	return time.Duration(t.ElectionTicks) * tick
}

// Core is the state of one member; only Step and SetSnapshotCheck change it. It is not safe for concurrent use.
type Core struct {
	id     MemberID
	timing Timing
	random *rand.Rand

	term Term
	vote MemberID
	role Role
	// leader is the known leader of the term, or zero.
	leader  MemberID
	raftLog raftLog
	// commitIndex is the last committed entry, deliveredIndex the last one returned in Effects.Committed. They differ
	// only within a Step.
	commitIndex    Index
	deliveredIndex Index

	// memberships lists the snapshot's membership and all later ones in the log; the last is in force.
	memberships []membershipEntry
	// votes holds the replies of this term's election, or of the pre-vote round: true is granted.
	votes map[MemberID]bool
	// peers holds the progress of every member, this one included; only a leader has it.
	peers map[MemberID]*progress

	// The timers count ticks; become resets them.
	electionElapsed           int
	randomizedElectionTimeout int
	heartbeatElapsed          int
	// diskStalled says that a save has been waiting for too long: the member neither campaigns nor grants pre-votes.
	diskStalled bool

	// heartbeatRound numbers the newest round of heartbeats, pendingReads are those not confirmed by a round yet.
	heartbeatRound uint64
	pendingReads   []pendingRead
	// transferTarget is the voter that leadership is being transferred to, or zero.
	transferTarget  MemberID
	transferElapsed int

	// incoming is the leader's snapshot that is being received, checkSnapshot the driver's check of it.
	incoming      *incomingSnapshot
	checkSnapshot func(Snapshot) error

	// effects collects the result of the present Step.
	effects Effects
}

// New makes a member, as a follower, from its persistent state.
func New(id MemberID, timing Timing, restored PersistentState, random *rand.Rand) *Core {
	c := &Core{id: id, timing: timing, random: random, term: restored.HardState.Term, vote: restored.HardState.Vote}
	c.raftLog = newLog(restored.Snapshot, restored.Entries)
	c.commitIndex, c.deliveredIndex = restored.Snapshot.Index, restored.Snapshot.Index
	c.memberships = []membershipEntry{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	// Memberships in entries before the snapshot are superseded by the snapshot's own.
	c.adoptMemberships(c.raftLog.entriesFrom(restored.Snapshot.Index+1, len(restored.Entries)))
	c.become(Follower, 0)
	// The first time-out is shorter: after a restart of all members there is no leader, and where there is one the
	// others ignore the pre-vote.
	c.randomizedElectionTimeout = max(1, timing.ElectionTicks/4) + random.IntN(max(1, timing.ElectionTicks/2))
	return c
}

// ID is this member's id.
func (c *Core) ID() MemberID { return c.id }

// Role is this member's role in its term.
func (c *Core) Role() Role { return c.role }

// Term is the newest term that this member knows.
func (c *Core) Term() Term { return c.term }

// LeaderID is the leader of the term, or zero where none is known.
func (c *Core) LeaderID() MemberID { return c.leader }

// CommitIndex is the last entry that is known to be committed.
func (c *Core) CommitIndex() Index { return c.commitIndex }

// LastIndex is the last entry of this member's log.
func (c *Core) LastIndex() Index { return c.raftLog.lastIndex() }

// SnapshotIndex is the last entry that the newest snapshot covers.
func (c *Core) SnapshotIndex() Index { return c.raftLog.snapshot.Index }

// EntryTerm returns the term of an entry, and false where it is compacted away or not there yet.
func (c *Core) EntryTerm(index Index) (Term, bool) { return c.raftLog.term(index) }

// pendingSave returns the Save of the present Step, with the present hard state.
func (c *Core) pendingSave() *Save {
	if c.effects.Save == nil {
		c.effects.Save = &Save{}
	}
	c.effects.Save.HardState = HardState{Term: c.term, Vote: c.vote}
	return c.effects.Save
}

// Step processes one event and returns what the driver has to do.
func (c *Core) Step(event Event) Effects {
	c.effects = Effects{}
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Message)
	case Propose:
		c.propose(e.Data)
	case ProposeMembership:
		c.proposeMembership(e.Membership)
	case Read:
		c.handleRead(e.RequestID)
	case Persisted:
		c.handlePersisted(e)
	case DiskStalled:
		c.handleDiskStalled(e.Stalled)
	case StepDown:
		// Another member may lead by now: an election decides.
		if c.role == Leader {
			c.become(Follower, 0)
		}
	case TransferLeadership:
		c.transferLeadership()
	case Compact:
		c.handleCompact(e)
	}
	c.deliverCommitted()
	return c.effects
}

// propose appends a command, unless this member does not lead or is handing over.
func (c *Core) propose(data []byte) {
	if c.role == Leader && c.transferTarget == 0 {
		c.effects.ProposedIndex, c.effects.ProposedTerm = c.appendEntry(EntryCommand, data), c.term
		c.sendAppends()
	}
}

// handleDiskStalled has a leader that can't write hand over and step down, so that the group goes on.
func (c *Core) handleDiskStalled(stalled bool) {
	c.diskStalled = stalled
	if stalled && c.role == Leader {
		c.transferLeadership()
		c.become(Follower, 0)
	}
}

// deliverCommitted returns to the driver what has been committed and not been delivered yet.
func (c *Core) deliverCommitted() {
	if c.commitIndex > c.deliveredIndex {
		c.effects.Committed = c.raftLog.entriesFrom(c.deliveredIndex+1, int(c.commitIndex-c.deliveredIndex))
		if len(c.effects.Committed) != int(c.commitIndex-c.deliveredIndex) {
			panic("broken invariant: committed entries are missing from the log")
		}
		c.deliveredIndex = c.commitIndex
	}
	if c.incoming != nil && c.incoming.index <= c.commitIndex {
		// The log reached the snapshot's index before the snapshot was complete.
		c.incoming = nil
	}
}

// sendAfterSync queues a message that depends on the disk. The caller sets its term.
func (c *Core) sendAfterSync(message Message) {
	message.From = c.id
	c.effects.AfterSync = append(c.effects.AfterSync, message)
}

// sendImmediately queues a message that depends on nothing unsynced, with the present term unless it has one.
func (c *Core) sendImmediately(message Message) {
	message.From = c.id
	if message.Term == 0 {
		message.Term = c.term
	}
	c.effects.Immediate = append(c.effects.Immediate, message)
}

func (c *Core) addNotice(notice Notice) { c.effects.Notices = append(c.effects.Notices, notice) }
