package registry

import (
	"context"
	"sync"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// acknowledgements is how far each peer has this daemon's changes, by the cursors of its requests.
type acknowledgements struct {
	mutex    sync.Mutex
	complete map[ident.NodeID]uint64
	// changed is closed and replaced at each new acknowledgement.
	changed chan struct{}
}

// maxAcknowledgingPeers bounds the node ids that are remembered; a restarted daemon has a new one.
const maxAcknowledgingPeers = 4096

func (a *acknowledgements) record(peer ident.NodeID, change uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.complete[peer] >= change {
		return
	}
	if len(a.complete) >= maxAcknowledgingPeers {
		clear(a.complete)
	}
	a.complete[peer] = change
	close(a.changed)
	a.changed = make(chan struct{})
}

// missing reports whether any of the peers has not acknowledged a change, and gives a channel that is closed at the next
// acknowledgement.
func (a *acknowledgements) missing(change uint64, peers []ident.NodeID) (missing bool, changed <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, peer := range peers {
		missing = missing || a.complete[peer] < change
	}
	return missing, a.changed
}

// await waits until none of the peers misses a change; peers is asked anew each time, since they come and go. It returns
// false when the timeout has passed or ctx has ended first.
func (a *acknowledgements) await(ctx context.Context, change uint64, timeout time.Duration, peers func() []ident.NodeID) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		missing, changed := a.missing(change, peers())
		if !missing {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
