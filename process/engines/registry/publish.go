package registry

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// maxPublishDelay bounds how long a view is put off while events wait.
	maxPublishDelay = 10 * time.Millisecond
	// viewDelayPerEngine is how long a view without urgent changes is put off for each engine in it, since making a view
	// costs so much; maxViewDelay bounds it.
	viewDelayPerEngine = 35 * time.Microsecond
	maxViewDelay       = 50 * time.Millisecond
)

// publication is the actor's state of publishing views.
type publication struct {
	// waiting are closed once the changes made so far are published.
	waiting []chan struct{}
	// delayedSince is since when a view is put off while events wait; zero is not put off.
	delayedSince clock.Mark
	// last is when the view was last replaced, scheduled says that a timer will wake the actor to publish.
	last      clock.Mark
	scheduled bool
}

// publish replaces the view; nothing else does. While more events wait it is put off, so that many changes at once cost
// one view. Without urgent changes, and if nobody waits, it is put off for longer.
func (r *Registry) publish() {
	now := r.clock.Elapsed()
	state := &r.publication
	if r.mailbox.Len() > 0 && (state.delayedSince == 0 || now.Since(state.delayedSince) < maxPublishDelay) {
		if state.delayedSince == 0 {
			state.delayedSince = now
		}
		return
	}
	state.delayedSince = 0
	delay := min(time.Duration(len(r.view.Load().Engines))*viewDelayPerEngine, maxViewDelay)
	urgent := r.core.LatestUrgentChange() != r.latestUrgentChange.Load()
	if passed := now.Since(state.last); passed < delay && len(state.waiting) == 0 && !urgent {
		r.schedulePublication(delay - passed)
		return
	}
	if r.replaceView() {
		state.last = now
		r.notifySubscribers()
	}
}

// schedulePublication wakes the actor after a while, if there is anything to publish.
func (r *Registry) schedulePublication(after time.Duration) {
	if !r.core.Changed() || r.publication.scheduled {
		return
	}
	r.publication.scheduled = true
	time.AfterFunc(after, func() { r.mailbox.Send(func(clock.Mark) { r.publication.scheduled = false }) })
}

// replaceView publishes the newest view and releases those who wait for it; it reports whether the view is a new one.
func (r *Registry) replaceView() (changed bool) {
	r.latestChange.Store(r.core.LatestChange())
	r.latestUrgentChange.Store(r.core.LatestUrgentChange())
	r.latestNonLoadChange.Store(r.core.LatestNonLoadChange())
	next := r.core.View()
	changed = next != r.view.Load()
	r.view.Store(next)
	for _, done := range r.publication.waiting {
		close(done)
	}
	r.publication.waiting = r.publication.waiting[:0]
	return changed
}

func (r *Registry) notifySubscribers() {
	r.mutex.Lock()
	subscribers := r.subscribers
	r.mutex.Unlock()
	for _, notify := range subscribers {
		notify()
	}
}
