package raft

func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.randomizedElectionTimeout {
		c.electionElapsed = 0
		c.randomizedElectionTimeout = c.timing.ElectionTicks + c.random.IntN(c.timing.ElectionTicks)
		// One who can't write can't win, and one who is no voter may not ask.
		if c.isVoter() && !c.diskStalled {
			c.campaign(true)
		}
	}
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
