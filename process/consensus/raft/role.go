package raft

// Role is what a member is in its term.
type Role uint8

const (
	// Follower takes entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether it would be elected.
	PreCandidate
	// Candidate stands for election.
	Candidate
	// Leader orders the entries of its term.
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

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
