package forwarding

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/outlier"
)

// mailboxSize is how many events wait for the actor before a sender has to.
const mailboxSize = 256

// Actor owns a Core and runs its events one after the other. Its methods are safe for concurrent use.
type Actor struct {
	core        *Core
	environment func() Environment
	mailbox     *actor.Mailbox[func(*Core, Environment)]
	// nextWakeAt is when the timer that was set last wakes the actor.
	nextWakeAt  clock.Mark
	queueLength atomic.Int64
	stopped     chan struct{}
}

// NewActor makes an actor; environment is called for each event, on the actor's goroutine.
func NewActor(settings Settings, environment func() Environment) *Actor {
	return &Actor{
		core:        NewCore(settings),
		environment: environment,
		mailbox:     actor.NewMailbox[func(*Core, Environment)](mailboxSize),
		stopped:     make(chan struct{}),
	}
}

// Run processes events until ctx ends, and then ends all queued requests.
func (a *Actor) Run(ctx context.Context) {
	a.mailbox.Run(ctx, 0, func(event func(*Core, Environment)) {
		env := a.environment()
		event(a.core, env)
		a.queueLength.Store(int64(a.core.QueueLength()))
		a.scheduleWake(env.Now)
	}, nil)
	a.core.Stop(a.environment())
	close(a.stopped)
}

// scheduleWake sets a timer for the next dispatch of the queue, unless an earlier one is pending.
func (a *Actor) scheduleWake(now clock.Mark) {
	next, due := a.core.NextWake(now)
	if !due || a.nextWakeAt > now && a.nextWakeAt <= next {
		return
	}
	a.nextWakeAt = next
	time.AfterFunc(next.Since(now), func() { a.mailbox.Send(func(c *Core, env Environment) { c.DispatchQueued(env) }) })
}

// NextStep waits for the request's next step. After the actor has stopped it gives a final answer.
func (a *Actor) NextStep(request *Request) Step {
	select {
	case step := <-request.steps:
		return step
	case <-a.stopped:
	}
	select {
	case step := <-request.steps:
		return step
	default:
		// The actor has stopped, and nobody else changes the request any more.
		answer := finalAnswer(request, CauseShuttingDown, time.Second)
		return Step{Answer: &answer}
	}
}

// NextStepWithin waits for the request's next step for a limited time; false if none came.
func (a *Actor) NextStepWithin(request *Request, limit time.Duration) (Step, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case step := <-request.steps:
		return step, true
	case <-timer.C:
		return Step{}, false
	}
}

// Admit hands in a request; false if the actor has stopped.
func (a *Actor) Admit(request *Request) bool {
	return a.mailbox.Send(func(c *Core, env Environment) { c.Admit(request, env) })
}

// AttemptEnded reports an attempt's outcome and the last event passed on, if any. Unless the request is served, the next
// step follows; false if the actor has stopped.
func (a *Actor) AttemptEnded(request *Request, outcome Outcome, lastEvent string) bool {
	return a.mailbox.Send(func(c *Core, env Environment) {
		if lastEvent != "" {
			request.lastEvent = lastEvent
		}
		c.AttemptEnded(request, outcome, env)
	})
}

// ResponseBegun reports that bytes of the response are passed on from now on.
func (a *Actor) ResponseBegun(request *Request) {
	a.mailbox.Send(func(c *Core, env Environment) { c.ResponseBegun(request, env) })
}

// CallerLeft reports that the caller disconnected.
func (a *Actor) CallerLeft(request *Request) {
	a.mailbox.Send(func(c *Core, env Environment) { c.CallerLeft(request, env) })
}

// Wake has queued requests dispatched, because the routing table or the engines changed.
func (a *Actor) Wake() {
	// Nobody waits most of the time, and then there is nothing to look at.
	if a.queueLength.Load() > 0 {
		a.mailbox.Offer(func(c *Core, env Environment) { c.DispatchQueued(env) })
	}
}

// Do runs a function on the actor's goroutine and waits for it; false if the actor has stopped.
func (a *Actor) Do(task func(*Core, Environment)) bool {
	done := make(chan struct{})
	if !a.mailbox.Send(func(c *Core, env Environment) { task(c, env); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-a.mailbox.Done():
		return false
	}
}

// Outcomes gives the outcomes of attempts by engine since the last call.
func (a *Actor) Outcomes() []outlier.Digest {
	var out []outlier.Digest
	a.Do(func(c *Core, env Environment) { out = c.Outcomes(env.Now) })
	return out
}

// Demands gives the demand for each pool, model and adapter.
func (a *Actor) Demands() []Demand {
	var out []Demand
	a.Do(func(c *Core, env Environment) { out = c.Demands(env.Now) })
	return out
}
