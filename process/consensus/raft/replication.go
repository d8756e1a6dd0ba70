package raft

import "slices"

// maxEntriesPerAppend and maxBytesPerAppend bound one message, since heartbeats are queued behind it.
const (
	maxEntriesPerAppend = 256
	maxBytesPerAppend   = 512 << 10
)

// CommittedInTerm says whether a leader has committed an entry of its own term.
func (c *Core) CommittedInTerm() bool {
	term, ok := c.raftLog.term(c.commitIndex)
	return ok && term == c.term
}

// appendEntry appends an entry of the leader's term to its own log.
func (c *Core) appendEntry(kind EntryKind, data []byte) Index {
	entry := Entry{Term: c.term, Index: c.raftLog.lastIndex() + 1, Kind: kind, Data: data}
	c.raftLog.entries = append(c.raftLog.entries, entry)
	save := c.pendingSave()
	save.Entries = append(save.Entries, entry)
	c.adoptMemberships([]Entry{entry})
	return entry.Index
}

// sendAppends sends every peer what it lacks.
func (c *Core) sendAppends() {
	for _, id := range c.peerIDs() {
		if id != c.id {
			c.sendAppend(id, c.peers[id])
		}
	}
}

// sendAppend sends a peer the entries from its next index on, or a snapshot chunk where they are compacted away.
func (c *Core) sendAppend(id MemberID, peer *progress) {
	previous := peer.next - 1
	previousTerm, ok := c.raftLog.term(previous)
	if !ok || (peer.next <= c.raftLog.lastIndex() && len(c.raftLog.entriesFrom(peer.next, 1)) == 0) {
		// The entries are compacted away: the peer needs a snapshot.
		c.sendSnapshotChunk(id, peer)
		return
	}
	peer.outgoing = nil
	if peer.awaitsAppend() {
		return
	}
	entries := c.raftLog.entriesWithin(peer.next, maxEntriesPerAppend, maxBytesPerAppend)
	peer.trackAppend(entries)
	c.sendImmediately(Message{Kind: MsgAppend, To: id, LogIndex: previous, LogTerm: previousTerm, Entries: entries, Commit: c.commitIndex})
	if !peer.probing && len(entries) > 0 {
		peer.next = entries[len(entries)-1].Index + 1
	}
}

// sendHeartbeats sends the present round to all peers.
func (c *Core) sendHeartbeats() {
	for _, id := range c.peerIDs() {
		if peer := c.peers[id]; id != c.id {
			c.sendImmediately(Message{Kind: MsgHeartbeat, To: id, Commit: min(peer.match, c.commitIndex), HeartbeatRound: c.heartbeatRound})
		}
	}
}

// handleAppendReply advances the peer's match and the commit index, or falls back where the peer rejected.
func (c *Core) handleAppendReply(message Message) {
	peer := c.peers[message.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.recordReply(message)
	inflightAcknowledged := peer.acknowledgeAppend(message)
	if message.Reject {
		// Fall back to where the logs may match, never before the known match.
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

// handleHeartbeatReply has the peer probed where its log is behind, and counts for pending reads.
func (c *Core) handleHeartbeatReply(message Message) {
	peer := c.peers[message.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.recordReply(message)
	peer.acknowledgedRound = max(peer.acknowledgedRound, message.HeartbeatRound)
	// An append may have been lost: the match is unknown until the peer acknowledges the next one.
	if peer.match < c.raftLog.lastIndex() && !peer.awaitsAppend() {
		peer.next = peer.match + 1
		peer.probing = true
	}
	c.confirmReads(message.From, message.HeartbeatRound)
}

// handlePersisted advances the synced index; on a leader that counts for the quorum.
func (c *Core) handlePersisted(report Persisted) {
	// The entry may have been truncated or compacted away since: then the report proves nothing.
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

// advanceCommit commits up to the highest index that a majority of voters has synced.
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
	// Only an entry of the leader's own term may be committed by counting replicas (3.6.2); those before it follow.
	if term, ok := c.raftLog.term(quorumIndex); ok && term == c.term && quorumIndex > c.commitIndex {
		c.commitTo(quorumIndex)
		c.sendAppends()
		// A leader that has committed its own removal steps down (4.2.2).
		if !c.isVoter() && c.membershipCommitted() {
			c.become(Follower, 0)
		}
	}
}

// commitTo raises the commit index; it never lowers it.
func (c *Core) commitTo(index Index) {
	if index > c.commitIndex {
		c.commitIndex = index
	}
}
