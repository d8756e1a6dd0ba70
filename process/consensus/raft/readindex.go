package raft

import "slices"

// pendingRead is a read whose leadership is not confirmed yet (read index, section 6.4).
type pendingRead struct {
	requestID uint64
	// round is the round of heartbeats that was started for the read; replies to it and to later ones count.
	round uint64
	// index is the commit index when the read arrived.
	index        Index
	acknowledged map[MemberID]bool
}

// handleRead records the commit index and starts a round of heartbeats. The read is answered once a majority replied to
// that round or a later one, which proves that this member still led when the read arrived.
func (c *Core) handleRead(requestID uint64) {
	if c.role != Leader || !c.CommittedInTerm() {
		c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: requestID})
		return
	}
	c.heartbeatRound++
	if c.hasQuorum(func(id MemberID) bool { return id == c.id }) {
		// The only voter needs no confirmation.
		c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: requestID, Index: c.commitIndex, OK: true})
		return
	}
	read := pendingRead{requestID: requestID, round: c.heartbeatRound, index: c.commitIndex, acknowledged: map[MemberID]bool{}}
	c.pendingReads = append(c.pendingReads, read)
	c.sendHeartbeats()
}

// confirmReads counts a peer's reply to a round of heartbeats, and answers the reads that a majority has confirmed.
func (c *Core) confirmReads(from MemberID, round uint64) {
	unconfirmed := c.pendingReads[:0]
	for _, read := range c.pendingReads {
		if round >= read.round {
			read.acknowledged[from] = true
		}
		if c.hasQuorum(func(id MemberID) bool { return id == c.id || read.acknowledged[id] }) {
			c.effects.ReadStates = append(c.effects.ReadStates, ReadState{RequestID: read.requestID, Index: read.index, OK: true})
			continue
		}
		unconfirmed = append(unconfirmed, read)
	}
	c.pendingReads = unconfirmed
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
