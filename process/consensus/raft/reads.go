package raft

import "slices"

// Linearizable reads by read index.

type pendingRead struct {
	ref, mark uint64
	index     Index
	acks      map[MemberID]bool
}

// read is answered once a majority has said, after it was asked, that this member still leads.
func (c *Core) read(ref uint64) {
	if c.role != Leader || !c.CommittedInTerm() {
		c.out.Reads = append(c.out.Reads, ReadReady{Ref: ref})
		return
	}
	c.readMark++
	c.reads = append(c.reads, pendingRead{ref: ref, mark: c.readMark, index: c.commit, acks: map[MemberID]bool{}})
	if c.majority(func(id MemberID) bool { return id == c.id }) {
		last := c.reads[len(c.reads)-1]
		c.reads = c.reads[:len(c.reads)-1]
		c.out.Reads = append(c.out.Reads, ReadReady{Ref: ref, Index: last.index, OK: true})
		return
	}
	c.sendHeartbeats()
}

// HeartbeatRound numbers the newest round of heartbeats that this member sent as the leader.
func (c *Core) HeartbeatRound() uint64 { return c.readMark }

// QuorumRound is the newest round of heartbeats that a majority replied to in this leader's term; zero where
// there is none, or where this member does not lead.
func (c *Core) QuorumRound() uint64 {
	if c.role != Leader {
		return 0
	}
	var answered []uint64
	for _, id := range c.Membership().Voters() {
		if id == c.id {
			answered = append(answered, c.readMark)
			continue
		}
		answered = append(answered, c.peers[id].repliedRound)
	}
	if len(answered) == 0 {
		return 0
	}
	slices.Sort(answered)
	return answered[(len(answered)-1)/2]
}
