package engine

import (
	"context"
	"sync"
)

// Freeze makes it stand still; Thaw lets it go on.
func (e *Engine) Freeze() { e.gate.close() }

// Thaw ends a freeze.
func (e *Engine) Thaw() { e.gate.open() }

// gate lets everything pass, or nothing.
type gate struct {
	mutex  *sync.Mutex
	closed *chan struct{}
}

func newGate() gate { return gate{mutex: &sync.Mutex{}, closed: new(chan struct{})} }

func (g gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if *g.closed == nil {
		*g.closed = make(chan struct{})
	}
}

func (g gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if *g.closed != nil {
		close(*g.closed)
		*g.closed = nil
	}
}

// pass waits while the gate is shut; false if the life ended over it.
func (g gate) pass(ctx context.Context) bool {
	g.mutex.Lock()
	closed := *g.closed
	g.mutex.Unlock()
	if closed != nil {
		select {
		case <-closed:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}
