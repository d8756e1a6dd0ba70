package raft

import (
	"math/rand/v2"
	"slices"
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

// progress is what a leader knows of one member.
type progress struct {
	match, next Index
	// heard says that the member answered since the last quorum check.
	heard bool
	// probing sends one append at a time until the logs are known to meet.
	probing bool
	// snapshotWait counts ticks until a snapshot may be sent again.
	snapshotWait int
}

type pendingRead struct {
	ref, mark uint64
	index     Index
	acks      map[MemberID]bool
}

type membershipAt struct {
	index      Index
	membership Membership
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
	leader MemberID
	log    replicaLog
	commit Index
	handed Index

	memberships []membershipAt
	votes       map[MemberID]bool
	fellows     map[MemberID]*progress

	sinceLeader int
	electionIn  int
	sinceBeat   int
	sinceCheck  int
	stalled     bool

	readMark    uint64
	reads       []pendingRead
	transferTo  MemberID
	transferFor int

	out Effects
}

// Restored is what a member finds on its disk.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// mostEntriesPerAppend and mostBytesPerAppend bound one message: a heartbeat waits behind it.
const (
	mostEntriesPerAppend = 256
	mostBytesPerAppend   = 512 << 10
)

// New makes a member from what its disk holds.
func New(id MemberID, timing Timing, restored Restored, random *rand.Rand) *Core {
	c := &Core{id: id, timing: timing, random: random, term: restored.HardState.Term, vote: restored.HardState.Vote}
	c.log = replicaLog{snapshot: restored.Snapshot, entries: restored.Entries}
	c.log.stable = c.log.last()
	c.commit, c.handed = restored.Snapshot.Index, restored.Snapshot.Index
	c.memberships = []membershipAt{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	c.noteMemberships(restored.Entries)
	c.become(Follower, 0)
	// One that has just begun asks sooner: where all were down at once nobody leads, and where somebody does the
	// others refuse.
	c.electionIn = max(1, timing.Election/4) + random.IntN(max(1, timing.Election/2))
	return c
}

// noteMemberships takes up memberships as soon as they stand in the log, committed or not, as single-member change requires.
func (c *Core) noteMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			panic("broken invariant: a membership in the log cannot be read: " + err.Error())
		}
		c.memberships = append(c.memberships, membershipAt{entry.Index, membership})
		c.fitFellows()
	}
}

// Membership is the newest one in the log.
func (c *Core) Membership() Membership { return c.memberships[len(c.memberships)-1].membership }

// membershipBy is the one in force at index.
func (c *Core) membershipBy(index Index) Membership {
	found := c.memberships[0].membership
	for _, at := range c.memberships {
		if at.index <= index {
			found = at.membership
		}
	}
	return found
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

// MatchOf is how far a member's log is known to agree; only a leader knows.
func (c *Core) MatchOf(id MemberID) Index {
	if fellow := c.fellows[id]; fellow != nil {
		return fellow.match
	}
	return 0
}

// CommittedInTerm says whether a leader has committed an entry of its own term.
func (c *Core) CommittedInTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.term
}

func (c *Core) isVoter() bool {
	member, ok := c.Membership().Find(c.id)
	return ok && member.Voter
}

// become is the one place where a member changes its role.
func (c *Core) become(role Role, leader MemberID) {
	wasLeader := c.role == Leader
	c.role, c.leader = role, leader
	c.sinceLeader, c.sinceBeat, c.sinceCheck = 0, 0, 0
	c.electionIn = c.timing.Election + c.random.IntN(c.timing.Election)
	c.votes = map[MemberID]bool{}
	c.transferTo, c.transferFor = 0, 0
	if wasLeader && role != Leader {
		// A read that waited for a quorum can't be answered by one who no longer leads.
		for _, read := range c.reads {
			c.out.Reads = append(c.out.Reads, ReadReady{Ref: read.ref})
		}
	}
	c.reads = nil
	c.fellows = nil
	if role == Leader {
		c.leader = c.id
		c.fitFellows()
		for _, fellow := range c.fellows {
			fellow.heard = true
		}
		c.appendOwn(EntryEmpty, nil)
		c.sendAppends()
	}
}

