package raft

import "slices"

// pendingRead is a read whose leadership is not confirmed yet (read index, section 6.4).
type pendingRead struct {
	requestID, round uint64
	index            Index
	acks             map[MemberID]bool
}

// handleRead records the commit index and starts a round of heartbeats. The read is answered once a majority replied to
// that round or a later one, which proves that this member still led when the read arrived.
func (c *Core) handleRead(ref uint64) {
	if c.role != Leader || !c.CommittedInTerm() {
		c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: ref})
		return
	}
	c.heartbeatRound++
	c.pendingReads = append(c.pendingReads, pendingRead{requestID: ref, round: c.heartbeatRound, index: c.commitIndex, acks: map[MemberID]bool{}})
	if c.hasQuorum(func(id MemberID) bool { return id == c.id }) {
		last := c.pendingReads[len(c.pendingReads)-1]
		c.pendingReads = c.pendingReads[:len(c.pendingReads)-1]
		c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: ref, Index: last.index, OK: true})
		return
	}
	c.sendHeartbeats()
}

// HeartbeatRound is the number of the newest round of heartbeats that this member sent as the leader.
func (c *Core) HeartbeatRound() uint64 { return c.heartbeatRound }

// QuorumRound is the newest round of heartbeats that a majority replied to in this leader's term; zero where
// there is none, or where this member does not lead.
func (c *Core) QuorumRound() uint64 {
	if c.role != Leader {
		return 0
	}
	var acknowledged []uint64
	for _, id := range c.Membership().Voters() {
		if id == c.id {
			acknowledged = append(acknowledged, c.heartbeatRound)
			continue
		}
		acknowledged = append(acknowledged, c.peers[id].acknowledgedRound)
	}
	if len(acknowledged) == 0 {
		return 0
	}
	slices.Sort(acknowledged)
	return acknowledged[(len(acknowledged)-1)/2]
}
