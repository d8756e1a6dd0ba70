package raft

// checkQuorum has a leader step down once the newest reply of a majority is an election time-out old (section 6.2).
// Without it, a partitioned leader would go on to be followed on its side of the partition. Each peer's silence is
// counted from its own newest reply and not from a periodic check, so a leader is never late by up to a second time-out.
func (c *Core) checkQuorum() {
	if !c.hasQuorum(func(id MemberID) bool { return id == c.id || c.peers[id].isActive(c.timing) }) {
		c.become(Follower, 0)
	}
}

// isActive says that the peer replied within the last election time-out.
func (p *progress) isActive(timing Timing) bool { return p.ticksSinceReply < timing.ElectionTicks }

// recordReply records that the peer replied, and whether it accepts chunks.
func (p *progress) recordReply(message Message) {
	p.ticksSinceReply, p.acceptsChunks = 0, message.AcceptsChunks
}