// fitFellows keeps the leader's table of members in step with the membership.
func (c *Core) fitFellows() {
	if c.role != Leader {
		return
	}
	membership := c.Membership()
	next := map[MemberID]*progress{}
	for _, member := range membership.Members {
		if known := c.fellows[member.ID]; known != nil {
			next[member.ID] = known
			continue
		}
		next[member.ID] = &progress{next: c.log.last() + 1, probing: true, heard: true}
	}
	if own := next[c.id]; own != nil {
		own.match = c.log.stable
	}
	c.fellows = next
}

// enterTerm moves to a later term; the disk learns of it before anything is said in it.
func (c *Core) enterTerm(term Term, vote MemberID) {
	c.term, c.vote = term, vote
	c.save().HardState = HardState{Term: c.term, Vote: c.vote}
}

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

func (c *Core) tickLeader() {
	c.sinceBeat++
	c.sinceCheck++
	if c.transferTo != 0 {
		if c.transferFor++; c.transferFor > c.timing.Election {
			c.transferTo, c.transferFor = 0, 0
		}
	}
	for _, fellow := range c.fellows {
		if fellow.snapshotWait > 0 {
			fellow.snapshotWait--
		}
	}
	if c.sinceCheck >= c.timing.Election {
		c.sinceCheck = 0
		// Check-quorum: a leader that a majority no longer answers steps down, so it can't mislead those cut off with it.
		if !c.majority(func(id MemberID) bool { return id == c.id || c.fellows[id].heard }) {
			c.become(Follower, 0)
			return
		}
		for _, fellow := range c.fellows {
			fellow.heard = false
		}
	}
	if c.sinceBeat >= c.timing.Heartbeat {
		c.sinceBeat = 0
		c.sendHeartbeats()
		c.sendAppends()
	}
}

