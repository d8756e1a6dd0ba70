package raft

// enterTerm sets term and vote. They are saved before any message of the term leaves.
func (c *Core) enterTerm(term Term, vote MemberID) {
	c.term, c.vote = term, vote
	c.pendingSave().HardState = HardState{Term: c.term, Vote: c.vote}
}

// campaignKind is the reason and the manner of a campaign.
type campaignKind uint8

const (
	// campaignPreVote asks whether votes would be granted, without entering a new term (section 9.6).
	campaignPreVote campaignKind = iota
	// campaignElection follows a successful pre-vote round.
	campaignElection
	// campaignTransfer is an election that the leader asked for: voters grant it although they hear that leader.
	campaignTransfer
)

// campaign requests votes of all voters, this member included.
func (c *Core) campaign(campaign campaignKind) {
	request, ownReply := Message{Kind: MsgVote, Term: c.term + 1}, MsgVoteReply
	if campaign == campaignPreVote {
		request.Kind, ownReply = MsgPreVote, MsgPreVoteReply
		c.become(PreCandidate, 0)
	} else {
		c.enterTerm(request.Term, c.id)
		c.become(Candidate, 0)
	}
	if campaign == campaignTransfer {
		request.Hint = 1
	}
	request.LogIndex, request.LogTerm = c.raftLog.lastIndex(), c.raftLog.lastTerm()
	for _, id := range c.Membership().Voters() {
		message := request
		message.To = id
		if id == c.id {
			// This member's own vote counts only once it is on disk, too: it comes back as a reply.
			message.Kind = ownReply
		}
		c.sendAfterSync(message)
	}
}

// handlePreVote replies whether this member would vote for the sender in the message's term.
func (c *Core) handlePreVote(message Message) {
	grant := message.Term > c.term && c.raftLog.upToDate(message.LogIndex, message.LogTerm) && !c.diskStalled
	reply := Message{Kind: MsgPreVoteReply, To: message.From, Term: message.Term, Reject: !grant}
	if !grant {
		reply.Term = c.term
	}
	c.sendAfterSync(reply)
}

// handleVote grants the vote of this term at most once, to a candidate whose log is up-to-date (section 3.6.1).
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

// handleVoteReply counts a reply: a majority elects, and after a rejecting majority the candidate gives up.
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
			c.campaign(campaignElection)
			return
		}
		c.become(Leader, c.id)
		return
	}
	if c.hasQuorum(func(id MemberID) bool { granted, replied := c.votes[id]; return replied && !granted }) {
		c.become(Follower, 0)
	}
}
