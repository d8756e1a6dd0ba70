package raft

import (
	"math/rand/v2"
	"time"
)

// Timing is counted in ticks.
type Timing struct {
	HeartbeatTicks int
	// Election is the shortest wait for a leader; the longest is twice that.
	ElectionTicks int
}

// Span is the shortest wait for a leader in time, where a tick takes so long.
func (t Timing) ElectionTimeout(tick time.Duration) time.Duration {
	return time.Duration(t.ElectionTicks) * tick
}

// Core is the state of one member.
type Core struct {
	id     MemberID
	timing Timing
	random *rand.Rand

	term Term
	vote MemberID
	role Role
	// leader is who is known to lead this term; zero when nobody is.
	leader         MemberID
	raftLog        raftLog
	commitIndex    Index
	deliveredIndex Index

	memberships []membershipEntry
	votes       map[MemberID]bool
	peers       map[MemberID]*progress

	electionElapsed           int
	randomizedElectionTimeout int
	heartbeatElapsed          int
	quorumCheckElapsed        int
	diskStalled               bool

	heartbeatRound  uint64
	pendingReads    []pendingRead
	transferTarget  MemberID
	transferElapsed int

	// incoming is what has come of a leader's snapshot, checkSnapshot what looks at it before it is installed.
	incoming      *incomingSnapshot
	checkSnapshot func(Snapshot) error

	effects Effects
}

// New makes a member from what its disk holds.
func New(id MemberID, timing Timing, restored PersistentState, random *rand.Rand) *Core {
	c := &Core{id: id, timing: timing, random: random, term: restored.HardState.Term, vote: restored.HardState.Vote}
	c.raftLog = newLog(restored.Snapshot, restored.Entries)
	c.commitIndex, c.deliveredIndex = restored.Snapshot.Index, restored.Snapshot.Index
	c.memberships = []membershipEntry{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	// Entries kept before the snapshot hold memberships that the snapshot's own has replaced.
	c.adoptMemberships(c.raftLog.entriesFrom(restored.Snapshot.Index+1, len(restored.Entries)))
	c.become(Follower, 0)
	// One that has just begun asks sooner: where all were down at once nobody leads, and where somebody does the
	// others refuse.
	c.randomizedElectionTimeout = max(1, timing.ElectionTicks/4) + random.IntN(max(1, timing.ElectionTicks/2))
	return c
}

// ID is this member's id.
func (c *Core) ID() MemberID { return c.id }

// Role is what this member is in its term.
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

// EntryTerm gives the term of a place in the log while it is kept.
func (c *Core) EntryTerm(index Index) (Term, bool) { return c.raftLog.term(index) }

func (c *Core) pendingSave() *Save {
	if c.effects.Save == nil {
		c.effects.Save = &Save{}
	}
	c.effects.Save.HardState = HardState{Term: c.term, Vote: c.vote}
	return c.effects.Save
}

// Step takes one event and says what must be done about it.
func (c *Core) Step(event Event) Effects {
	c.effects = Effects{}
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Message)
	case Propose:
		if c.role == Leader && c.transferTarget == 0 {
			c.effects.ProposedIndex, c.effects.ProposedTerm = c.appendEntry(EntryCommand, e.Data), c.term
			c.sendAppends()
		}
	case ProposeMembership:
		c.proposeMembership(e.Membership)
	case Read:
		c.handleRead(e.RequestID)
	case Persisted:
		c.handlePersisted(e)
	case DiskStalled:
		c.diskStalled = e.Stalled
		// A leader that can't write must not keep the others waiting.
		if e.Stalled && c.role == Leader {
			c.selectTransferTarget()
			c.sendTimeoutNow()
			c.become(Follower, 0)
		}
	case StepDown:
		// Whoever may have been followed by another asks anew, and does no harm until then.
		if c.role == Leader {
			c.become(Follower, 0)
		}
	case TransferLeadership:
		if c.role == Leader {
			c.selectTransferTarget()
			c.sendTimeoutNow()
		}
	case Compact:
		c.handleCompact(e)
	}
	c.deliverCommitted()
	return c.effects
}

// handOut gives the driver what has been committed and not yet handed out.
func (c *Core) deliverCommitted() {
	if c.commitIndex > c.deliveredIndex {
		c.effects.Committed = c.raftLog.entriesFrom(c.deliveredIndex+1, int(c.commitIndex-c.deliveredIndex))
		if len(c.effects.Committed) != int(c.commitIndex-c.deliveredIndex) {
			panic("broken invariant: committed entries are missing from the log")
		}
		c.deliveredIndex = c.commitIndex
	}
	if c.incoming != nil && c.incoming.index <= c.commitIndex {
		// The log got there before the snapshot was whole.
		c.incoming = nil
	}
}

func (c *Core) sendAfterSync(message Message) {
	message.From = c.id
	c.effects.AfterSync = append(c.effects.AfterSync, message)
}

func (c *Core) sendImmediately(message Message) {
	message.From = c.id
	if message.Term == 0 {
		message.Term = c.term
	}
	c.effects.Immediate = append(c.effects.Immediate, message)
}

func (c *Core) addNotice(notice Notice) { c.effects.Notices = append(c.effects.Notices, notice) }
