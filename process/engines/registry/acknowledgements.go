package registry

import (
	"context"
	"sync"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// reach is how much of this daemon's changes each peer has, by its own word.
type acknowledgements struct {
	mutex    sync.Mutex
	complete map[ident.NodeID]uint64
	// told is closed and replaced at each new word.
	changed chan struct{}
}

// mostPeers bounds the lives that are remembered; those that ended say no more.
const maxAcknowledgingPeers = 4096

func (r *acknowledgements) record(peer ident.NodeID, change uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.complete[peer] >= change {
		return
	}
	if len(r.complete) >= maxAcknowledgingPeers {
		clear(r.complete)
	}
	r.complete[peer] = change
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *acknowledgements) missing(change uint64, peers []ident.NodeID) (lacking bool, told <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, peer := range peers {
		lacking = lacking || r.complete[peer] < change
	}
	return lacking, r.changed
}

func (r *acknowledgements) await(ctx context.Context, change uint64, within time.Duration, peers func() []ident.NodeID) bool {
	limit := time.NewTimer(within)
	defer limit.Stop()
	for {
		lacking, changed := r.missing(change, peers())
		if !lacking {
			return true
		}
		select {
		case <-changed:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
