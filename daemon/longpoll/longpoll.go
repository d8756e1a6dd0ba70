// Package longpoll holds back answers until there is something new to say, as long polling does.
//
// Daemons query each other over and over for changes. An answer that would bring nothing is held back until a change
// comes or the wait that the caller allows is over, so changes travel at once and a fleet at rest costs little.
// Urgent changes end the wait at once; ordinary ones may wait a short time, so that several share an answer.
//
// A Notifier belongs to whoever makes changes known, and wakes all waiters; each waiter then checks for itself whether
// the change concerns it. The package owns no goroutine: Await runs on the goroutine of the request.
package longpoll

import (
	"context"
	"sync"
	"time"
)

// Urgency says how soon a caller must get what is new.
type Urgency int

const (
	// Nothing means that the caller has all there is.
	Nothing Urgency = iota
	// Ordinary changes may wait for more of their kind.
	Ordinary
	// Urgent changes end the wait at once.
	Urgent
)

// Notifier wakes the callers whose answers are held back.
type Notifier struct {
	mutex sync.Mutex
	// Each channel is closed, and replaced, at the next change of its kind; ordinary is closed at every change.
	ordinary, urgent chan struct{}
}

// NewNotifier returns a Notifier.
func NewNotifier() *Notifier {
	return &Notifier{ordinary: make(chan struct{}), urgent: make(chan struct{})}
}

// Notify wakes whoever waits for a change of this urgency. An urgent change wakes all.
func (n *Notifier) Notify(urgency Urgency) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	close(n.ordinary)
	n.ordinary = make(chan struct{})
	if urgency == Urgent {
		close(n.urgent)
		n.urgent = make(chan struct{})
	}
}

// next returns the channels that the next ordinary and the next urgent change close.
func (n *Notifier) next() (ordinary, urgent <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.ordinary, n.urgent
}

// Await returns once check finds an urgent change, once it finds an ordinary one and batchDelay has passed, after
// maxWait, or when ctx ends. It returns at once where maxWait isn't positive. check is called after every change.
func (n *Notifier) Await(ctx context.Context, maxWait, batchDelay time.Duration, check func() Urgency) {
	if maxWait <= 0 {
		return
	}
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	batch := time.NewTimer(min(batchDelay, maxWait))
	defer batch.Stop()
	batchPassed := false
	for {
		// The channels are taken before the check, so a change between the two is not missed.
		ordinary, urgent := n.next()
		switch check() {
		case Urgent:
			return
		case Ordinary:
			if batchPassed {
				return
			}
			// More ordinary changes would alter nothing.
			ordinary = nil
		}
		select {
		case <-ordinary:
		case <-urgent:
		case <-batch.C:
			batchPassed = true
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
