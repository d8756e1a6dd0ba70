package deduplication

import (
	"context"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
)

// mailboxCapacity bounds the calls that wait for the actor; callers block beyond it.
const mailboxCapacity = 1024

// Actor runs calls on a memory on one goroutine.
type Actor struct {
	clock   clock.Clock
	memory  *Memory
	mailbox *actor.Mailbox[func()]
}

// NewActor makes an actor with an empty memory.
func NewActor(c clock.Clock) *Actor {
	return &Actor{clock: c, memory: NewMemory(), mailbox: actor.NewMailbox[func()](mailboxCapacity)}
}

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	a.mailbox.Run(ctx, 0, func(call func()) { call() }, nil)
}

// Do runs a call on the memory and waits for it; it returns false if the actor has ended. The call must not keep the
// memory.
func (a *Actor) Do(call func(now clock.Mark, memory *Memory)) bool {
	done := make(chan struct{})
	if !a.mailbox.Send(func() { call(a.clock.Elapsed(), a.memory); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-a.mailbox.Done():
		return false
	}
}
