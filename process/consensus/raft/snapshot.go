package raft

import "errors"

const (
	// snapshotChunkBytes is how much of a snapshot one message carries. A heartbeat is queued behind it, for 0.2 s at
	// 10 Mbit/s. One chunk is in flight to a peer at a time.
	snapshotChunkBytes = 256 << 10
	// unchunkedSnapshotBytesPerTick is how much a slow link carries in a tick. A complete snapshot, to a member that accepts
	// no chunks, is sent again only after the time that its bytes beyond one chunk take.
	unchunkedSnapshotBytesPerTick = 32 << 10
)

var (
	// ErrChecksumMismatch says that a snapshot was changed on its way.
	ErrChecksumMismatch = errors.New("the snapshot does not match its checksum")
	// ErrEmptySnapshot says that a snapshot has no state in it.
	ErrEmptySnapshot = errors.New("the snapshot is empty")
)
