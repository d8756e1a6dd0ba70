package engine

import (
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// Drain announces that the engine drains, lets it serve for its bound after the acknowledgement, and ends it. With a
// notice it ends after that time, whatever it runs.
func (e *Engine) Drain(notice time.Duration) {
	inc := e.running()
	if inc == nil || !inc.draining.CompareAndSwap(false, true) {
		return
	}
	e.Recorder.Record(func(*history.History) { inc.record.DrainRequested = e.Recorder.Now() })
	if notice > 0 {
		inc.remaining.Store(int64(e.Recorder.Now()) + int64(notice))
	}
	select {
	case inc.heartbeatNow <- struct{}{}:
	default:
	}
	go func() {
		patience := e.Config.DrainPatience
		if notice > 0 {
			patience = notice
		}
		timer := time.NewTimer(patience)
		defer timer.Stop()
		select {
		case <-inc.ctx.Done():
			return
		case <-timer.C:
		case <-inc.drainAcked:
			if notice > 0 {
				select {
				case <-inc.ctx.Done():
				case <-timer.C:
				}
				break
			}
			serveOn := time.NewTimer(e.Config.DrainBound + e.Config.DrainBound/4)
			defer serveOn.Stop()
			select {
			case <-inc.ctx.Done():
				return
			case <-serveOn.C:
			}
		}
		if notice == 0 {
			inc.deregister()
		}
		e.finishIncarnation(inc, false)
	}()
}

// Draining says whether the engine drains, has deregistered, or is down.
func (e *Engine) Draining() bool {
	inc := e.running()
	return inc == nil || inc.draining.Load() || inc.deregistered.Load()
}

// Delete deregisters the engine first; it sends heartbeats and serves for its bound after the acknowledgement, and ends
// then.
func (e *Engine) Delete() {
	inc := e.running()
	if inc == nil || inc.draining.Load() || !inc.deregistered.CompareAndSwap(false, true) {
		return
	}
	e.Recorder.Record(func(*history.History) { inc.record.DrainRequested = e.Recorder.Now() })
	go func() {
		patience := time.NewTimer(e.Config.DrainPatience)
		defer patience.Stop()
		again := time.NewTicker(deregisterRetry)
		defer again.Stop()
		for acknowledged := inc.deregister(); !acknowledged; acknowledged = inc.deregister() {
			select {
			case <-inc.ctx.Done():
				return
			case <-patience.C:
				e.finishIncarnation(inc, false)
				return
			case <-again.C:
			}
		}
		serveOn := time.NewTimer(e.Config.DrainBound + e.Config.DrainBound/4)
		defer serveOn.Stop()
		select {
		case <-inc.ctx.Done():
		case <-serveOn.C:
			e.finishIncarnation(inc, false)
		}
	}()
}

// deregisterRetry is how long after all daemons failed to acknowledge they are called again.
const deregisterRetry = 100 * time.Millisecond
