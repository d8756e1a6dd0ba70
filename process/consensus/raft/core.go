package raft

import (
	"math/rand/v2"
	"time"
)

// Timing is counted in ticks.
type Timing struct {
	Heartbeat int
	// Election is the shortest wait for a leader; the longest is twice that.
	Election int
}

// Span is the shortest wait for a leader in time, where a tick takes so long.
func (t Timing) Span(tick time.Duration) time.Duration { return time.Duration(t.Election) * tick }

// Core is the state of one member.
type Core struct {
	id     MemberID
	timing Timing
	random *rand.Rand

	term Term
	vote MemberID
	role Role
	// leader is who is known to lead this term; zero when nobody is.
	leader MemberID
	log    replicaLog
	commit Index
	handed Index

	memberships []membershipAt
	votes       map[MemberID]bool
	peers       map[MemberID]*progress

	sinceLeader int
	electionIn  int
	sinceBeat   int
	sinceCheck  int
	stalled     bool

	readMark    uint64
	reads       []pendingRead
	transferTo  MemberID
	transferFor int

	// incoming is what has come of a leader's snapshot, checkSnapshot what looks at it before it is installed.
	incoming      *incoming
	checkSnapshot func(Snapshot) error

	out Effects
}

// Restored is what a member finds on its disk.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// New makes a member from what its disk holds.
func New(id MemberID, timing Timing, restored Restored, random *rand.Rand) *Core {
	c := &Core{id: id, timing: timing, random: random, term: restored.HardState.Term, vote: restored.HardState.Vote}
	c.log = newLog(restored.Snapshot, restored.Entries)
	c.commit, c.handed = restored.Snapshot.Index, restored.Snapshot.Index
	c.memberships = []membershipAt{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	// Entries kept before the snapshot hold memberships that the snapshot's own has replaced.
	c.noteMemberships(c.log.from(restored.Snapshot.Index+1, len(restored.Entries)))
	c.become(Follower, 0)
	// One that has just begun asks sooner: where all were down at once nobody leads, and where somebody does the
	// others refuse.
	c.electionIn = max(1, timing.Election/4) + random.IntN(max(1, timing.Election/2))
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
func (c *Core) CommitIndex() Index { return c.commit }

// LastIndex is the last entry of this member's log.
func (c *Core) LastIndex() Index { return c.log.last() }

// SnapshotIndex is the last entry that the newest snapshot covers.
func (c *Core) SnapshotIndex() Index { return c.log.snapshot.Index }

// EntryTerm gives the term of a place in the log while it is kept.
func (c *Core) EntryTerm(index Index) (Term, bool) { return c.log.term(index) }

func (c *Core) save() *Save {
	if c.out.Save == nil {
		c.out.Save = &Save{}
	}
	c.out.Save.HardState = HardState{Term: c.term, Vote: c.vote}
	return c.out.Save
}

// Step takes one event and says what must be done about it.
func (c *Core) Step(event Event) Effects {
	c.out = Effects{}
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Message)
	case Propose:
		if c.role == Leader && c.transferTo == 0 {
			c.out.Proposed, c.out.ProposedTerm = c.appendOwn(EntryCommand, e.Data), c.term
			c.sendAppends()
		}
	case ProposeMembership:
		c.proposeMembership(e.Membership)
	case Read:
		c.read(e.Ref)
	case Persisted:
		c.persisted(e)
	case DiskStalled:
		c.stalled = e.Stalled
		// A leader that can't write must not keep the others waiting.
		if e.Stalled && c.role == Leader {
			c.startTransfer()
			c.flushTransfer()
			c.become(Follower, 0)
		}
	case StandDown:
		// Whoever may have been followed by another asks anew, and does no harm until then.
		if c.role == Leader {
			c.become(Follower, 0)
		}
	case Transfer:
		if c.role == Leader {
			c.startTransfer()
			c.flushTransfer()
		}
	case Compact:
		c.compact(e)
	}
	c.handOut()
	return c.out
}

// handOut gives the driver what has been committed and not yet handed out.
func (c *Core) handOut() {
	if c.commit > c.handed {
		c.out.Committed = c.log.from(c.handed+1, int(c.commit-c.handed))
		if len(c.out.Committed) != int(c.commit-c.handed) {
			panic("broken invariant: committed entries are missing from the log")
		}
		c.handed = c.commit
	}
	if c.incoming != nil && c.incoming.index <= c.commit {
		// The log got there before the snapshot was whole.
		c.incoming = nil
	}
}

func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.sinceLeader++
	if c.sinceLeader >= c.electionIn {
		c.sinceLeader = 0
		c.electionIn = c.timing.Election + c.random.IntN(c.timing.Election)
		// One who can't write can't win, and one who is no voter may not ask.
		if c.isVoter() && !c.stalled {
			c.campaign(true)
		}
	}
}

