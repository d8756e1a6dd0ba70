package replica

import (
	"sync/atomic"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Counters count the notices of a member by kind. They may be read from any goroutine.
type Counters struct {
	SnapshotsSent, SnapshotsInstalled, SnapshotsRejected, MessagesRejected, StateDivergences, InvalidStates atomic.Uint64
}

// forNotice returns the counter of one kind of notice.
func (c *Counters) forNotice(kind raft.NoticeKind) *atomic.Uint64 {
	switch kind {
	case raft.NoticeSnapshotSent:
		return &c.SnapshotsSent
	case raft.NoticeSnapshotInstalled:
		return &c.SnapshotsInstalled
	case raft.NoticeSnapshotRejected:
		return &c.SnapshotsRejected
	case raft.NoticeStateDiffers:
		return &c.StateDivergences
	case raft.NoticeStateInvalid:
		return &c.InvalidStates
	default:
		return &c.MessagesRejected
	}
}

// reportNotices counts notices and passes them to the notice handler.
func (r *Replica) reportNotices(notices []raft.Notice) {
	for _, notice := range notices {
		r.Counters.forNotice(notice.Kind).Add(1)
		r.onNotice(notice)
	}
}
