package actor

import (
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// initialBar is for how long a duty is barred after its first panic; it doubles with each further one up to maxBar.
	initialBar = 10 * time.Second
	maxBar     = 5 * time.Minute
)

// Guard runs the tasks of a duty that another process can take over, such as planning under a lease. A panic ends the task and
// bars the duty here for a time; the process, which may be a member of the consensus group, goes on. Its methods except Panics
// belong to the duty's goroutine.
type Guard struct {
	clock   clock.Clock
	abandon func(cause any, stack []byte)
	panics  atomic.Uint64
	until   clock.Mark
}

// NewGuard makes a guard; abandon is called after a panic, with its value and stack. It must log both, give up whatever right the
// duty is done by, and drop the duty's state, which may be inconsistent.
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
		g.until = g.clock.Elapsed() + clock.Mark(min(initialBar<<min(earlier, 10), maxBar))
		g.abandon(cause, debug.Stack())
	}()
	task()
}

// Barred reports whether the duty must not be taken up now.
func (g *Guard) Barred() bool { return g.clock.Elapsed() < g.until }

// Panics counts the panics since the process started.
func (g *Guard) Panics() uint64 { return g.panics.Load() }
