package gateway

import (
	"sync"
	"time"
)

const (
	// pollInterval is how often the connections of open requests are polled.
	pollInterval = 200 * time.Millisecond
	// halfCloseWindow is how soon after its request a caller closes its side that merely has nothing more to send: it does
	// so right behind its request, and the system dates both by ticks of up to 10 ms. Callers that leave within it are
	// found only once something is written to them, so it is no longer than that.
	halfCloseWindow = 20 * time.Millisecond
	// firstPollAfter is how long after its request a caller is polled first. Where the system does not date the end of a
	// caller's side, one that ended before this poll counts as ended right behind the request, and any other does not.
	firstPollAfter = 10 * time.Millisecond
	// minPollSpacing lets one poll serve callers that are due at about the same time. It adds to firstPollAfter.
	minPollSpacing = 10 * time.Millisecond
	// clockTolerance is by how much the system's times may differ from the clock used here.
	clockTolerance = 20 * time.Millisecond
)

// callerMonitor detects callers that disconnect while their requests are open. Its timer runs only while any are.
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

// schedule sets the timer, and only one.
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

// checkDue polls the callers that are due.
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

// each calls do for each open request.
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

// leave ends a request whose caller has disconnected.
func (f *exchange) leave() {
	f.callerGone.Store(true)
	f.canceller.Cancel()
	f.actor.CallerLeft(f.request)
}
