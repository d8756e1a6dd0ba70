package raft

// Snapshots: how the log is compacted, and how a follower takes over a leader's snapshot.

// takeSnapshot takes a leader's snapshot in place of a log that lacks its last entry.
func (c *Core) takeSnapshot(m Message) {
	if m.Snapshot == nil || m.Snapshot.Index <= c.commit {
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, LogIndex: c.commit})
		return
	}
	snapshot := *m.Snapshot
	if term, held := c.log.term(snapshot.Index); held && term == snapshot.Term {
		// The log holds the snapshot's last entry, so it holds all before it as the leader does. Entries behind it may
		// have been acknowledged and counted for a commit: they stay, and the state gets there by the log.
		c.commitTo(snapshot.Index)
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, LogIndex: snapshot.Index})
		return
	}
	c.log = replicaLog{snapshot: snapshot, stable: snapshot.Index}
	c.commit, c.handed = snapshot.Index, snapshot.Index
	c.memberships = []membershipAt{{snapshot.Index, snapshot.Membership}}
	save := c.save()
	save.Snapshot = &snapshot
	save.TruncateFrom, save.CompactTo = 1, snapshot.Index
	c.out.Install = &snapshot
	c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, LogIndex: snapshot.Index})
}

// compact replaces the log up to an applied entry by a snapshot of the state.
func (c *Core) compact(e Compact) {
	term, ok := c.log.term(e.Index)
	if !ok || e.Index <= c.log.snapshot.Index || e.Index > c.handed {
		return
	}
	membership := c.membershipBy(e.Index)
	c.log.snapshot = Snapshot{Index: e.Index, Term: term, Membership: membership, Data: e.Data}
	save := c.save()
	snapshot := c.log.snapshot
	save.Snapshot = &snapshot
	if cut := int(e.Index) - e.Keep; cut > 0 {
		save.CompactTo = Index(cut)
		c.log.compactTo(Index(cut))
	}
	var kept []membershipAt
	for _, at := range c.memberships {
		if at.index > e.Index {
			kept = append(kept, at)
		}
	}
	c.memberships = append([]membershipAt{{e.Index, membership}}, kept...)
}
