package raft

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
