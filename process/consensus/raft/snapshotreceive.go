package raft

import "bytes"

// incomingSnapshot is what has been received of a leader's snapshot.
type incomingSnapshot struct {
	// leaderTerm is the newest term in which a chunk was received.
	leaderTerm Term
	index      Index
	term       Term
	size       uint64
	checksum   []byte
	data       []byte
}

// SetSnapshotCheck sets a check of a leader's snapshot. Its error rejects the snapshot before log and state are replaced.
func (c *Core) SetSnapshotCheck(check func(Snapshot) error) { c.checkSnapshot = check }

// handleSnapshot collects a leader's snapshot. Once complete, it replaces a log that does not contain its last entry.
func (c *Core) handleSnapshot(message Message) {
	if message.Snapshot.Index <= c.commitIndex {
		c.acknowledge(message.From, c.commitIndex)
		return
	}
	if term, known := c.raftLog.term(message.Snapshot.Index); known && term == message.Snapshot.Term {
		// By log matching, a log with the snapshot's last entry has all entries before it. Entries after it may have
		// been acknowledged and counted for a commit: they must stay. The state advances by the log.
		c.commitTo(message.Snapshot.Index)
		c.acknowledge(message.From, message.Snapshot.Index)
		return
	}
	snapshot, complete := c.assembleSnapshot(message)
	if !complete {
		c.replyToSnapshotChunk(message, false)
		return
	}
	c.incoming = nil
	if err := c.verifySnapshot(snapshot); err != nil {
		c.addNotice(Notice{Kind: NoticeSnapshotRejected, Peer: message.From, Index: snapshot.Index, Bytes: len(snapshot.Data), Err: err})
		c.replyToSnapshotChunk(message, true)
		return
	}
	c.installSnapshot(message.From, snapshot)
}

// assembleSnapshot appends a chunk to those received before; it returns true with the complete snapshot.
func (c *Core) assembleSnapshot(message Message) (Snapshot, bool) {
	chunk := *message.Snapshot
	if message.SnapshotSize == 0 || message.SnapshotOffset == 0 && uint64(len(chunk.Data)) == message.SnapshotSize {
		return chunk, true
	}
	if !c.incoming.includes(message) {
		if message.SnapshotOffset != 0 || c.incoming != nil && c.incoming.leaderTerm == message.Term && c.incoming.index > chunk.Index {
			// The start of this snapshot is missing, or it is older than the one being received. Within a term a leader's
			// snapshots only rise; the leader of another term may send an older one.
			return chunk, false
		}
		c.incoming = &incomingSnapshot{index: chunk.Index, term: chunk.Term, size: message.SnapshotSize, checksum: chunk.Checksum}
	}
	c.incoming.leaderTerm = message.Term
	if message.SnapshotOffset != uint64(len(c.incoming.data)) {
		return chunk, false
	}
	c.incoming.data = append(c.incoming.data, chunk.Data...)
	chunk.Data = c.incoming.data
	return chunk, uint64(len(chunk.Data)) == message.SnapshotSize
}

// includes says whether a chunk belongs to this snapshot. Chunks of two leaders may be combined where the checksum,
// and so the content, is the same.
func (in *incomingSnapshot) includes(message Message) bool {
	return in != nil && in.index == message.Snapshot.Index && in.term == message.Snapshot.Term &&
		in.size == message.SnapshotSize && bytes.Equal(in.checksum, message.Snapshot.Checksum)
}

// replyToSnapshotChunk tells the leader how many bytes have been received, or that the snapshot was rejected.
func (c *Core) replyToSnapshotChunk(message Message, rejected bool) {
	if message.SnapshotSize == 0 {
		// A leader of an earlier build knows only this reply; it sends its snapshot again after a time-out.
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: message.From, Term: c.term, Reject: true, Hint: c.raftLog.lastIndex(), AcceptsChunks: true})
		return
	}
	receivedBytes := uint64(0)
	if c.incoming.includes(message) {
		receivedBytes = uint64(len(c.incoming.data))
	}
	c.sendImmediately(Message{Kind: MsgSnapshotReply, To: message.From, LogIndex: message.Snapshot.Index, LogTerm: message.Snapshot.Term,
		SnapshotOffset: receivedBytes, Reject: rejected, AcceptsChunks: true})
}

// verifySnapshot says why a complete snapshot can't be used.
func (c *Core) verifySnapshot(snapshot Snapshot) error {
	if len(snapshot.Data) == 0 {
		return ErrEmptySnapshot
	}
	if !snapshot.checksumMatches() {
		return ErrChecksumMismatch
	}
	if c.checkSnapshot != nil {
		return c.checkSnapshot(snapshot)
	}
	return nil
}

// installSnapshot replaces log and state by a leader's snapshot; nothing else does.
func (c *Core) installSnapshot(from MemberID, snapshot Snapshot) {
	c.raftLog = newLog(snapshot, nil)
	c.commitIndex, c.deliveredIndex = snapshot.Index, snapshot.Index
	c.memberships = []membershipEntry{{snapshot.Index, snapshot.Membership}}
	save := c.pendingSave()
	save.Snapshot = &snapshot
	save.TruncateFrom, save.CompactTo = 1, snapshot.Index
	c.effects.InstallSnapshot = &snapshot
	c.addNotice(Notice{Kind: NoticeSnapshotInstalled, Peer: from, Index: snapshot.Index, Bytes: len(snapshot.Data)})
	c.acknowledge(from, snapshot.Index)
}
