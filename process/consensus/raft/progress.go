package raft

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

// MatchOf is how far a member's log is known to agree; only a leader knows.
func (c *Core) MatchIndex(id MemberID) Index {
	if peer := c.peers[id]; peer != nil {
		return peer.match
	}
	return 0
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
