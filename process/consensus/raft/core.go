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

// Restored is what a member finds on its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
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

func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.randomizedElectionTimeout {
		c.electionElapsed = 0
		c.randomizedElectionTimeout = c.timing.ElectionTicks + c.random.IntN(c.timing.ElectionTicks)
		// One who can't write can't win, and one who is no voter may not ask.
		if c.isVoter() && !c.diskStalled {
			c.campaign(true)
		}
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

// refuse notes a message that can't be of a sound member; it changes nothing.
func (c *Core) rejectMessage(message Message, err error) {
	c.addNotice(Notice{Kind: NoticeMessageRejected, Peer: message.From, Index: message.LogIndex, Err: err})
}

// validate says what is wrong with a message, by itself and against what this member knows for sure.
func (c *Core) validateMessage(message Message) error {
	if err := message.Validate(); err != nil {
		return err
	}
	switch {
	case message.Term > c.term && message.Term-c.term > maxTermIncrease:
		return MalformedError{Kind: message.Kind, Reason: "term far beyond this member's"}
	case message.fromLeader() && message.Term == c.term && c.role == Leader:
		return MalformedError{Kind: message.Kind, Reason: "another leads in this leader's term"}
	case message.Kind == MsgAppend && message.Term >= c.term && message.LogIndex == c.commitIndex && message.LogIndex > 0:
		if term, known := c.raftLog.term(c.commitIndex); known && term != message.LogTerm {
			return MalformedError{Kind: message.Kind, Reason: "contradicts a committed entry"}
		}
	}
	return nil
}

// receive takes a message, unless it is for another member or can't be of a sound one.
func (c *Core) receive(message Message) {
	if message.To != c.id {
		return
	}
	if err := c.validateMessage(message); err != nil {
		c.rejectMessage(message, err)
		return
	}
	if c.ignoresCandidate(message) {
		return
	}
	switch {
	case message.Term < c.term:
		c.replyToStaleTerm(message)
		return
	case message.Term > c.term:
		c.adoptTerm(message)
	}
	c.dispatch(message)
}

// fromLeader says whether only a leader sends messages of this kind to its followers.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

// ignoresCandidate says whether a request for a vote is passed over. While a leader is heard, a voter cut off from it
// can't force an election; only a leadership transfer may.
func (c *Core) ignoresCandidate(message Message) bool {
	if message.Kind != MsgPreVote && message.Kind != MsgVote || message.Hint != 0 || message.From == c.id {
		return false
	}
	leaderActive := c.role == Leader || (c.leader != 0 && c.electionElapsed < c.timing.ElectionTicks)
	if leaderActive && message.Kind == MsgPreVote {
		c.sendAfterSync(Message{Kind: MsgPreVoteReply, To: message.From, Term: c.term, Reject: true})
	}
	return leaderActive
}

// learnTerm follows a later term. A pre-vote round names one that nobody has entered yet.
func (c *Core) adoptTerm(message Message) {
	if message.Kind == MsgPreVote || message.Kind == MsgPreVoteReply && !message.Reject {
		return
	}
	leader := MemberID(0)
	if message.fromLeader() {
		leader = message.From
	}
	c.enterTerm(message.Term, 0)
	c.become(Follower, leader)
}

// answerOldTerm tells one who lags the term, so that it stops leading or asking.
func (c *Core) replyToStaleTerm(message Message) {
	switch {
	case message.fromLeader():
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: message.From, Term: c.term, Reject: true, Hint: c.raftLog.lastIndex(), AcceptsChunks: true})
	case message.Kind == MsgPreVote:
		c.sendAfterSync(Message{Kind: MsgPreVoteReply, To: message.From, Term: c.term, Reject: true})
	}
}

// dispatch takes a message of this member's term, or a pre-vote round's.
func (c *Core) dispatch(message Message) {
	if message.fromLeader() {
		c.followLeader(message.From)
	}
	switch message.Kind {
	case MsgPreVote:
		c.handlePreVote(message)
	case MsgVote:
		c.handleVote(message)
	case MsgPreVoteReply, MsgVoteReply:
		c.handleVoteReply(message)
	case MsgAppend:
		c.handleAppend(message)
	case MsgHeartbeat:
		// Heartbeats say how much is committed of what this member surely holds.
		c.commitTo(min(message.Commit, c.raftLog.lastIndex()))
		c.sendImmediately(Message{Kind: MsgHeartbeatReply, To: message.From, HeartbeatRound: message.HeartbeatRound, AcceptsChunks: true})
	case MsgSnapshot:
		c.handleSnapshot(message)
	case MsgAppendReply:
		c.handleAppendReply(message)
	case MsgHeartbeatReply:
		c.handleHeartbeatReply(message)
	case MsgSnapshotReply:
		c.handleSnapshotReply(message)
	case MsgTimeoutNow:
		c.handleTimeoutNow()
	}
}
