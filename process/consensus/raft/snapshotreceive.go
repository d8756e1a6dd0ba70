package raft

import (
	"bytes"
)

// incoming is what has come of a leader's snapshot.
type incomingSnapshot struct {
	// leaderTerm is the newest term in which a part came.
	leaderTerm Term
	index      Index
	term       Term
	size       uint64
	checksum   []byte
	data       []byte
}

// CheckSnapshots sets what looks at a leader's snapshot before it takes the place of this member's state and log.
func (c *Core) SetSnapshotCheck(check func(Snapshot) error) { c.checkSnapshot = check }

// takeSnapshot takes a leader's snapshot, once it is whole, in place of a log that lacks its last entry.
func (c *Core) handleSnapshot(message Message) {
	if message.Snapshot.Index <= c.commitIndex {
		c.acknowledge(message.From, c.commitIndex)
		return
	}
	if term, known := c.raftLog.term(message.Snapshot.Index); known && term == message.Snapshot.Term {
		// The log holds the snapshot's last entry, so it holds all before it as the leader does. Entries behind it may
		// have been acknowledged and counted for a commit: they stay, and the state gets there by the log.
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

// gather puts parts together; it gives the whole once nothing is missing.
func (c *Core) assembleSnapshot(message Message) (Snapshot, bool) {
	chunk := *message.Snapshot
	if message.SnapshotSize == 0 || message.SnapshotOffset == 0 && uint64(len(chunk.Data)) == message.SnapshotSize {
		return chunk, true
	}
	if !c.incoming.includes(message) {
		if message.SnapshotOffset != 0 || c.incoming != nil && c.incoming.leaderTerm == message.Term && c.incoming.index > chunk.Index {
			// The start of this snapshot is missing, or the same leader sent a newer one since: within a term its
			// snapshots only rise, while another term's leader may begin with an older one.
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

// isOf says whether a part belongs to what has come so far. Two leaders' snapshots are one if their bytes are.
func (in *incomingSnapshot) includes(message Message) bool {
	return in != nil && in.index == message.Snapshot.Index && in.term == message.Snapshot.Term && in.size == message.SnapshotSize && bytes.Equal(in.checksum, message.Snapshot.Checksum)
}

// replyToPart tells the leader how much of its snapshot is held, or that it was refused.
func (c *Core) replyToSnapshotChunk(message Message, rejected bool) {
	if message.SnapshotSize == 0 {
		// An earlier build knows only this reply, and sends its snapshot again after a while.
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: message.From, Term: c.term, Reject: true, Hint: c.raftLog.lastIndex(), AcceptsChunks: true})
		return
	}
	receivedBytes := uint64(0)
	if c.incoming.includes(message) {
		receivedBytes = uint64(len(c.incoming.data))
	}
	c.sendImmediately(Message{Kind: MsgSnapshotReply, To: message.From, LogIndex: message.Snapshot.Index, LogTerm: message.Snapshot.Term, SnapshotOffset: receivedBytes, Reject: rejected, AcceptsChunks: true})
}

// verify says why a whole snapshot can't be used.
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

// install is the one place where a leader's snapshot takes the place of log and state.
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
