package raft

// tick advances the clock by one tick.
func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.randomizedElectionTimeout {
		c.electionElapsed = 0
		c.randomizedElectionTimeout = c.timing.ElectionTicks + c.random.IntN(c.timing.ElectionTicks)
		// Learners do not campaign, nor does a member whose disk stalls: its own vote would not be synced.
		if c.isVoter() && !c.diskStalled {
			c.campaign(campaignPreVote)
		}
	}
}

// tickLeader does what a leader owes its peers: heartbeats, resends, the quorum check and the end of a transfer.
func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	if c.transferTarget != 0 {
		if c.transferElapsed++; c.transferElapsed > c.timing.ElectionTicks {
			c.transferTarget, c.transferElapsed = 0, 0
		}
	}
	for _, peer := range c.peers {
		peer.tick(c.timing)
	}
	if c.checkQuorum(); c.role != Leader {
		return
	}
	if c.heartbeatElapsed >= c.timing.HeartbeatTicks {
		c.heartbeatElapsed = 0
		// Each round has its own number, so that a late reply confirms only the round it answers.
		c.heartbeatRound++
		c.sendHeartbeats()
		c.sendAppends()
	}
}
