package engine

import (
	"context"
	"sync"
)

// Freeze suspends the engine until Thaw.
func (e *Engine) Freeze() { e.gate.close() }

// Thaw ends a freeze.
func (e *Engine) Thaw() { e.gate.open() }

// gate suspends everything that passes it while it is closed.
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

// pass waits while the gate is closed; false if the incarnation ended meanwhile.
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
