package raft

// transferLeadership begins a leadership transfer (section 3.10). While it lasts the leader rejects proposals; after
// ElectionTicks without an election it is given up.
func (c *Core) transferLeadership() {
	if c.role == Leader {
		c.selectTransferTarget()
		c.sendTimeoutNow()
	}
}

// selectTransferTarget picks the voter with the longest matching log, a recently active one where there is any.
func (c *Core) selectTransferTarget() {
	preferred := func(a, b *progress) bool {
		if a.isActive(c.timing) != b.isActive(c.timing) {
			return a.isActive(c.timing)
		}
		return a.match > b.match
	}
	c.transferTarget = 0
	for _, id := range c.Membership().Voters() {
		if id != c.id && (c.transferTarget == 0 || preferred(c.peers[id], c.peers[c.transferTarget])) {
			c.transferTarget, c.transferElapsed = id, 0
		}
	}
}

// sendTimeoutNow has the target campaign as soon as its log is complete.
func (c *Core) sendTimeoutNow() {
	target := c.peers[c.transferTarget]
	if c.transferTarget != 0 && target != nil && target.match == c.raftLog.lastIndex() {
		c.sendImmediately(Message{Kind: MsgTimeoutNow, To: c.transferTarget})
	}
}

// handleTimeoutNow starts an election at once, on the leader's request.
func (c *Core) handleTimeoutNow() {
	if c.isVoter() && !c.diskStalled {
		c.campaign(campaignTransfer)
	}
}
