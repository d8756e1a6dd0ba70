package raft

import "slices"

// Replication: what a leader sends to its peers and what a follower takes, up to the commit index.

// progress is what a leader knows of one member.
type progress struct {
	match, next Index
	// heard says that the member answered since the last quorum check.
	recentActive bool
	// silent counts the quorum checks since the member last answered.
	inactiveChecks int
	// probing sends one append at a time until the logs are known to meet.
	probing bool
	// takesParts says that the member takes snapshots in parts.
	acceptsChunks bool
	// repliedRound is the newest round of heartbeats that the member replied to.
	acknowledgedRound uint64
	// awaited is the last entry of a large append under way, awaitedFor how many ticks it may still take.
	inflightIndex Index
	inflightTicks int
	// sending is the snapshot on its way to the member, if there is one.
	outgoing *outgoingSnapshot
}

// spoke notes that the member answered.
func (p *progress) recordReply(message Message) {
	p.recentActive, p.inactiveChecks, p.acceptsChunks = true, 0, message.AcceptsChunks
}

// mostEntriesPerAppend and mostBytesPerAppend bound one message: a heartbeat waits behind it.
const (
	maxEntriesPerAppend = 256
	maxBytesPerAppend   = 512 << 10
)

// MatchOf is how far a member's log is known to agree; only a leader knows.
func (c *Core) MatchIndex(id MemberID) Index {
	if peer := c.peers[id]; peer != nil {
		return peer.match
	}
	return 0
}

