package raft

import (
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
