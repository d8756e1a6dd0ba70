// Package actor holds the mailbox and the select loop that every actor of the daemon runs on. An actor is a goroutine
// that owns its state; others reach it only by events, which it handles one at a time.
package actor

import (
	"context"
	"time"
)

// Mailbox is the queue of an actor's events. Its methods except Run may be called from any goroutine.
type Mailbox[E any] struct {
	events chan E
	done   chan struct{}
}

// NewMailbox makes a mailbox that queues up to capacity events.
func NewMailbox[E any](capacity int) *Mailbox[E] {
	return &Mailbox[E]{events: make(chan E, capacity), done: make(chan struct{})}
}

// Send queues an event and blocks while the mailbox is full; it returns false if the actor has ended.
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

// Offer queues an event only if the mailbox is not full, and reports whether it did.
func (m *Mailbox[E]) Offer(event E) bool {
	select {
	case m.events <- event:
		return true
	default:
		return false
	}
}

// Len returns the number of events that are queued.
func (m *Mailbox[E]) Len() int { return len(m.events) }

// Done is closed when the actor has ended.
func (m *Mailbox[E]) Done() <-chan struct{} { return m.done }

// Run handles events one by one, and calls tick every period if period is not zero, until ctx ends. It must be called
// once, on the actor's goroutine. Events still queued when it returns are dropped.
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
