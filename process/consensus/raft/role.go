package raft

// Role is the role of a member in its term (section 3.3).
type Role uint8

const (
	// Follower appends the entries that a leader sends.
	Follower Role = iota
	// PreCandidate asks whether it would be elected, without entering a new term (9.6).
	PreCandidate
	// Candidate requests votes in a new term.
	Candidate
	// Leader appends and replicates the entries of its term.
	Leader
)

// String is the name in logs and on status pages.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// become changes the role; nothing else does. It resets the timers, the votes and, unless the member leads, the progress
// of its peers, and fails the reads of a leader that steps down.
func (c *Core) become(role Role, leader MemberID) {
	wasLeader := c.role == Leader
	c.role, c.leader = role, leader
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.randomizedElectionTimeout = c.timing.ElectionTicks + c.random.IntN(c.timing.ElectionTicks)
	c.votes = map[MemberID]bool{}
	c.transferTarget, c.transferElapsed = 0, 0
	if wasLeader && role != Leader {
		// Only a leader can confirm reads: those pending fail.
		for _, read := range c.pendingReads {
			c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: read.requestID})
		}
	}
	c.pendingReads = nil
	c.peers = nil
	if role == Leader {
		c.leader = c.id
		c.updatePeers()
		c.appendEntry(EntryEmpty, nil)
		c.sendAppends()
	}
}
