package raft

// maxBytesRetainedForPeers bounds the entries that a leader's log retains for peers that are being sent a snapshot.
const maxBytesRetainedForPeers = 8 << 20

// handleCompact replaces the log up to an applied entry by a snapshot of the state (chapter 5). A request beyond what
// was delivered, or behind the present snapshot, changes nothing.
func (c *Core) handleCompact(request Compact) {
	term, ok := c.raftLog.term(request.Index)
	if !ok || request.Index <= c.raftLog.snapshot.Index || request.Index > c.deliveredIndex {
		return
	}
	membership := c.membershipAtIndex(request.Index)
	c.raftLog.snapshot = Snapshot{Index: request.Index, Term: term, Membership: membership, Data: request.Data}
	save := c.pendingSave()
	snapshot := c.raftLog.snapshot
	save.Snapshot = &snapshot
	if compactTo := c.retainForPeers(int(request.Index) - max(0, request.RetainEntries)); compactTo > 0 {
		save.CompactTo = Index(compactTo)
		c.raftLog.compactTo(Index(compactTo))
	}
	var newer []membershipEntry
	for _, at := range c.memberships {
		if at.index > request.Index {
			newer = append(newer, at)
		}
	}
	c.memberships = append([]membershipEntry{{request.Index, membership}}, newer...)
}

// retainForPeers lowers the index to compact to, so that the entries after a snapshot in transfer stay. Without them
// the peer would need another snapshot at once, and for ever where the log is compacted faster than a snapshot is sent.
func (c *Core) retainForPeers(compactTo int) int {
	lowered := compactTo
	for _, peer := range c.peers {
		if peer.outgoing == nil || int(peer.outgoing.snapshot.Index) >= lowered {
			continue
		}
		if c.raftLog.bytesBetween(peer.outgoing.snapshot.Index, Index(compactTo)) <= maxBytesRetainedForPeers {
			lowered = int(peer.outgoing.snapshot.Index)
		}
	}
	return lowered
}
