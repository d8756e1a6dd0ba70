package raft

// Leadership transfer.

// startTransfer picks the voter whose log is furthest, of those that speak if there are any.
func (c *Core) startTransfer() {
	better := func(a, b *progress) bool {
		if a.heard != b.heard {
			return a.heard
		}
		return a.match > b.match
	}
	c.transferTo = 0
	for _, id := range c.Membership().Voters() {
		if id != c.id && (c.transferTo == 0 || better(c.peers[id], c.peers[c.transferTo])) {
			c.transferTo, c.transferFor = id, 0
		}
	}
}

// flushTransfer tells the heir to stand once it holds the whole log.
func (c *Core) flushTransfer() {
	heir := c.peers[c.transferTo]
	if c.transferTo != 0 && heir != nil && heir.match == c.log.last() {
		c.now(Message{Kind: MsgTimeoutNow, To: c.transferTo})
	}
}

// takeTimeoutNow has the heir of a transfer stand at once: others vote for it though they hear a leader.
func (c *Core) takeTimeoutNow() {
	if !c.isVoter() || c.stalled {
		return
	}
	c.enterTerm(c.term+1, c.id)
	c.become(Candidate, 0)
	for _, id := range c.Membership().Voters() {
		message := Message{Kind: MsgVote, To: id, Term: c.term, LogIndex: c.log.last(), LogTerm: c.log.lastTerm(), Hint: 1}
		if id == c.id {
			message.Kind = MsgVoteReply
		}
		c.later(message)
	}
}
