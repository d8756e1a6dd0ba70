package raft

import (
	"bytes"
	"errors"
)

// Snapshots: how the log is compacted, and how a leader's snapshot reaches a follower, in parts where it is large.

const (
	// snapshotPartBytes is how much of a snapshot one message carries: a heartbeat waits behind it, at 10 Mbit/s for
	// 0.2 s. One part is on its way at a time.
	snapshotPartBytes = 256 << 10
	// bytesPerTick is how much a slow link carries in a tick of what is beyond one part, where a snapshot is sent
	// whole to a member of an earlier build: it is sent again only after that.
	bytesPerTick = 32 << 10
	// mostBytesKeptForPeers bounds the entries that stay in a leader's log for peers that are being sent a snapshot.
	mostBytesKeptForPeers = 8 << 20
)

var (
	// ErrChecksum says that a snapshot is not what its sender sent.
	ErrChecksum = errors.New("the snapshot does not match its checksum")
	// ErrEmptySnapshot says that a snapshot holds no state.
	ErrEmptySnapshot = errors.New("the snapshot is empty")
)

// outgoing is a snapshot on its way to a peer. It stays the same one while the log is compacted again.
type outgoing struct {
	snapshot Snapshot
	// held is how many bytes the peer said that it holds.
	held uint64
	// wait counts ticks until the part is sent again.
	wait int
}

// incoming is what has come of a leader's snapshot.
type incoming struct {
	// leaderTerm is the newest term in which a part came.
	leaderTerm Term
	index      Index
	term       Term
	size       uint64
	checksum   []byte
	data       []byte
}

// CheckSnapshots sets what looks at a leader's snapshot before it takes the place of this member's state and log.
func (c *Core) CheckSnapshots(check func(Snapshot) error) { c.checkSnapshot = check }

// sendSnapshot sends the next part of a snapshot to a peer that lacks what is gone from the log.
func (c *Core) sendSnapshot(id MemberID, peer *progress) {
	if c.log.snapshot.Index == 0 || peer.silent > 0 {
		// One that says nothing is asked by heartbeats alone.
		return
	}
	if peer.sending == nil || !c.log.continuesAt(peer.sending.snapshot.Index) {
		if len(c.log.snapshot.Checksum) == 0 {
			c.log.snapshot.Checksum = c.log.snapshot.checksum()
		}
		peer.sending = &outgoing{snapshot: c.log.snapshot}
		c.notice(Notice{Kind: NoticeSnapshotSent, Peer: id, Index: c.log.snapshot.Index, Bytes: len(c.log.snapshot.Data)})
	}
	sending := peer.sending
	if sending.wait > 0 {
		return
	}
	size := uint64(len(sending.snapshot.Data))
	part := sending.snapshot
	offset := uint64(0)
	if peer.takesParts {
		offset = sending.held
		part.Data = part.Data[offset:min(size, offset+snapshotPartBytes)]
	}
	sending.wait = c.timing.Election + max(0, len(part.Data)-snapshotPartBytes)/bytesPerTick
	c.now(Message{Kind: MsgSnapshot, To: id, Snapshot: &part, Offset: offset, Size: size})
}

