package raft

import (
	"bytes"
	"errors"
)

// Snapshots: how the log is compacted, and how a leader's snapshot reaches a follower, in parts where it is large.

const (
	// snapshotPartBytes is how much of a snapshot one message carries: a heartbeat waits behind it, at 10 Mbit/s for
	// 0.2 s. One part is on its way at a time.
	snapshotChunkBytes = 256 << 10
	// bytesPerTick is how much a slow link carries in a tick of what is beyond one part, where a snapshot is sent
	// whole to a member of an earlier build: it is sent again only after that.
	wholeSnapshotBytesPerTick = 32 << 10
	// mostBytesKeptForPeers bounds the entries that stay in a leader's log for peers that are being sent a snapshot.
	maxBytesRetainedForPeers = 8 << 20
)

var (
	// ErrChecksum says that a snapshot is not what its sender sent.
	ErrChecksumMismatch = errors.New("the snapshot does not match its checksum")
	// ErrEmptySnapshot says that a snapshot holds no state.
	ErrEmptySnapshot = errors.New("the snapshot is empty")
)

// outgoing is a snapshot on its way to a peer. It stays the same one while the log is compacted again.
type outgoingSnapshot struct {
	snapshot Snapshot
	// held is how many bytes the peer said that it holds.
	receivedBytes uint64
	// wait counts ticks until the part is sent again.
	resendTicks int
}

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

// compact replaces the log up to an applied entry by a snapshot of the state.
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

// keptForPeers moves a cut of the log back to the snapshots that peers are being sent: without the entries behind
// theirs they would need another at once, for ever where the log is cut faster than a snapshot travels.
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
