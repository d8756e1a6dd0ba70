package raft

// Elections: roles, terms, votes and the pre-vote round.

// become is the one place where a member changes its role.
func (c *Core) become(role Role, leader MemberID) {
	wasLeader := c.role == Leader
	c.role, c.leader = role, leader
	c.electionElapsed, c.heartbeatElapsed, c.quorumCheckElapsed = 0, 0, 0
	c.randomizedElectionTimeout = c.timing.ElectionTicks + c.random.IntN(c.timing.ElectionTicks)
	c.votes = map[MemberID]bool{}
	c.transferTarget, c.transferElapsed = 0, 0
	if wasLeader && role != Leader {
		// A read that waited for a quorum can't be answered by one who no longer leads.
		for _, read := range c.pendingReads {
			c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: read.requestID})
		}
	}
	c.pendingReads = nil
	c.peers = nil
	if role == Leader {
		c.leader = c.id
		c.updatePeers()
		for _, peer := range c.peers {
			peer.recentActive = true
		}
		c.appendEntry(EntryEmpty, nil)
		c.sendAppends()
	}
}

// enterTerm moves to a later term; the disk learns of it before anything is said in it.
func (c *Core) enterTerm(term Term, vote MemberID) {
	c.term, c.vote = term, vote
	c.pendingSave().HardState = HardState{Term: c.term, Vote: c.vote}
}

// campaign asks for votes; the pre-vote round asks without entering a new term.
func (c *Core) campaign(preVote bool) {
	kind, term := MsgVote, c.term+1
	if preVote {
		kind = MsgPreVote
		c.become(PreCandidate, 0)
	} else {
		c.enterTerm(term, c.id)
		c.become(Candidate, 0)
	}
	for _, id := range c.Membership().Voters() {
		message := Message{Kind: kind, To: id, Term: term, LogIndex: c.raftLog.lastIndex(), LogTerm: c.raftLog.lastTerm()}
		if id == c.id {
			// The own vote too counts only once it is on disk.
			message.Kind = kind + 1
		}
		c.sendAfterSync(message)
	}
}

// takePreVote says whether this member would vote for the sender in the term it names.
func (c *Core) handlePreVote(message Message) {
	grant := message.Term > c.term && c.raftLog.upToDate(message.LogIndex, message.LogTerm) && !c.diskStalled
	reply := Message{Kind: MsgPreVoteReply, To: message.From, Term: message.Term, Reject: !grant}
	if !grant {
		reply.Term = c.term
	}
	c.sendAfterSync(reply)
}

// takeVote gives this term's vote once, to a candidate whose log holds all that this one does.
func (c *Core) handleVote(message Message) {
	available := c.vote == 0 || c.vote == message.From
	if !available || c.role == Leader || !c.raftLog.upToDate(message.LogIndex, message.LogTerm) {
		c.sendAfterSync(Message{Kind: MsgVoteReply, To: message.From, Term: c.term, Reject: true})
		return
	}
	c.enterTerm(c.term, message.From)
	c.electionElapsed = 0
	c.sendAfterSync(Message{Kind: MsgVoteReply, To: message.From, Term: c.term})
}

// countVote counts a reply, and leads once a majority has granted.
func (c *Core) handleVoteReply(message Message) {
	expectedRole := Candidate
	if message.Kind == MsgPreVoteReply {
		expectedRole = PreCandidate
	}
	if c.role != expectedRole {
		return
	}
	c.votes[message.From] = !message.Reject
	if c.hasQuorum(func(id MemberID) bool { return c.votes[id] }) {
		if expectedRole == PreCandidate {
			c.campaign(false)
			return
		}
		c.become(Leader, c.id)
		return
	}
	if c.hasQuorum(func(id MemberID) bool { granted, replied := c.votes[id]; return replied && !granted }) {
		c.become(Follower, 0)
	}
}
