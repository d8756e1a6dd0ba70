// Package actor is the one select loop that every actor of the daemon runs on.
package actor

import (
	"context"
	"time"
)

// Mailbox is how others reach an actor.
type Mailbox[E any] struct {
	events chan E
	done   chan struct{}
}

// NewMailbox makes a mailbox that holds size events before senders wait.
func NewMailbox[E any](size int) *Mailbox[E] {
	return &Mailbox[E]{events: make(chan E, size), done: make(chan struct{})}
}

// Send hands an event over and waits for room; it says false when the actor has ended.
func (m *Mailbox[E]) Send(event E) bool {
	select {
	case <-m.done:
		return false
	default:
	}
	select {
	case m.events <- event:
		return true
	case <-m.done:
		return false
	}
}

// Offer hands an event over only if there is room.
func (m *Mailbox[E]) Offer(event E) bool {
	select {
	case m.events <- event:
		return true
	default:
		return false
	}
}

// Len is how many events have not been taken yet.
func (m *Mailbox[E]) Len() int { return len(m.events) }

// Done is closed when the actor has ended.
func (m *Mailbox[E]) Done() <-chan struct{} { return m.done }

// Run takes events one by one, and a beat every period if period is not zero, until ctx ends.
func (m *Mailbox[E]) Run(ctx context.Context, period time.Duration, handle func(E), tick func()) {
	defer close(m.done)
	var ticks <-chan time.Time
	if period > 0 {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-m.events:
			handle(event)
		case <-ticks:
			tick()
		}
	}
}
