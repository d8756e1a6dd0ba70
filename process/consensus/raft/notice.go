package raft

// NoticeKind is the type of a notice.
type NoticeKind uint8

const (
	// NoticeSnapshotSent says that a leader began to send its snapshot to a peer.
	NoticeSnapshotSent NoticeKind = iota + 1
	// NoticeSnapshotInstalled says that a leader's snapshot replaced this member's log and state.
	NoticeSnapshotInstalled
	// NoticeSnapshotRejected says that a snapshot could not be used, so that log and state were retained.
	NoticeSnapshotRejected
	// NoticeMessageRejected says that a message was invalid and changed nothing.
	NoticeMessageRejected
	// NoticeStateDiffers says that a peer's replicated state, or this member's, differs from the majority's.
	NoticeStateDiffers
	// NoticeStateInvalid says that this member's replicated state contradicts itself, so that no snapshot of it is taken.
	NoticeStateInvalid
)

// String is the text of the log line.
func (k NoticeKind) String() string {
	switch k {
	case NoticeSnapshotSent:
		return "snapshot sent"
	case NoticeSnapshotInstalled:
		return "snapshot installed"
	case NoticeSnapshotRejected:
		return "snapshot rejected"
	case NoticeMessageRejected:
		return "message rejected"
	case NoticeStateDiffers:
		return "state differs"
	case NoticeStateInvalid:
		return "state contradicts itself, no snapshot of it is taken"
	}
	return "unknown notice"
}

// Notice is one event for logs and counters.
type Notice struct {
	Kind NoticeKind
	// Peer is the sender of what was installed or rejected, or the receiver of a snapshot.
	Peer  MemberID
	Index Index
	// Bytes is the size of a snapshot.
	Bytes int
	// Err says why something was rejected: MalformedError, ErrChecksumMismatch, ErrEmptySnapshot, or the snapshot check's.
	Err error
}