// CommittedInTerm says whether a leader has committed an entry of its own term.
func (c *Core) CommittedInTerm() bool {
	term, ok := c.raftLog.term(c.commitIndex)
	return ok && term == c.term
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	c.quorumCheckElapsed++
	if c.transferTarget != 0 {
		if c.transferElapsed++; c.transferElapsed > c.timing.ElectionTicks {
			c.transferTarget, c.transferElapsed = 0, 0
		}
	}
	for _, peer := range c.peers {
		peer.tick()
	}
	if c.quorumCheckElapsed >= c.timing.ElectionTicks {
		c.quorumCheckElapsed = 0
		// Check-quorum: a leader that a majority no longer answers steps down, so it can't mislead those cut off with it.
		if !c.hasQuorum(func(id MemberID) bool { return id == c.id || c.peers[id].recentActive }) {
			c.become(Follower, 0)
			return
		}
		for _, peer := range c.peers {
			if !peer.recentActive {
				// Nothing is kept for one that says nothing; it tells how much it holds when it is back.
				peer.inactiveChecks++
				peer.outgoing = nil
			}
			peer.recentActive = false
		}
	}
	if c.heartbeatElapsed >= c.timing.HeartbeatTicks {
		c.heartbeatElapsed = 0
		// Each round has a number of its own, so that its replies can't be taken for those to an earlier one.
		c.heartbeatRound++
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
	c.electionElapsed = 0
}

// appendOwn puts an entry of this leader's term at the end of the log.
func (c *Core) appendEntry(kind EntryKind, data []byte) Index {
	entry := Entry{Term: c.term, Index: c.raftLog.lastIndex() + 1, Kind: kind, Data: data}
	c.raftLog.entries = append(c.raftLog.entries, entry)
	save := c.pendingSave()
	save.Entries = append(save.Entries, entry)
	c.adoptMemberships([]Entry{entry})
	return entry.Index
}

func (c *Core) handlePersisted(report Persisted) {
	// A report about entries since cut away proves nothing.
	if term, known := c.raftLog.term(report.Index); !known || term != report.Term {
		return
	}
	if report.Index > c.raftLog.stableIndex {
		c.raftLog.stableIndex = report.Index
	}
	if c.role == Leader {
		if self := c.peers[c.id]; self != nil {
			self.match = max(self.match, c.raftLog.stableIndex)
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
	quorumIndex := matches[(len(matches)-1)/2]
	// Only an entry of the leader's own term may be committed by counting; those before it follow.
	if term, ok := c.raftLog.term(quorumIndex); ok && term == c.term && quorumIndex > c.commitIndex {
		c.commitTo(quorumIndex)
		c.sendAppends()
		// A leader that has committed its own removal leaves.
		if !c.isVoter() && c.membershipCommitted() {
			c.become(Follower, 0)
		}
	}
}

func (c *Core) commitTo(index Index) {
	if index > c.commitIndex {
		c.commitIndex = index
	}
}

func (c *Core) sendHeartbeats() {
	for _, id := range c.peerIDs() {
		if peer := c.peers[id]; id != c.id {
			c.sendImmediately(Message{Kind: MsgHeartbeat, To: id, Commit: min(peer.match, c.commitIndex), HeartbeatRound: c.heartbeatRound})
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
	previousTerm, ok := c.raftLog.term(previous)
	if !ok || (peer.next <= c.raftLog.lastIndex() && len(c.raftLog.entriesFrom(peer.next, 1)) == 0) {
		// What the member lacks is gone from the log, so it gets the whole state, and not on every beat.
		c.sendSnapshotChunk(id, peer)
		return
	}
	peer.outgoing = nil
	if peer.appendInFlight() {
		return
	}
	entries := c.raftLog.entriesWithin(peer.next, maxEntriesPerAppend, maxBytesPerAppend)
	peer.trackAppend(entries)
	c.sendImmediately(Message{Kind: MsgAppend, To: id, LogIndex: previous, LogTerm: previousTerm, Entries: entries, Commit: c.commitIndex})
	if !peer.probing && len(entries) > 0 {
		peer.next = entries[len(entries)-1].Index + 1
	}
}

func (c *Core) handleAppend(message Message) {
	if message.LogIndex < c.commitIndex {
		// What is committed here can't be other than what the leader has.
		c.acknowledge(message.From, c.commitIndex)
		return
	}
	if term, ok := c.raftLog.term(message.LogIndex); !ok || term != message.LogTerm {
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: message.From, Term: c.term, Reject: true, LogIndex: message.LogIndex, Hint: min(c.raftLog.lastIndex(), message.LogIndex-1), AcceptsChunks: true})
		return
	}
	newEntries := message.Entries
	for len(newEntries) > 0 {
		term, ok := c.raftLog.term(newEntries[0].Index)
		if !ok || term != newEntries[0].Term {
			break
		}
		newEntries = newEntries[1:]
	}
	if len(newEntries) > 0 {
		first := newEntries[0].Index
		save := c.pendingSave()
		if first <= c.raftLog.lastIndex() {
			if first <= c.commitIndex {
				panic("broken invariant: a committed entry would be replaced")
			}
			c.raftLog.truncateFrom(first)
			c.discardMembershipsFrom(first)
			save.TruncateFrom = first
		}
		c.raftLog.entries = append(c.raftLog.entries, newEntries...)
		c.adoptMemberships(newEntries)
		save.Entries = append(save.Entries, newEntries...)
	}
	matchIndex := message.LogIndex + Index(len(message.Entries))
	c.commitTo(min(message.Commit, matchIndex))
	c.acknowledge(message.From, matchIndex)
}

// acknowledge tells the leader that the log agrees with its own up to index, once that is on disk.
func (c *Core) acknowledge(leader MemberID, index Index) {
	c.sendAfterSync(Message{Kind: MsgAppendReply, To: leader, Term: c.term, LogIndex: index, AcceptsChunks: true})
}

func (c *Core) handleAppendReply(message Message) {
	peer := c.peers[message.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.recordReply(message)
	inflightAcknowledged := peer.acknowledgeAppend(message)
	if message.Reject {
		// Fall back to where the logs may meet, never before what is known to agree.
		peer.probing = true
		peer.next = max(peer.match+1, min(message.Hint+1, peer.next-1))
		c.sendAppend(message.From, peer)
		return
	}
	if message.LogIndex > c.raftLog.lastIndex() {
		return
	}
	if message.LogIndex > peer.match {
		peer.match = message.LogIndex
	}
	if peer.outgoing != nil && peer.match >= peer.outgoing.snapshot.Index {
		peer.outgoing = nil
	}
	wasProbing := peer.probing
	peer.probing = false
	peer.next = max(peer.next, peer.match+1)
	c.advanceCommit()
	if c.role != Leader {
		return
	}
	if (wasProbing || inflightAcknowledged) && peer.next <= c.raftLog.lastIndex() {
		c.sendAppend(message.From, peer)
	}
	c.sendTimeoutNow()
}

func (c *Core) handleHeartbeatReply(message Message) {
	peer := c.peers[message.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.recordReply(message)
	peer.acknowledgedRound = max(peer.acknowledgedRound, message.HeartbeatRound)
	// Appends may have been lost on the way; a heartbeat's answer is the time to look again.
	if peer.match < c.raftLog.lastIndex() && !peer.appendInFlight() {
		peer.next = peer.match + 1
		peer.probing = true
	}
	unconfirmed := c.pendingReads[:0]
	for _, read := range c.pendingReads {
		if message.HeartbeatRound >= read.round {
			read.acks[message.From] = true
		}
		if c.hasQuorum(func(id MemberID) bool { return id == c.id || read.acks[id] }) {
			c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: read.requestID, Index: read.index, OK: true})
			continue
		}
		unconfirmed = append(unconfirmed, read)
	}
	c.pendingReads = unconfirmed
}
