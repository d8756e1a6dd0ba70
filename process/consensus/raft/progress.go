package raft

// progress is what a leader knows of one peer (the next and the match index of section 3.5, and the state of transfers).
type progress struct {
	// match is the last index known to be replicated and synced; next is the first index to send.
	match, next Index
	// ticksSinceReply counts the ticks since the peer's newest reply, or since this member became the leader.
	ticksSinceReply int
	// probing says that the match is unknown: next does not advance until the peer acknowledges an append.
	probing bool
	// acceptsChunks says that the peer accepts snapshots in chunks; earlier builds do not.
	acceptsChunks bool
	// acknowledgedRound is the newest round of heartbeats that the peer replied to.
	acknowledgedRound uint64
	// inflightIndex is the last entry of a large append in flight, inflightTicks how many ticks it may still take.
	inflightIndex Index
	inflightTicks int
	// outgoing is the snapshot in transfer to the peer, or nil.
	outgoing *outgoingSnapshot
}

// MatchIndex is the last index that a member is known to have synced. It is zero for unknown members, and on followers.
func (c *Core) MatchIndex(id MemberID) Index {
	if peer := c.peers[id]; peer != nil {
		return peer.match
	}
	return 0
}

// peerIDs lists the peers in the membership's order, not the map's: the same events must give the same effects.
func (c *Core) peerIDs() []MemberID {
	var ids []MemberID
	for _, member := range c.Membership().Members {
		if c.peers[member.ID] != nil {
			ids = append(ids, member.ID)
		}
	}
	return ids
}
