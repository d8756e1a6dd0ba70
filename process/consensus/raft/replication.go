package raft

import "slices"

// Replication: what a leader sends to its peers and what a follower takes, up to the commit index.

// progress is what a leader knows of one member.
type progress struct {
	match, next Index
	// heard says that the member answered since the last quorum check.
	heard bool
	// silent counts the quorum checks since the member last answered.
	silent int
	// probing sends one append at a time until the logs are known to meet.
	probing bool
	// takesParts says that the member takes snapshots in parts.
	takesParts bool
	// repliedRound is the newest round of heartbeats that the member replied to.
	repliedRound uint64
	// awaited is the last entry of a large append under way, awaitedFor how many ticks it may still take.
	awaited    Index
	awaitedFor int
	// sending is the snapshot on its way to the member, if there is one.
	sending *outgoing
}

// spoke notes that the member answered.
func (p *progress) spoke(m Message) { p.heard, p.silent, p.takesParts = true, 0, m.TakesParts }

// mostEntriesPerAppend and mostBytesPerAppend bound one message: a heartbeat waits behind it.
const (
	mostEntriesPerAppend = 256
	mostBytesPerAppend   = 512 << 10
)

// MatchOf is how far a member's log is known to agree; only a leader knows.
func (c *Core) MatchOf(id MemberID) Index {
	if peer := c.peers[id]; peer != nil {
		return peer.match
	}
	return 0
}

// CommittedInTerm says whether a leader has committed an entry of its own term.
func (c *Core) CommittedInTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.term
}

func (c *Core) tickLeader() {
	c.sinceBeat++
	c.sinceCheck++
	if c.transferTo != 0 {
		if c.transferFor++; c.transferFor > c.timing.Election {
			c.transferTo, c.transferFor = 0, 0
		}
	}
	for _, peer := range c.peers {
		peer.tick()
	}
	if c.sinceCheck >= c.timing.Election {
		c.sinceCheck = 0
		// Check-quorum: a leader that a majority no longer answers steps down, so it can't mislead those cut off with it.
		if !c.majority(func(id MemberID) bool { return id == c.id || c.peers[id].heard }) {
			c.become(Follower, 0)
			return
		}
		for _, peer := range c.peers {
			if !peer.heard {
				// Nothing is kept for one that says nothing; it tells how much it holds when it is back.
				peer.silent++
				peer.sending = nil
			}
			peer.heard = false
		}
	}
	if c.sinceBeat >= c.timing.Heartbeat {
		c.sinceBeat = 0
		// Each round has a number of its own, so that its replies can't be taken for those to an earlier one.
		c.readMark++
		c.sendHeartbeats()
		c.sendAppends()
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
		if own := c.peers[c.id]; own != nil {
			own.match = max(own.match, c.log.stable)
		}
		c.advanceCommit()
	}
}

func (c *Core) advanceCommit() {
	var matches []Index
	for _, id := range c.Membership().Voters() {
		matches = append(matches, c.peers[id].match)
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

func (c *Core) commitTo(index Index) {
	if index > c.commit {
		c.commit = index
	}
}

func (c *Core) sendHeartbeats() {
	for _, id := range c.peerIDs() {
		if peer := c.peers[id]; id != c.id {
			c.now(Message{Kind: MsgHeartbeat, To: id, Commit: min(peer.match, c.commit), ReadMark: c.readMark})
		}
	}
}

func (c *Core) sendAppends() {
	for _, id := range c.peerIDs() {
		if id != c.id {
			c.sendAppend(id, c.peers[id])
		}
	}
}

// peerIDs is in the membership's order, so that one history of events has one history of effects.
func (c *Core) peerIDs() []MemberID {
	var ids []MemberID
	for _, member := range c.Membership().Members {
		if c.peers[member.ID] != nil {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (c *Core) sendAppend(id MemberID, peer *progress) {
	previous := peer.next - 1
	previousTerm, ok := c.log.term(previous)
	if !ok || (peer.next <= c.log.last() && len(c.log.from(peer.next, 1)) == 0) {
		// What the member lacks is gone from the log, so it gets the whole state, and not on every beat.
		c.sendSnapshot(id, peer)
		return
	}
	peer.sending = nil
	if peer.awaits() {
		return
	}
	entries := c.log.part(peer.next, mostEntriesPerAppend, mostBytesPerAppend)
	peer.sentAppend(entries)
	c.now(Message{Kind: MsgAppend, To: id, LogIndex: previous, LogTerm: previousTerm, Entries: entries, Commit: c.commit})
	if !peer.probing && len(entries) > 0 {
		peer.next = entries[len(entries)-1].Index + 1
	}
}

func (c *Core) takeAppend(m Message) {
	if m.LogIndex < c.commit {
		// What is committed here can't be other than what the leader has.
		c.acknowledge(m.From, c.commit)
		return
	}
	if term, ok := c.log.term(m.LogIndex); !ok || term != m.LogTerm {
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, Reject: true, LogIndex: m.LogIndex, Hint: min(c.log.last(), m.LogIndex-1), TakesParts: true})
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
	c.acknowledge(m.From, agreed)
}

// acknowledge tells the leader that the log agrees with its own up to index, once that is on disk.
func (c *Core) acknowledge(leader MemberID, index Index) {
	c.later(Message{Kind: MsgAppendReply, To: leader, Term: c.term, LogIndex: index, TakesParts: true})
}

func (c *Core) takeAppendReply(m Message) {
	peer := c.peers[m.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.spoke(m)
	awaited := peer.answered(m)
	if m.Reject {
		// Fall back to where the logs may meet, never before what is known to agree.
		peer.probing = true
		peer.next = max(peer.match+1, min(m.Hint+1, peer.next-1))
		c.sendAppend(m.From, peer)
		return
	}
	if m.LogIndex > c.log.last() {
		return
	}
	if m.LogIndex > peer.match {
		peer.match = m.LogIndex
	}
	if peer.sending != nil && peer.match >= peer.sending.snapshot.Index {
		peer.sending = nil
	}
	wasProbing := peer.probing
	peer.probing = false
	peer.next = max(peer.next, peer.match+1)
	c.advanceCommit()
	if c.role != Leader {
		return
	}
	if (wasProbing || awaited) && peer.next <= c.log.last() {
		c.sendAppend(m.From, peer)
	}
	c.flushTransfer()
}

func (c *Core) takeHeartbeatReply(m Message) {
	peer := c.peers[m.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.spoke(m)
	peer.repliedRound = max(peer.repliedRound, m.ReadMark)
	// Appends may have been lost on the way; a heartbeat's answer is the time to look again.
	if peer.match < c.log.last() && !peer.awaits() {
		peer.next = peer.match + 1
		peer.probing = true
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
