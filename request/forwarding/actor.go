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
	core    *Core
	world   func() World
	mailbox *actor.Mailbox[func(*Core, World)]
	// waking is when the next look is due, as far as one is ordered.
	waking clock.Mark
	held   atomic.Int64
	ended  chan struct{}
}

// NewActor makes an actor; world gathers what the passes look at.
func NewActor(settings Settings, world func() World) *Actor {
	return &Actor{
		core:    NewCore(settings),
		world:   world,
		mailbox: actor.NewMailbox[func(*Core, World)](mailboxSize),
		ended:   make(chan struct{}),
	}
}

// Run takes events until ctx ends; whoever waits then is answered.
func (a *Actor) Run(ctx context.Context) {
	a.mailbox.Run(ctx, 0, func(event func(*Core, World)) {
		w := a.world()
		event(a.core, w)
		a.held.Store(int64(a.core.HeldNow()))
		a.order(w.Now)
	}, nil)
	a.core.Stop(a.world())
	close(a.ended)
}

// order has the actor woken for its next look; one timer is under way at a time.
func (a *Actor) order(now clock.Mark) {
	next, due := a.core.NextLook(now)
	if !due || a.waking > now && a.waking <= next {
		return
	}
	a.waking = next
	time.AfterFunc(next.Since(now), func() { a.mailbox.Send(func(c *Core, w World) { c.Pass(w) }) })
}

// NewRecord makes a record with room for its steps.
func NewRecord(r Record) *Record {
	r.steps = make(chan Step, 1)
	return &r
}

// Next waits for what the record's sender does next.
func (a *Actor) Next(r *Record) Step {
	select {
	case step := <-r.steps:
		return step
	case <-a.ended:
	}
	select {
	case step := <-r.steps:
		return step
	default:
		// The actor has ended, and nobody else changes the record any more.
		answer := finalAnswer(r, Stopping, time.Second)
		return Step{End: &answer}
	}
}

// Admit takes a record in; it says false when the actor has ended.
func (a *Actor) Admit(r *Record) bool {
	return a.mailbox.Send(func(c *Core, w World) { c.Admit(r, w) })
}

// Attempted reports how an attempt ended, with the last event that went on to the caller. Unless the
// record is served, the next step follows.
func (a *Actor) Attempted(r *Record, outcome Outcome, lastEvent string) bool {
	return a.mailbox.Send(func(c *Core, w World) {
		if lastEvent != "" {
			r.lastEvent = lastEvent
		}
		c.Attempted(r, outcome, w)
	})
}

// Begun reports that the answer begins to go on to the caller.
func (a *Actor) Begun(r *Record) { a.mailbox.Send(func(c *Core, w World) { c.Begun(r, w) }) }

// CallerLeft reports that nobody waits any more.
func (a *Actor) CallerLeft(r *Record) {
	a.mailbox.Send(func(c *Core, w World) { c.CallerLeft(r, w) })
}

// Poke has those that wait looked at again, since the table or the engines changed.
func (a *Actor) Poke() {
	// Nobody waits most of the time, and then there is nothing to look at.
	if a.held.Load() > 0 {
		a.mailbox.Offer(func(c *Core, w World) { c.Pass(w) })
	}
}

// Ask runs a question on the core and waits for it; it says false when the actor has ended.
func (a *Actor) Ask(question func(*Core, World)) bool {
	done := make(chan struct{})
	if !a.mailbox.Send(func(c *Core, w World) { question(c, w); close(done) }) {
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
	a.Ask(func(c *Core, w World) { out = c.Outcomes(w.Now) })
	return out
}

// Demands lists what is asked for now.
func (a *Actor) Demands() []Demand {
	var out []Demand
	a.Ask(func(c *Core, w World) { out = c.Demands(w.Now) })
	return out
}
