package raft

// Leadership transfer.

// startTransfer picks the voter whose log is furthest, of those that speak if there are any.
func (c *Core) selectTransferTarget() {
	preferred := func(a, b *progress) bool {
		if a.recentActive != b.recentActive {
			return a.recentActive
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

// flushTransfer tells the heir to stand once it holds the whole log.
func (c *Core) sendTimeoutNow() {
	target := c.peers[c.transferTarget]
	if c.transferTarget != 0 && target != nil && target.match == c.raftLog.lastIndex() {
		c.sendImmediately(Message{Kind: MsgTimeoutNow, To: c.transferTarget})
	}
}

// takeTimeoutNow has the heir of a transfer stand at once: others vote for it though they hear a leader.
func (c *Core) handleTimeoutNow() {
	if !c.isVoter() || c.diskStalled {
		return
	}
	c.enterTerm(c.term+1, c.id)
	c.become(Candidate, 0)
	for _, id := range c.Membership().Voters() {
		message := Message{Kind: MsgVote, To: id, Term: c.term, LogIndex: c.raftLog.lastIndex(), LogTerm: c.raftLog.lastTerm(), Hint: 1}
		if id == c.id {
			message.Kind = MsgVoteReply
		}
		c.sendAfterSync(message)
	}
}
