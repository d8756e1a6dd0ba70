package raft

import (
	"slices"
)

// mostEntriesPerAppend and mostBytesPerAppend bound one message: a heartbeat waits behind it.
const (
	maxEntriesPerAppend = 256
	maxBytesPerAppend   = 512 << 10
)

// CommittedInTerm says whether a leader has committed an entry of its own term.
func (c *Core) CommittedInTerm() bool {
	term, ok := c.raftLog.term(c.commitIndex)
	return ok && term == c.term
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

func (c *Core) sendAppends() {
	for _, id := range c.peerIDs() {
		if id != c.id {
			c.sendAppend(id, c.peers[id])
		}
	}
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

func (c *Core) sendHeartbeats() {
	for _, id := range c.peerIDs() {
		if peer := c.peers[id]; id != c.id {
			c.sendImmediately(Message{Kind: MsgHeartbeat, To: id, Commit: min(peer.match, c.commitIndex), HeartbeatRound: c.heartbeatRound})
		}
	}
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
