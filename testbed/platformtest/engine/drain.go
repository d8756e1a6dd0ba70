package engine

import (
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// Drain makes it say that it drains, serve on for its bound after the acknowledgement, and end. With notice
// it is gone after that time, whatever it runs.
func (e *Engine) Drain(notice time.Duration) {
	l := e.running()
	if l == nil || !l.draining.CompareAndSwap(false, true) {
		return
	}
	e.Recorder.Record(func(*history.History) { l.record.DrainRequested = e.Recorder.Now() })
	if notice > 0 {
		l.remaining.Store(int64(e.Recorder.Now()) + int64(notice))
	}
	select {
	case l.heartbeatNow <- struct{}{}:
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
		case <-l.ctx.Done():
			return
		case <-timer.C:
		case <-l.drainAcked:
			if notice > 0 {
				select {
				case <-l.ctx.Done():
				case <-timer.C:
				}
				break
			}
			serveOn := time.NewTimer(e.Config.DrainBound + e.Config.DrainBound/4)
			defer serveOn.Stop()
			select {
			case <-l.ctx.Done():
				return
			case <-serveOn.C:
			}
		}
		if notice == 0 {
			l.deregister()
		}
		e.finishIncarnation(l, false)
	}()
}

// Draining says whether it has begun to leave, or is down.
func (e *Engine) Draining() bool {
	l := e.running()
	return l == nil || l.draining.Load() || l.deregistered.Load()
}

// Delete makes it say that it is gone, though it beats and serves on for its bound after the acknowledgement, and
// ends then.
func (e *Engine) Delete() {
	l := e.running()
	if l == nil || l.draining.Load() || !l.deregistered.CompareAndSwap(false, true) {
		return
	}
	e.Recorder.Record(func(*history.History) { l.record.DrainRequested = e.Recorder.Now() })
	go func() {
		patience := time.NewTimer(e.Config.DrainPatience)
		defer patience.Stop()
		again := time.NewTicker(deregisterRetry)
		defer again.Stop()
		for acknowledged := l.deregister(); !acknowledged; acknowledged = l.deregister() {
			select {
			case <-l.ctx.Done():
				return
			case <-patience.C:
				e.finishIncarnation(l, false)
				return
			case <-again.C:
			}
		}
		serveOn := time.NewTimer(e.Config.DrainBound + e.Config.DrainBound/4)
		defer serveOn.Stop()
		select {
		case <-l.ctx.Done():
		case <-serveOn.C:
			e.finishIncarnation(l, false)
		}
	}()
}

// deregisterRetry is how long after all daemons were asked in vain they are asked again.
const deregisterRetry = 100 * time.Millisecond
