package gateway

import (
	"sync"
	"time"
)

const (
	// pollInterval is how often the callers of open requests are looked at.
	pollInterval = 200 * time.Millisecond
	// halfCloseWindow is how soon after its request a caller that only has no more to say closes its side; a first
	// look right behind that time tells it from one that leaves.
	halfCloseWindow = 50 * time.Millisecond
	// minPollSpacing lets one look serve callers that are due at about the same time.
	minPollSpacing = 25 * time.Millisecond
	// clockTolerance is by how much the system's dates may differ from the clock here.
	clockTolerance = 20 * time.Millisecond
)

// callerMonitor looks whether the callers of open requests are still there. It looks only while any are open.
type callerMonitor struct {
	mutex   sync.Mutex
	waiting map[*exchange]*callerConn
	// timer is set for due while any are open.
	timer *time.Timer
	due   time.Time
}

func newCallerMonitor() *callerMonitor { return &callerMonitor{waiting: map[*exchange]*callerConn{}} }

func (w *callerMonitor) add(f *exchange) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiting[f] = f.caller
	if w.due.IsZero() || f.caller.due.Before(w.due) {
		w.schedule(f.caller.due)
	}
}

// schedule has tick called at a time, and at no other.
func (w *callerMonitor) schedule(at time.Time) {
	w.due = at
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(at), w.checkDue)
	} else {
		w.timer.Reset(time.Until(at))
	}
}

func (w *callerMonitor) remove(f *exchange) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.waiting, f)
}

// checkDue looks at the callers that are due.
func (w *callerMonitor) checkDue() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.due = time.Time{}
	next := now.Add(pollInterval)
	for f, caller := range w.waiting {
		if !caller.due.After(now) {
			// Also one that is being answered: it is written to only when its engine has something to say.
			if caller.isGone() {
				delete(w.waiting, f)
				go f.leave()
				continue
			}
			caller.due = now.Add(pollInterval)
		}
		if caller.due.Before(next) {
			next = caller.due
		}
	}
	if len(w.waiting) > 0 {
		if soonest := now.Add(minPollSpacing); next.Before(soonest) {
			next = soonest
		}
		w.schedule(next)
	}
}

// each calls do for all that wait or are being answered.
func (w *callerMonitor) each(do func(*exchange)) {
	w.mutex.Lock()
	waiting := make([]*exchange, 0, len(w.waiting))
	for f := range w.waiting {
		waiting = append(waiting, f)
	}
	w.mutex.Unlock()
	for _, f := range waiting {
		do(f)
	}
}

// leave ends what is under way for a caller that has left.
func (f *exchange) leave() {
	f.callerGone.Store(true)
	f.canceller.Cancel()
	f.actor.CallerLeft(f.record)
}