func (c *Core) majority(has func(MemberID) bool) bool {
	voters := c.Membership().Voters()
	count := 0
	for _, id := range voters {
		if has(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// campaign asks for votes; the pre-vote round asks without entering a new term.
func (c *Core) campaign(preVote bool) {
	kind, term := MsgVote, c.term+1
	if preVote {
		kind = MsgPreVote
		c.become(PreCandidate, 0)
	} else {
		c.enterTerm(term, c.id)
		c.become(Candidate, 0)
	}
	for _, id := range c.Membership().Voters() {
		message := Message{Kind: kind, To: id, Term: term, LogIndex: c.log.last(), LogTerm: c.log.lastTerm()}
		if id == c.id {
			// The own vote too counts only once it is on disk.
			message.Kind = kind + 1
		}
		c.later(message)
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

func (c *Core) receive(m Message) {
	if m.To != c.id {
		return
	}
	if m.Kind == MsgPreVote || m.Kind == MsgVote {
		// While a leader is heard, a voter cut off from it can't force an election; only a hand-over may.
		heardLeader := c.role == Leader || (c.leader != 0 && c.sinceLeader < c.timing.Election)
		if heardLeader && m.Hint == 0 && m.From != c.id {
			if m.Kind == MsgPreVote {
				c.later(Message{Kind: MsgPreVoteReply, To: m.From, Term: c.term, Reject: true})
			}
			return
		}
	}
	switch {
	case m.Term > c.term:
		if m.Kind != MsgPreVote && !(m.Kind == MsgPreVoteReply && !m.Reject) {
			c.enterTerm(m.Term, 0)
			leader := MemberID(0)
			if m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot {
				leader = m.From
			}
			c.become(Follower, leader)
		}
	case m.Term < c.term:
		// One who lags hears the term, so that it stops leading or asking.
		switch m.Kind {
		case MsgAppend, MsgHeartbeat, MsgSnapshot:
			c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Hint: c.log.last()})
		case MsgPreVote:
			c.later(Message{Kind: MsgPreVoteReply, To: m.From, Term: c.term, Reject: true})
		}
		return
	}
	switch m.Kind {
	case MsgPreVote:
		grant := m.Term > c.term && c.log.upToDate(m.LogIndex, m.LogTerm) && !c.stalled
		reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
		if !grant {
			reply.Term = c.term
		}
		c.later(reply)
	case MsgVote:
		free := c.vote == 0 || c.vote == m.From
		if free && c.role != Leader && c.log.upToDate(m.LogIndex, m.LogTerm) {
			c.enterTerm(c.term, m.From)
			c.sinceLeader = 0
			c.later(Message{Kind: MsgVoteReply, To: m.From, Term: c.term})
			return
		}
		c.later(Message{Kind: MsgVoteReply, To: m.From, Term: c.term, Reject: true})
	case MsgPreVoteReply, MsgVoteReply:
		c.countVote(m)
	case MsgAppend:
		c.followLeader(m.From)
		c.takeAppend(m)
	case MsgHeartbeat:
		c.followLeader(m.From)
		// Heartbeats say how much is committed of what this member surely holds.
		c.commitTo(min(m.Commit, c.log.last()))
		c.now(Message{Kind: MsgHeartbeatReply, To: m.From, ReadMark: m.ReadMark})
	case MsgSnapshot:
		c.followLeader(m.From)
		c.takeSnapshot(m)
	case MsgAppendReply:
		c.takeAppendReply(m)
	case MsgHeartbeatReply:
		c.takeHeartbeatReply(m)
	case MsgTimeoutNow:
		if c.isVoter() && !c.stalled {
			c.enterTerm(c.term+1, c.id)
			c.become(Candidate, 0)
			for _, id := range c.Membership().Voters() {
				message := Message{Kind: MsgVote, To: id, Term: c.term, LogIndex: c.log.last(), LogTerm: c.log.lastTerm(), Hint: 1}
				if id == c.id {
					message.Kind = MsgVoteReply
				}
				c.later(message)
			}
		}
	}
}

func (c *Core) followLeader(leader MemberID) {
	if c.role == Leader {
		panic("broken invariant: two leaders in one term")
	}
	if c.role != Follower || c.leader != leader {
		c.become(Follower, leader)
	}
	c.sinceLeader = 0
}

func (c *Core) countVote(m Message) {
	wanted := Candidate
	if m.Kind == MsgPreVoteReply {
		wanted = PreCandidate
	}
	if c.role != wanted {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.majority(func(id MemberID) bool { return c.votes[id] }) {
		if wanted == PreCandidate {
			c.campaign(false)
			return
		}
		c.become(Leader, c.id)
		return
	}
	if c.majority(func(id MemberID) bool { granted, said := c.votes[id]; return said && !granted }) {
		c.become(Follower, 0)
	}
}

// appendOwn puts an entry of this leader's term at the end of the log.
func (c *Core) appendOwn(kind EntryKind, data []byte) Index {
	entry := Entry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, entry)
	save := c.save()
	save.Entries = append(save.Entries, entry)
	c.noteMemberships([]Entry{entry})
	return entry.Index
}

func (c *Core) persisted(e Persisted) {
	// A report about entries since cut away proves nothing.
	if term, ok := c.log.term(e.Index); !ok || term != e.Term {
		return
	}
	if e.Index > c.log.stable {
		c.log.stable = e.Index
	}
	if c.role == Leader {
		if own := c.fellows[c.id]; own != nil {
			own.match = max(own.match, c.log.stable)
		}
		c.advanceCommit()
	}
}

func (c *Core) advanceCommit() {
	var matches []Index
	for _, id := range c.Membership().Voters() {
		matches = append(matches, c.fellows[id].match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	reached := matches[(len(matches)-1)/2]
	// Only an entry of the leader's own term may be committed by counting; those before it follow.
	if term, ok := c.log.term(reached); ok && term == c.term && reached > c.commit {
		c.commitTo(reached)
		c.sendAppends()
		// A leader that has committed its own removal leaves.
		if !c.isVoter() && c.membershipCommitted() {
			c.become(Follower, 0)
		}
	}
}

func (c *Core) membershipCommitted() bool {
	return c.memberships[len(c.memberships)-1].index <= c.commit
}

func (c *Core) commitTo(index Index) {
	if index > c.commit {
		c.commit = index
	}
}

func (c *Core) sendHeartbeats() {
	for _, id := range c.fellowIDs() {
		if fellow := c.fellows[id]; id != c.id {
			c.now(Message{Kind: MsgHeartbeat, To: id, Commit: min(fellow.match, c.commit), ReadMark: c.readMark})
		}
	}
}

func (c *Core) sendAppends() {
	for _, id := range c.fellowIDs() {
		if id != c.id {
			c.sendAppend(id, c.fellows[id])
		}
	}
}

// fellowIDs is in the membership's order, so that one history of events has one history of effects.
func (c *Core) fellowIDs() []MemberID {
	var ids []MemberID
	for _, member := range c.Membership().Members {
		if c.fellows[member.ID] != nil {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (c *Core) sendAppend(id MemberID, fellow *progress) {
	previous := fellow.next - 1
	previousTerm, ok := c.log.term(previous)
	if !ok || (fellow.next <= c.log.last() && len(c.log.from(fellow.next, 1)) == 0) {
		// What the member lacks is gone from the log, so it gets the whole state, and not on every beat.
		if fellow.snapshotWait == 0 && c.log.snapshot.Index > 0 {
			fellow.snapshotWait = c.timing.Election
			snapshot := c.log.snapshot
			c.now(Message{Kind: MsgSnapshot, To: id, Snapshot: &snapshot})
		}
		return
	}
	entries := c.log.part(fellow.next, mostEntriesPerAppend, mostBytesPerAppend)
	c.now(Message{Kind: MsgAppend, To: id, LogIndex: previous, LogTerm: previousTerm, Entries: entries, Commit: c.commit})
	if !fellow.probing && len(entries) > 0 {
		fellow.next = entries[len(entries)-1].Index + 1
	}
}

func (c *Core) takeAppend(m Message) {
	if m.LogIndex < c.commit {
		// What is committed here can't be other than what the leader has.
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, LogIndex: c.commit})
		return
	}
	if term, ok := c.log.term(m.LogIndex); !ok || term != m.LogTerm {
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, Reject: true, LogIndex: m.LogIndex, Hint: min(c.log.last(), m.LogIndex-1)})
		return
	}
	fresh := m.Entries
	for len(fresh) > 0 {
		term, ok := c.log.term(fresh[0].Index)
		if !ok || term != fresh[0].Term {
			break
		}
		fresh = fresh[1:]
	}
	if len(fresh) > 0 {
		first := fresh[0].Index
		save := c.save()
		if first <= c.log.last() {
			if first <= c.commit {
				panic("broken invariant: a committed entry would be replaced")
			}
			c.log.truncateFrom(first)
			c.dropMembershipsFrom(first)
			save.TruncateFrom = first
		}
		c.log.entries = append(c.log.entries, fresh...)
		c.noteMemberships(fresh)
		save.Entries = append(save.Entries, fresh...)
	}
	agreed := m.LogIndex + Index(len(m.Entries))
	c.commitTo(min(m.Commit, agreed))
	c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, LogIndex: agreed})
}

func (c *Core) dropMembershipsFrom(index Index) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

func (c *Core) takeAppendReply(m Message) {
	fellow := c.fellows[m.From]
	if c.role != Leader || fellow == nil {
		return
	}
	fellow.heard = true
	if m.Reject {
		// Fall back to where the logs may meet, never before what is known to agree.
		fellow.probing = true
		fellow.next = max(fellow.match+1, min(m.Hint+1, fellow.next-1))
		c.sendAppend(m.From, fellow)
		return
	}
	if m.LogIndex > c.log.last() {
		return
	}
	if m.LogIndex > fellow.match {
		fellow.match = m.LogIndex
		fellow.snapshotWait = 0
	}
	wasProbing := fellow.probing
	fellow.probing = false
	fellow.next = max(fellow.next, fellow.match+1)
	c.advanceCommit()
	if c.role != Leader {
		return
	}
	if wasProbing && fellow.next <= c.log.last() {
		c.sendAppend(m.From, fellow)
	}
	c.flushTransfer()
}

func (c *Core) takeHeartbeatReply(m Message) {
	fellow := c.fellows[m.From]
	if c.role != Leader || fellow == nil {
		return
	}
	fellow.heard = true
	// Appends may have been lost on the way; a heartbeat's answer is the time to look again.
	if fellow.match < c.log.last() {
		fellow.next = fellow.match + 1
		fellow.probing = true
	}
	kept := c.reads[:0]
	for _, read := range c.reads {
		if m.ReadMark >= read.mark {
			read.acks[m.From] = true
		}
		if c.majority(func(id MemberID) bool { return id == c.id || read.acks[id] }) {
			c.out.Reads = append(c.out.Reads, ReadReady{Ref: read.ref, Index: read.index, OK: true})
			continue
		}
		kept = append(kept, read)
	}
	c.reads = kept
}

// read is answered once a majority has said, after it was asked, that this member still leads.
func (c *Core) read(ref uint64) {
	if c.role != Leader || !c.CommittedInTerm() {
		c.out.Reads = append(c.out.Reads, ReadReady{Ref: ref})
		return
	}
	c.readMark++
	c.reads = append(c.reads, pendingRead{ref: ref, mark: c.readMark, index: c.commit, acks: map[MemberID]bool{}})
	if c.majority(func(id MemberID) bool { return id == c.id }) {
		last := c.reads[len(c.reads)-1]
		c.reads = c.reads[:len(c.reads)-1]
		c.out.Reads = append(c.out.Reads, ReadReady{Ref: ref, Index: last.index, OK: true})
		return
	}
	c.sendHeartbeats()
}

func (c *Core) takeSnapshot(m Message) {
	if m.Snapshot == nil || m.Snapshot.Index <= c.commit {
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, LogIndex: c.commit})
		return
	}
	snapshot := *m.Snapshot
	c.log = replicaLog{snapshot: snapshot, stable: snapshot.Index}
	c.commit, c.handed = snapshot.Index, snapshot.Index
	c.memberships = []membershipAt{{snapshot.Index, snapshot.Membership}}
	save := c.save()
	save.Snapshot = &snapshot
	save.TruncateFrom, save.CompactTo = 1, snapshot.Index
	c.out.Install = &snapshot
	c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, LogIndex: snapshot.Index})
}

