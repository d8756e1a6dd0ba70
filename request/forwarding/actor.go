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

// Actor runs the core over events, one after the other.
type Actor struct {
	core        *Core
	environment func() Environment
	mailbox     *actor.Mailbox[func(*Core, Environment)]
	// waking is when the next look is due, as far as one is ordered.
	nextWakeAt  clock.Mark
	queueLength atomic.Int64
	stopped     chan struct{}
}

// NewActor makes an actor; world gathers what the passes look at.
func NewActor(settings Settings, world func() Environment) *Actor {
	return &Actor{
		core:        NewCore(settings),
		environment: world,
		mailbox:     actor.NewMailbox[func(*Core, Environment)](mailboxSize),
		stopped:     make(chan struct{}),
	}
}

// Run takes events until ctx ends; whoever waits then is answered.
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

// order has the actor woken for its next look; one timer is under way at a time.
func (a *Actor) scheduleWake(now clock.Mark) {
	next, due := a.core.NextWake(now)
	if !due || a.nextWakeAt > now && a.nextWakeAt <= next {
		return
	}
	a.nextWakeAt = next
	time.AfterFunc(next.Since(now), func() { a.mailbox.Send(func(c *Core, env Environment) { c.DispatchQueued(env) }) })
}

// Next waits for what the record's sender does next.
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
		// The actor has ended, and nobody else changes the record any more.
		answer := finalAnswer(request, CauseShuttingDown, time.Second)
		return Step{Answer: &answer}
	}
}

// Admit takes a record in; it says false when the actor has ended.
func (a *Actor) Admit(request *Request) bool {
	return a.mailbox.Send(func(c *Core, env Environment) { c.Admit(request, env) })
}

// Attempted reports how an attempt ended, with the last event that went on to the caller. Unless the
// record is served, the next step follows.
func (a *Actor) AttemptEnded(request *Request, outcome Outcome, lastEvent string) bool {
	return a.mailbox.Send(func(c *Core, env Environment) {
		if lastEvent != "" {
			request.lastEvent = lastEvent
		}
		c.AttemptEnded(request, outcome, env)
	})
}

// Begun reports that the answer begins to go on to the caller.
func (a *Actor) ResponseBegun(request *Request) {
	a.mailbox.Send(func(c *Core, env Environment) { c.ResponseBegun(request, env) })
}

// CallerLeft reports that nobody waits any more.
func (a *Actor) CallerLeft(request *Request) {
	a.mailbox.Send(func(c *Core, env Environment) { c.CallerLeft(request, env) })
}

// Poke has those that wait looked at again, since the table or the engines changed.
func (a *Actor) Wake() {
	// Nobody waits most of the time, and then there is nothing to look at.
	if a.queueLength.Load() > 0 {
		a.mailbox.Offer(func(c *Core, env Environment) { c.DispatchQueued(env) })
	}
}

// Ask runs a question on the core and waits for it; it says false when the actor has ended.
func (a *Actor) Do(question func(*Core, Environment)) bool {
	done := make(chan struct{})
	if !a.mailbox.Send(func(c *Core, env Environment) { question(c, env); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-a.mailbox.Done():
		return false
	}
}

// Outcomes gives what became of attempts at engines since it was last asked for.
func (a *Actor) Outcomes() []outlier.Digest {
	var out []outlier.Digest
	a.Do(func(c *Core, env Environment) { out = c.Outcomes(env.Now) })
	return out
}

// Demands lists what is asked for now.
func (a *Actor) Demands() []Demand {
	var out []Demand
	a.Do(func(c *Core, env Environment) { out = c.Demands(env.Now) })
	return out
}
