package actor

import (
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// initialPanicBackoff is for how long a role is not taken up after its first panic; it doubles with each further one up
	// to maxPanicBackoff.
	initialPanicBackoff = 10 * time.Second
	maxPanicBackoff     = 5 * time.Minute
)

// Guard runs the tasks of a singleton role, such as planning under a lease, which another process can take over. A panic ends
// the task and keeps the role from being taken up here for a time; the process, which may be a member of the consensus group,
// goes on. Its methods except Panics belong to the role's goroutine.
type Guard struct {
	clock        clock.Clock
	abandon      func(cause any, stack []byte)
	panics       atomic.Uint64
	backoffUntil clock.Mark
}

// NewGuard makes a guard; abandon is called after a panic, with its value and stack. It must log both, give up the lease under
// which the role runs, and drop the role's state, which may be inconsistent.
func NewGuard(c clock.Clock, abandon func(cause any, stack []byte)) *Guard {
	return &Guard{clock: c, abandon: abandon}
}

// Run runs one task.
func (g *Guard) Run(task func()) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		earlier := g.panics.Add(1) - 1
		g.backoffUntil = g.clock.Elapsed() + clock.Mark(min(initialPanicBackoff<<min(earlier, 10), maxPanicBackoff))
		g.abandon(cause, debug.Stack())
	}()
	task()
}

// InBackoff reports whether the role must not be taken up now.
func (g *Guard) InBackoff() bool { return g.clock.Elapsed() < g.backoffUntil }

// Panics counts the panics since the process started.
func (g *Guard) Panics() uint64 { return g.panics.Load() }
