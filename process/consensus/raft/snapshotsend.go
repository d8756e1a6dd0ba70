package raft

// outgoing is a snapshot on its way to a peer. It stays the same one while the log is compacted again.
type outgoingSnapshot struct {
	snapshot Snapshot
	// held is how many bytes the peer said that it holds.
	receivedBytes uint64
	// wait counts ticks until the part is sent again.
	resendTicks int
}

// sendSnapshot sends the next part of a snapshot to a peer that lacks what is gone from the log.
func (c *Core) sendSnapshotChunk(id MemberID, peer *progress) {
	if c.raftLog.snapshot.Index == 0 || peer.inactiveChecks > 0 {
		// One that says nothing is asked by heartbeats alone.
		return
	}
	if peer.outgoing == nil || !c.raftLog.containsAllAfter(peer.outgoing.snapshot.Index) {
		if len(c.raftLog.snapshot.Checksum) == 0 {
			c.raftLog.snapshot.Checksum = c.raftLog.snapshot.checksum()
		}
		peer.outgoing = &outgoingSnapshot{snapshot: c.raftLog.snapshot}
		c.addNotice(Notice{Kind: NoticeSnapshotSent, Peer: id, Index: c.raftLog.snapshot.Index, Bytes: len(c.raftLog.snapshot.Data)})
	}
	outgoing := peer.outgoing
	if outgoing.resendTicks > 0 {
		return
	}
	size := uint64(len(outgoing.snapshot.Data))
	chunk := outgoing.snapshot
	offset := uint64(0)
	if peer.acceptsChunks {
		offset = outgoing.receivedBytes
		chunk.Data = chunk.Data[offset:min(size, offset+snapshotChunkBytes)]
	}
	outgoing.resendTicks = c.timing.ElectionTicks + max(0, len(chunk.Data)-snapshotChunkBytes)/wholeSnapshotBytesPerTick
	c.sendImmediately(Message{Kind: MsgSnapshot, To: id, Snapshot: &chunk, SnapshotOffset: offset, SnapshotSize: size})
}

// takeSnapshotReply notes how much of a snapshot a peer holds, and sends the next part.
func (c *Core) handleSnapshotReply(message Message) {
	peer := c.peers[message.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.recordReply(message)
	outgoing := peer.outgoing
	if outgoing == nil || outgoing.snapshot.Index != message.LogIndex || outgoing.snapshot.Term != message.LogTerm {
		return
	}
	size := uint64(len(outgoing.snapshot.Data))
	switch {
	case message.Reject:
		// It could not use the snapshot: it gets it anew, from the start, once the wait is over.
		outgoing.receivedBytes = 0
	case message.SnapshotOffset >= size:
		// Whoever holds the whole has acknowledged its place in the log, or will with the next part that comes twice.
		outgoing.receivedBytes = 0
	case message.SnapshotOffset > outgoing.receivedBytes:
		outgoing.receivedBytes, outgoing.resendTicks = message.SnapshotOffset, 0
		c.sendSnapshotChunk(message.From, peer)
	default:
		// It lost what it held, or this reply is late: the part is sent again once the wait is over.
		outgoing.receivedBytes = message.SnapshotOffset
	}
}
