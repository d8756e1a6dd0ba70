package admission

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/ident"
)

const (
	tickPeriod  = 20 * time.Millisecond
	mailboxSize = 4096
)

// Controller is the actor around the core. Its methods may be called from any goroutine.
type Controller struct {
	core    *Core
	view    func() View
	mailbox *actor.Mailbox[event]
	// decisions is where the callers wait, by the ids of their requests.
	decisions map[string]chan bool
}

// event is one call to the controller.
type event interface {
	apply(c *Controller) []Decision
}

type (
	acquireEvent struct {
		request  Request
		decision chan bool
	}
	releaseEvent struct {
		engine  ident.EngineID
		id      string
		refused bool
	}
)

// NewController makes the actor; view is called on its goroutine for each step.
func NewController(view func() View) *Controller {
	return &Controller{core: NewCore(), view: view, mailbox: actor.NewMailbox[event](mailboxSize), decisions: map[string]chan bool{}}
}

// Run runs the actor until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.mailbox.Run(ctx, tickPeriod, func(happened event) { c.deliver(happened.apply(c)) }, func() { c.deliver(c.core.Tick(c.view())) })
}

// Acquire asks for a slot and waits until it is granted or denied. It returns false as well when ctx ends or the actor
// has ended; the slot then need not be released.
func (c *Controller) Acquire(ctx context.Context, request Request) bool {
	decision := make(chan bool, 1)
	if !c.mailbox.Send(acquireEvent{request, decision}) {
		return false
	}
	select {
	case granted := <-decision:
		return granted
	case <-ctx.Done():
		// Whether it was granted meanwhile is not known here, so it is released in any case.
		c.Release(request.Engine, request.ID, false)
	case <-c.mailbox.Done():
	}
	return false
}

// Release gives a slot back; refused says that the engine refused the attempt.
func (c *Controller) Release(engine ident.EngineID, id string, refused bool) {
	c.mailbox.Send(releaseEvent{engine, id, refused})
}

func (e acquireEvent) apply(c *Controller) []Decision {
	c.decisions[e.request.ID] = e.decision
	return c.core.Acquire(c.view(), e.request)
}

func (e releaseEvent) apply(c *Controller) []Decision {
	delete(c.decisions, e.id)
	return c.core.Release(c.view(), e.engine, e.id, e.refused)
}

func (c *Controller) deliver(decisions []Decision) {
	for _, decision := range decisions {
		if waiting := c.decisions[decision.ID]; waiting != nil {
			waiting <- decision.Granted
			delete(c.decisions, decision.ID)
		}
	}
}