func (c *Core) later(message Message) {
	message.From = c.id
	c.out.Later = append(c.out.Later, message)
}

func (c *Core) now(message Message) {
	message.From = c.id
	if message.Term == 0 {
		message.Term = c.term
	}
	c.out.Now = append(c.out.Now, message)
}

func (c *Core) notice(notice Notice) { c.out.Notices = append(c.out.Notices, notice) }

// refuse notes a message that can't be of a sound member; it changes nothing.
func (c *Core) refuse(m Message, err error) {
	c.notice(Notice{Kind: NoticeMessageRefused, Peer: m.From, Index: m.LogIndex, Err: err})
}

// validate says what is wrong with a message, by itself and against what this member knows for sure.
func (c *Core) validate(m Message) error {
	if err := m.Validate(); err != nil {
		return err
	}
	switch {
	case m.Term > c.term && m.Term-c.term > mostTermStep:
		return MalformedError{Kind: m.Kind, Reason: "term far beyond this member's"}
	case m.fromLeader() && m.Term == c.term && c.role == Leader:
		return MalformedError{Kind: m.Kind, Reason: "another leads in this leader's term"}
	case m.Kind == MsgAppend && m.Term >= c.term && m.LogIndex == c.commit && m.LogIndex > 0:
		if term, held := c.log.term(c.commit); held && term != m.LogTerm {
			return MalformedError{Kind: m.Kind, Reason: "contradicts a committed entry"}
		}
	}
	return nil
}

// receive takes a message, unless it is for another member or can't be of a sound one.
func (c *Core) receive(m Message) {
	if m.To != c.id {
		return
	}
	if err := c.validate(m); err != nil {
		c.refuse(m, err)
		return
	}
	if c.ignoresCandidate(m) {
		return
	}
	switch {
	case m.Term < c.term:
		c.answerOldTerm(m)
		return
	case m.Term > c.term:
		c.learnTerm(m)
	}
	c.dispatch(m)
}

// fromLeader says whether only a leader sends messages of this kind to its followers.
func (m Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

// ignoresCandidate says whether a request for a vote is passed over. While a leader is heard, a voter cut off from it
// can't force an election; only a leadership transfer may.
func (c *Core) ignoresCandidate(m Message) bool {
	if m.Kind != MsgPreVote && m.Kind != MsgVote || m.Hint != 0 || m.From == c.id {
		return false
	}
	heardLeader := c.role == Leader || (c.leader != 0 && c.sinceLeader < c.timing.Election)
	if heardLeader && m.Kind == MsgPreVote {
		c.later(Message{Kind: MsgPreVoteReply, To: m.From, Term: c.term, Reject: true})
	}
	return heardLeader
}

// learnTerm follows a later term. A pre-vote round names one that nobody has entered yet.
func (c *Core) learnTerm(m Message) {
	if m.Kind == MsgPreVote || m.Kind == MsgPreVoteReply && !m.Reject {
		return
	}
	leader := MemberID(0)
	if m.fromLeader() {
		leader = m.From
	}
	c.enterTerm(m.Term, 0)
	c.become(Follower, leader)
}

// answerOldTerm tells one who lags the term, so that it stops leading or asking.
func (c *Core) answerOldTerm(m Message) {
	switch {
	case m.fromLeader():
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Hint: c.log.last(), TakesParts: true})
	case m.Kind == MsgPreVote:
		c.later(Message{Kind: MsgPreVoteReply, To: m.From, Term: c.term, Reject: true})
	}
}

// dispatch takes a message of this member's term, or a pre-vote round's.
func (c *Core) dispatch(m Message) {
	if m.fromLeader() {
		c.followLeader(m.From)
	}
	switch m.Kind {
	case MsgPreVote:
		c.takePreVote(m)
	case MsgVote:
		c.takeVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		c.countVote(m)
	case MsgAppend:
		c.takeAppend(m)
	case MsgHeartbeat:
		// Heartbeats say how much is committed of what this member surely holds.
		c.commitTo(min(m.Commit, c.log.last()))
		c.now(Message{Kind: MsgHeartbeatReply, To: m.From, ReadMark: m.ReadMark, TakesParts: true})
	case MsgSnapshot:
		c.takeSnapshot(m)
	case MsgAppendReply:
		c.takeAppendReply(m)
	case MsgHeartbeatReply:
		c.takeHeartbeatReply(m)
	case MsgSnapshotReply:
		c.takeSnapshotReply(m)
	case MsgTimeoutNow:
		c.takeTimeoutNow()
	}
}
