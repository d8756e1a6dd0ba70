package scenario

import (
	"context"
	"time"
)

// loadFaults change what clients ask for.
var loadFaults = []fault{
	{name: "model-shift", rest: 3 * time.Second, play: (*Run).modelShift},
	{name: "burst", rest: 3 * time.Second, play: (*Run).burst},
}

// modelShift moves demand to other models.
func (r *Run) modelShift(_ context.Context) error {
	r.mutex.Lock()
	r.modelOffset += 3
	r.mutex.Unlock()
	return nil
}

// burst sends five times the traffic for two seconds.
func (r *Run) burst(ctx context.Context) error {
	r.scaleLoad(5)
	defer r.scaleLoad(1)
	r.pause(ctx, 2*time.Second)
	return nil
}

func (r *Run) scaleLoad(times float64) {
	r.mutex.Lock()
	r.loadFactor = times
	r.mutex.Unlock()
}
