package registry

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// publishWithin bounds how long a view is put off while events pile up.
	maxPublishDelay = 10 * time.Millisecond
	// gatherEach is how long a view that brings nothing urgent is put off for each engine in it, since that is
	// what making it costs; gatherMost bounds it.
	viewDelayPerEngine = 35 * time.Microsecond
	maxViewDelay       = 50 * time.Millisecond
)

// publish is the one place where the view is replaced. While more is waiting it is put off, so that many
// changes at once cost one view; what is not urgent, and what nobody waits for, is put off for longer.
func (r *Registry) publish() {
	now := r.clock.Elapsed()
	if r.mailbox.Waiting() > 0 && (r.publishDelayedSince == 0 || now.Since(r.publishDelayedSince) < maxPublishDelay) {
		if r.publishDelayedSince == 0 {
			r.publishDelayedSince = now
		}
		return
	}
	r.publishDelayedSince = 0
	gather := min(time.Duration(len(r.view.Load().Engines))*viewDelayPerEngine, maxViewDelay)
	if passed := now.Since(r.lastPublished); passed < gather && len(r.awaitingPublication) == 0 && r.core.LatestUrgentChange() == r.latestUrgentChange.Load() {
		if r.core.Changed() && !r.publishScheduled {
			r.publishScheduled = true
			time.AfterFunc(gather-passed, func() { r.mailbox.Send(func(clock.Mark) { r.publishScheduled = false }) })
		}
		return
	}
	r.latestChange.Store(r.core.LatestChange())
	r.latestUrgentChange.Store(r.core.LatestUrgentChange())
	r.latestNonLoadChange.Store(r.core.LatestNonLoadChange())
	next := r.core.View()
	changed := next != r.view.Load()
	r.view.Store(next)
	for _, done := range r.awaitingPublication {
		close(done)
	}
	r.awaitingPublication = r.awaitingPublication[:0]
	if !changed {
		return
	}
	r.lastPublished = now
	r.mutex.Lock()
	subscribers := r.subscribers
	r.mutex.Unlock()
	for _, notify := range subscribers {
		notify()
	}
}
