package raft

// NoticeKind tells what a notice is about.
type NoticeKind uint8

const (
	// NoticeSnapshotSent says that a leader began to send its snapshot to a peer.
	NoticeSnapshotSent NoticeKind = iota + 1
	// NoticeSnapshotTaken says that a leader's snapshot took the place of the own state.
	NoticeSnapshotInstalled
	// NoticeSnapshotRefused says that a snapshot could not be used, so that the own state was kept.
	NoticeSnapshotRejected
	// NoticeMessageRefused says that a message can't be of a sound member, so that it changed nothing.
	NoticeMessageRejected
	// NoticeStateDiffers says that a peer's state, or the own one, is another than it should be.
	NoticeStateDiffers
)

func (k NoticeKind) String() string {
	switch k {
	case NoticeSnapshotSent:
		return "snapshot sent"
	case NoticeSnapshotInstalled:
		return "snapshot taken"
	case NoticeSnapshotRejected:
		return "snapshot refused"
	case NoticeMessageRejected:
		return "message refused"
	case NoticeStateDiffers:
		return "state differs"
	}
	return "unknown notice"
}

// Notice is one event for logs and counters.
type Notice struct {
	Kind NoticeKind
	// Peer is the member that sent what was taken or refused, or is sent it.
	Peer  MemberID
	Index Index
	Bytes int
	// Err says why something was refused.
	Err error
}
