package raft

// receive processes a message, unless it is for another member, invalid, or to be ignored.
func (c *Core) receive(message Message) {
	if message.To != c.id {
		return
	}
	if err := c.validateMessage(message); err != nil {
		c.rejectMessage(message, err)
		return
	}
	if c.ignoresCandidate(message) {
		return
	}
	switch {
	case message.Term < c.term:
		c.replyToStaleTerm(message)
		return
	case message.Term > c.term:
		c.adoptTerm(message)
	}
	c.dispatch(message)
}

// validateMessage checks a message by itself, and against the terms and the committed entry of this member. Its error is
// a MalformedError.
func (c *Core) validateMessage(message Message) error {
	if err := message.Validate(); err != nil {
		return err
	}
	switch {
	case message.Term > c.term && message.Term-c.term > maxTermIncrease:
		return MalformedError{Kind: message.Kind, Reason: "term far beyond this member's"}
	case message.fromLeader() && message.Term == c.term && c.role == Leader:
		return MalformedError{Kind: message.Kind, Reason: "another leads in this leader's term"}
	case message.Kind == MsgAppend && message.Term >= c.term && message.LogIndex == c.commitIndex && message.LogIndex > 0:
		if term, known := c.raftLog.term(c.commitIndex); known && term != message.LogTerm {
			return MalformedError{Kind: message.Kind, Reason: "contradicts a committed entry"}
		}
	}
	return nil
}

// rejectMessage reports an invalid message, which changes nothing.
func (c *Core) rejectMessage(message Message, err error) {
	c.addNotice(Notice{Kind: NoticeMessageRejected, Peer: message.From, Index: message.LogIndex, Err: err})
}

// ignoresCandidate says whether a vote request is ignored. While this member hears a leader, a voter that is partitioned
// from it must not disrupt the group (section 4.2.3); only a leadership transfer may.
func (c *Core) ignoresCandidate(message Message) bool {
	if message.Kind != MsgPreVote && message.Kind != MsgVote || message.Hint != 0 || message.From == c.id {
		return false
	}
	leaderActive := c.role == Leader || (c.leader != 0 && c.electionElapsed < c.timing.ElectionTicks)
	if leaderActive && message.Kind == MsgPreVote {
		c.sendAfterSync(Message{Kind: MsgPreVoteReply, To: message.From, Term: c.term, Reject: true})
	}
	return leaderActive
}

// adoptTerm enters a later term as a follower. The term of a pre-vote round is one that nobody has entered yet.
func (c *Core) adoptTerm(message Message) {
	if message.Kind == MsgPreVote || message.Kind == MsgPreVoteReply && !message.Reject {
		return
	}
	leader := MemberID(0)
	if message.fromLeader() {
		leader = message.From
	}
	c.enterTerm(message.Term, 0)
	c.become(Follower, leader)
}

// replyToStaleTerm tells the present term to a sender of an earlier one, so that it steps down or stops campaigning.
func (c *Core) replyToStaleTerm(message Message) {
	switch {
	case message.fromLeader():
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: message.From, Term: c.term, Reject: true, Hint: c.raftLog.lastIndex(), AcceptsChunks: true})
	case message.Kind == MsgPreVote:
		c.sendAfterSync(Message{Kind: MsgPreVoteReply, To: message.From, Term: c.term, Reject: true})
	}
}

// dispatch processes a message of this member's term, or of a pre-vote round.
func (c *Core) dispatch(message Message) {
	if message.fromLeader() {
		c.followLeader(message.From)
	}
	switch message.Kind {
	case MsgPreVote:
		c.handlePreVote(message)
	case MsgVote:
		c.handleVote(message)
	case MsgPreVoteReply, MsgVoteReply:
		c.handleVoteReply(message)
	case MsgAppend:
		c.handleAppend(message)
	case MsgHeartbeat:
		// The leader has limited Commit to what it knows this member to have synced.
		c.commitTo(min(message.Commit, c.raftLog.lastIndex()))
		c.sendImmediately(Message{Kind: MsgHeartbeatReply, To: message.From, HeartbeatRound: message.HeartbeatRound, AcceptsChunks: true})
	case MsgSnapshot:
		c.handleSnapshot(message)
	case MsgAppendReply:
		c.handleAppendReply(message)
	case MsgHeartbeatReply:
		c.handleHeartbeatReply(message)
	case MsgSnapshotReply:
		c.handleSnapshotReply(message)
	case MsgTimeoutNow:
		c.handleTimeoutNow()
	}
}
