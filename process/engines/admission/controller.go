package admission

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/ident"
)

// Keeper is the actor around the core.
type Controller struct {
	core      *Core
	view      func() View
	mailbox   *actor.Mailbox[any]
	decisions map[string]chan bool
}

type (
	acquireEvent struct {
		request  Request
		decision chan bool
	}
	releaseEvent struct {
		engine ident.EngineID
		id     string
		// refused says that the engine would not take the attempt.
		refused bool
	}
)

const tickPeriod = 20 * time.Millisecond

// NewKeeper makes the actor.
func NewController(view func() View) *Controller {
	return &Controller{core: NewCore(), view: view, mailbox: actor.NewMailbox[any](4096), decisions: map[string]chan bool{}}
}

// Run runs the actor until ctx ends.
func (k *Controller) Run(ctx context.Context) {
	k.mailbox.Run(ctx, tickPeriod, k.handle, func() { k.deliver(k.core.Tick(k.view())) })
}

// Ask bids for a slot, and waits until it is granted or denied.
func (k *Controller) Acquire(ctx context.Context, request Request) bool {
	decision := make(chan bool, 1)
	if !k.mailbox.Send(acquireEvent{request, decision}) {
		return false
	}
	select {
	case granted := <-decision:
		return granted
	case <-ctx.Done():
		// Whether it was granted meanwhile is not known here, so it is given back in any case.
		k.Release(request.Engine, request.ID, false)
	case <-k.mailbox.Done():
	}
	return false
}

// Release gives a slot back.
func (k *Controller) Release(engine ident.EngineID, id string, refused bool) {
	k.mailbox.Send(releaseEvent{engine, id, refused})
}

func (k *Controller) handle(event any) {
	switch e := event.(type) {
	case acquireEvent:
		k.decisions[e.request.ID] = e.decision
		k.deliver(k.core.Acquire(k.view(), e.request))
	case releaseEvent:
		delete(k.decisions, e.id)
		k.deliver(k.core.Release(k.view(), e.engine, e.id, e.refused))
	}
}

func (k *Controller) deliver(decisions []Decision) {
	for _, decision := range decisions {
		if waiting := k.decisions[decision.ID]; waiting != nil {
			waiting <- decision.Granted
			delete(k.decisions, decision.ID)
		}
	}
}
