package registry

import (
	"context"
	"sync"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// reach is how much of this daemon's changes each peer has, by its own word.
type reach struct {
	mutex sync.Mutex
	seen  map[ident.NodeID]uint64
	// told is closed and replaced at each new word.
	told chan struct{}
}

// mostPeers bounds the lives that are remembered; those that ended say no more.
const mostPeers = 4096

func (r *reach) saw(peer ident.NodeID, change uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.seen[peer] >= change {
		return
	}
	if len(r.seen) >= mostPeers {
		clear(r.seen)
	}
	r.seen[peer] = change
	close(r.told)
	r.told = make(chan struct{})
}

func (r *reach) lacks(change uint64, peers []ident.NodeID) (lacking bool, told <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, peer := range peers {
		lacking = lacking || r.seen[peer] < change
	}
	return lacking, r.told
}

func (r *reach) await(ctx context.Context, change uint64, within time.Duration, peers func() []ident.NodeID) bool {
	limit := time.NewTimer(within)
	defer limit.Stop()
	for {
		lacking, told := r.lacks(change, peers())
		if !lacking {
			return true
		}
		select {
		case <-told:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
