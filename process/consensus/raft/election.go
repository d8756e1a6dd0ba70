package raft

// Elections: roles, terms, votes and the pre-vote round.

// become is the one place where a member changes its role.
func (c *Core) become(role Role, leader MemberID) {
	wasLeader := c.role == Leader
	c.role, c.leader = role, leader
	c.sinceLeader, c.sinceBeat, c.sinceCheck = 0, 0, 0
	c.electionIn = c.timing.Election + c.random.IntN(c.timing.Election)
	c.votes = map[MemberID]bool{}
	c.transferTo, c.transferFor = 0, 0
	if wasLeader && role != Leader {
		// A read that waited for a quorum can't be answered by one who no longer leads.
		for _, read := range c.reads {
			c.out.Reads = append(c.out.Reads, ReadReady{Ref: read.ref})
		}
	}
	c.reads = nil
	c.peers = nil
	if role == Leader {
		c.leader = c.id
		c.fitPeers()
		for _, peer := range c.peers {
			peer.heard = true
		}
		c.appendOwn(EntryEmpty, nil)
		c.sendAppends()
	}
}

// enterTerm moves to a later term; the disk learns of it before anything is said in it.
func (c *Core) enterTerm(term Term, vote MemberID) {
	c.term, c.vote = term, vote
	c.save().HardState = HardState{Term: c.term, Vote: c.vote}
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
		message := Message{Kind: kind, To: id, Term: term, LogIndex: c.log.last(), LogTerm: c.log.lastTerm()}
		if id == c.id {
			// The own vote too counts only once it is on disk.
			message.Kind = kind + 1
		}
		c.later(message)
	}
}

// takePreVote says whether this member would vote for the sender in the term it names.
func (c *Core) takePreVote(m Message) {
	grant := m.Term > c.term && c.log.upToDate(m.LogIndex, m.LogTerm) && !c.stalled
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = c.term
	}
	c.later(reply)
}

// takeVote gives this term's vote once, to a candidate whose log holds all that this one does.
func (c *Core) takeVote(m Message) {
	free := c.vote == 0 || c.vote == m.From
	if !free || c.role == Leader || !c.log.upToDate(m.LogIndex, m.LogTerm) {
		c.later(Message{Kind: MsgVoteReply, To: m.From, Term: c.term, Reject: true})
		return
	}
	c.enterTerm(c.term, m.From)
	c.sinceLeader = 0
	c.later(Message{Kind: MsgVoteReply, To: m.From, Term: c.term})
}

// countVote counts a reply, and leads once a majority has granted.
func (c *Core) countVote(m Message) {
	wanted := Candidate
	if m.Kind == MsgPreVoteReply {
		wanted = PreCandidate
	}
	if c.role != wanted {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.majority(func(id MemberID) bool { return c.votes[id] }) {
		if wanted == PreCandidate {
			c.campaign(false)
			return
		}
		c.become(Leader, c.id)
		return
	}
	if c.majority(func(id MemberID) bool { granted, said := c.votes[id]; return said && !granted }) {
		c.become(Follower, 0)
	}
}
