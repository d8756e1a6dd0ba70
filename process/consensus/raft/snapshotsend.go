package raft

// outgoingSnapshot is a snapshot in transfer to a peer. The transfer goes on when the log is compacted again meanwhile.
type outgoingSnapshot struct {
	snapshot Snapshot
	// receivedBytes is how much of it the peer has acknowledged.
	receivedBytes uint64
	// resendTicks is the number of ticks until the chunk in flight is sent again.
	resendTicks int
}

// sendSnapshotChunk sends the next chunk to a peer that needs entries which are compacted away, unless one is in flight.
func (c *Core) sendSnapshotChunk(id MemberID, peer *progress) {
	if c.raftLog.snapshot.Index == 0 || !peer.isActive(c.timing) {
		// An unresponsive peer is sent heartbeats alone.
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
	outgoing.resendTicks = c.timing.ElectionTicks + max(0, len(chunk.Data)-snapshotChunkBytes)/unchunkedSnapshotBytesPerTick
	c.sendImmediately(Message{Kind: MsgSnapshot, To: id, Snapshot: &chunk, SnapshotOffset: offset, SnapshotSize: size})
}

// handleSnapshotReply records how much of a snapshot a peer has received, and sends the next chunk.
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
		// The snapshot was unusable: it is sent from the start again once resendTicks are over.
		outgoing.receivedBytes = 0
	case message.SnapshotOffset >= size:
		// A peer that has all of it acknowledges the snapshot's index in a MsgAppendReply. Should that be lost, the
		// transfer starts anew, and the peer acknowledges the first chunk that it receives again.
		outgoing.receivedBytes = 0
	case message.SnapshotOffset > outgoing.receivedBytes:
		outgoing.receivedBytes, outgoing.resendTicks = message.SnapshotOffset, 0
		c.sendSnapshotChunk(message.From, peer)
	default:
		// The peer restarted, or this reply is late: the chunk is sent again once resendTicks are over.
		outgoing.receivedBytes = message.SnapshotOffset
	}
}