func (c *Core) compact(e Compact) {
	term, ok := c.log.term(e.Index)
	if !ok || e.Index <= c.log.snapshot.Index || e.Index > c.handed {
		return
	}
	membership := c.membershipBy(e.Index)
	c.log.snapshot = Snapshot{Index: e.Index, Term: term, Membership: membership, Data: e.Data}
	save := c.save()
	snapshot := c.log.snapshot
	save.Snapshot = &snapshot
	if cut := int(e.Index) - e.Keep; cut > 0 {
		save.CompactTo = Index(cut)
		c.log.compactTo(Index(cut))
	}
	var kept []membershipAt
	for _, at := range c.memberships {
		if at.index > e.Index {
			kept = append(kept, at)
		}
	}
	c.memberships = append([]membershipAt{{e.Index, membership}}, kept...)
}

// proposeMembership lets in one change at a time, after the leader has committed in its term.
func (c *Core) proposeMembership(next Membership) {
	if c.role != Leader || c.transferTo != 0 || !c.CommittedInTerm() || !c.membershipCommitted() {
		return
	}
	if len(next.Voters()) == 0 || voterChanges(c.Membership(), next) > 1 {
		return
	}
	c.out.Proposed, c.out.ProposedTerm = c.appendOwn(EntryMembership, next.Encode()), c.term
	c.sendAppends()
	c.advanceCommit()
}

// voterChanges counts by how many voters two memberships differ.
func voterChanges(a, b Membership) int {
	count := 0
	av, bv := a.Voters(), b.Voters()
	for _, id := range av {
		if !slices.Contains(bv, id) {
			count++
		}
	}
	for _, id := range bv {
		if !slices.Contains(av, id) {
			count++
		}
	}
	return count
}

// startTransfer picks the voter whose log is furthest, of those that speak if there are any.
func (c *Core) startTransfer() {
	better := func(a, b *progress) bool {
		if a.heard != b.heard {
			return a.heard
		}
		return a.match > b.match
	}
	c.transferTo = 0
	for _, id := range c.Membership().Voters() {
		if id != c.id && (c.transferTo == 0 || better(c.fellows[id], c.fellows[c.transferTo])) {
			c.transferTo, c.transferFor = id, 0
		}
	}
}

// flushTransfer tells the heir to stand once it holds the whole log.
func (c *Core) flushTransfer() {
	heir := c.fellows[c.transferTo]
	if c.transferTo != 0 && heir != nil && heir.match == c.log.last() {
		c.now(Message{Kind: MsgTimeoutNow, To: c.transferTo})
	}
}