// takeSnapshotReply notes how much of a snapshot a peer holds, and sends the next part.
func (c *Core) takeSnapshotReply(m Message) {
	peer := c.peers[m.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.spoke(m)
	sending := peer.sending
	if sending == nil || sending.snapshot.Index != m.LogIndex || sending.snapshot.Term != m.LogTerm {
		return
	}
	size := uint64(len(sending.snapshot.Data))
	switch {
	case m.Reject:
		// It could not use the snapshot: it gets it anew, from the start, once the wait is over.
		sending.held = 0
	case m.Offset >= size:
		// Whoever holds the whole has acknowledged its place in the log, or will with the next part that comes twice.
		sending.held = 0
	case m.Offset > sending.held:
		sending.held, sending.wait = m.Offset, 0
		c.sendSnapshot(m.From, peer)
	default:
		// It lost what it held, or this reply is late: the part is sent again once the wait is over.
		sending.held = m.Offset
	}
}

// takeSnapshot takes a leader's snapshot, once it is whole, in place of a log that lacks its last entry.
func (c *Core) takeSnapshot(m Message) {
	if m.Snapshot.Index <= c.commit {
		c.acknowledge(m.From, c.commit)
		return
	}
	if term, held := c.log.term(m.Snapshot.Index); held && term == m.Snapshot.Term {
		// The log holds the snapshot's last entry, so it holds all before it as the leader does. Entries behind it may
		// have been acknowledged and counted for a commit: they stay, and the state gets there by the log.
		c.commitTo(m.Snapshot.Index)
		c.acknowledge(m.From, m.Snapshot.Index)
		return
	}
	snapshot, whole := c.gather(m)
	if !whole {
		c.replyToPart(m, false)
		return
	}
	c.incoming = nil
	if err := c.verify(snapshot); err != nil {
		c.notice(Notice{Kind: NoticeSnapshotRefused, Peer: m.From, Index: snapshot.Index, Bytes: len(snapshot.Data), Err: err})
		c.replyToPart(m, true)
		return
	}
	c.install(m.From, snapshot)
}

// gather puts parts together; it gives the whole once nothing is missing.
func (c *Core) gather(m Message) (Snapshot, bool) {
	part := *m.Snapshot
	if m.Size == 0 || m.Offset == 0 && uint64(len(part.Data)) == m.Size {
		return part, true
	}
	if !c.incoming.isOf(m) {
		if m.Offset != 0 || c.incoming != nil && c.incoming.leaderTerm == m.Term && c.incoming.index > part.Index {
			// The start of this snapshot is missing, or the same leader sent a newer one since: within a term its
			// snapshots only rise, while another term's leader may begin with an older one.
			return part, false
		}
		c.incoming = &incoming{index: part.Index, term: part.Term, size: m.Size, checksum: part.Checksum}
	}
	c.incoming.leaderTerm = m.Term
	if m.Offset != uint64(len(c.incoming.data)) {
		return part, false
	}
	c.incoming.data = append(c.incoming.data, part.Data...)
	part.Data = c.incoming.data
	return part, uint64(len(part.Data)) == m.Size
}

// isOf says whether a part belongs to what has come so far. Two leaders' snapshots are one if their bytes are.
func (in *incoming) isOf(m Message) bool {
	return in != nil && in.index == m.Snapshot.Index && in.term == m.Snapshot.Term && in.size == m.Size && bytes.Equal(in.checksum, m.Snapshot.Checksum)
}

// replyToPart tells the leader how much of its snapshot is held, or that it was refused.
func (c *Core) replyToPart(m Message, refused bool) {
	if m.Size == 0 {
		// An earlier build knows only this reply, and sends its snapshot again after a while.
		c.later(Message{Kind: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Hint: c.log.last(), TakesParts: true})
		return
	}
	held := uint64(0)
	if c.incoming.isOf(m) {
		held = uint64(len(c.incoming.data))
	}
	c.now(Message{Kind: MsgSnapshotReply, To: m.From, LogIndex: m.Snapshot.Index, LogTerm: m.Snapshot.Term, Offset: held, Reject: refused, TakesParts: true})
}

// verify says why a whole snapshot can't be used.
func (c *Core) verify(snapshot Snapshot) error {
	if len(snapshot.Data) == 0 {
		return ErrEmptySnapshot
	}
	if !snapshot.sound() {
		return ErrChecksum
	}
	if c.checkSnapshot != nil {
		return c.checkSnapshot(snapshot)
	}
	return nil
}

// install is the one place where a leader's snapshot takes the place of log and state.
func (c *Core) install(from MemberID, snapshot Snapshot) {
	c.log = newLog(snapshot, nil)
	c.commit, c.handed = snapshot.Index, snapshot.Index
	c.memberships = []membershipAt{{snapshot.Index, snapshot.Membership}}
	save := c.save()
	save.Snapshot = &snapshot
	save.TruncateFrom, save.CompactTo = 1, snapshot.Index
	c.out.Install = &snapshot
	c.notice(Notice{Kind: NoticeSnapshotTaken, Peer: from, Index: snapshot.Index, Bytes: len(snapshot.Data)})
	c.acknowledge(from, snapshot.Index)
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
	if cut := c.keptForPeers(int(e.Index) - max(0, e.Keep)); cut > 0 {
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

// keptForPeers moves a cut of the log back to the snapshots that peers are being sent: without the entries behind
// theirs they would need another at once, for ever where the log is cut faster than a snapshot travels.
func (c *Core) keptForPeers(cut int) int {
	kept := cut
	for _, peer := range c.peers {
		if peer.sending == nil || int(peer.sending.snapshot.Index) >= kept {
			continue
		}
		if c.log.bytesBetween(peer.sending.snapshot.Index, Index(cut)) <= mostBytesKeptForPeers {
			kept = int(peer.sending.snapshot.Index)
		}
	}
	return kept
}
