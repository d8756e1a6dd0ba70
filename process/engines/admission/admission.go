// Package admission shares out the slots of engines. Each engine has one keeper among the routing daemons; the others
// ask it before an attempt is sent, so that bids are compared over the whole fleet and an engine is not sent more than
// it can run.
package admission

import (
	"context"
	"slices"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/engines/priority"
)

// Ask is one daemon's bid for a slot.
type Request struct {
	ID     string
	Node   ident.NodeID
	Engine ident.EngineID
	priority.Key
	// Until is when the asker stops waiting.
	Deadline clock.Mark
}

// View is what the keeper looks at in one step.
type View struct {
	Now clock.Mark
	// Capacity is how many attempts an engine may run at once now, Busy how many it last reported.
	Capacity, Busy func(ident.EngineID) int
	// Asked is when the engine's newest report was asked for.
	ReportRequested func(ident.EngineID) clock.Mark
	// Alive says whether a daemon is still heard.
	Alive func(ident.NodeID) bool
}

// Answer tells an asker.
type Decision struct {
	ID      string
	Granted bool
}

type grant struct {
	node  ident.NodeID
	since clock.Mark
}

type engineSlots struct {
	granted map[string]grant
	waiting []Request
	// since is when this keeper first heard of the engine.
	firstSeen clock.Mark
	served    priority.ServedCounts
	// refusedAt is when the engine last refused an attempt that had a slot.
	refusedAt clock.Mark
}

// Core is the keeper's state; it is pure.
type Core struct {
	engines map[ident.EngineID]*engineSlots
	Granted uint64
	Denied  uint64
}

// NewCore makes a keeper that has granted nothing.
func NewCore() *Core { return &Core{engines: map[ident.EngineID]*engineSlots{}} }

const (
	// learnFor is how long a new keeper goes by the engine's own report, for it doesn't know what was given before it.
	learningPeriod = 2 * time.Second
	// longestAttempt bounds how long a slot stays given when nobody gives it back.
	maxSlotDuration = 90 * time.Second
	maxTenants      = 1000
)

func (c *Core) slotsOf(now clock.Mark, id ident.EngineID) *engineSlots {
	slots := c.engines[id]
	if slots == nil {
		slots = &engineSlots{granted: map[string]grant{}, firstSeen: now, served: priority.ServedCounts{}}
		c.engines[id] = slots
	}
	return slots
}

// Ask takes a bid; its answer comes now or later.
func (c *Core) Acquire(view View, request Request) []Decision {
	slots := c.slotsOf(view.Now, request.Engine)
	slots.waiting = append(slots.waiting, request)
	return c.serve(view, request.Engine, slots)
}

// Release takes a slot back.
func (c *Core) Release(view View, engine ident.EngineID, id string, refused bool) []Decision {
	slots := c.slotsOf(view.Now, engine)
	if refused {
		slots.refusedAt = view.Now
	}
	delete(slots.granted, id)
	slots.waiting = slices.DeleteFunc(slots.waiting, func(a Request) bool { return a.ID == id })
	return c.serve(view, engine, slots)
}

// Tick lets time pass: who waited too long is denied, and slots of daemons that are gone come back.
func (c *Core) Tick(view View) []Decision {
	var out []Decision
	for _, id := range sortedEngines(c.engines) {
		slots := c.engines[id]
		for given, g := range slots.granted {
			if !view.Alive(g.node) || view.Now.Since(g.since) > maxSlotDuration {
				delete(slots.granted, given)
			}
		}
		out = append(out, c.serve(view, id, slots)...)
	}
	return out
}

func sortedEngines(engines map[ident.EngineID]*engineSlots) []ident.EngineID {
	ids := make([]ident.EngineID, 0, len(engines))
	for id := range engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// serve denies the late, and gives free slots to the highest bids.
func (c *Core) serve(view View, id ident.EngineID, slots *engineSlots) []Decision {
	var out []Decision
	slots.waiting = slices.DeleteFunc(slots.waiting, func(a Request) bool {
		late := view.Now >= a.Deadline
		if late {
			c.Denied++
			out = append(out, Decision{ID: a.ID})
		}
		return late
	})
	free := view.Capacity(id) - len(slots.granted)
	if view.Now.Since(slots.firstSeen) < learningPeriod {
		free = min(free, view.Capacity(id)-view.Busy(id))
	}
	// An engine that refused is not what it was taken for: nothing more goes out before a later report is read.
	if slots.refusedAt > 0 && discovery.StillRefuses(slots.refusedAt, view.ReportRequested(id), view.Now) {
		free = 0
	}
	for free > 0 && len(slots.waiting) > 0 {
		slices.SortStableFunc(slots.waiting, func(a, b Request) int { return slots.served.Compare(a.Key, b.Key) })
		best := slots.waiting[0]
		slots.waiting = slots.waiting[1:]
		slots.granted[best.ID] = grant{best.Node, view.Now}
		slots.recordServed(best.Tenant)
		c.Granted++
		out = append(out, Decision{ID: best.ID, Granted: true})
		free--
	}
	return out
}

// countTurn counts a tenant's turn.
func (s *engineSlots) recordServed(tenant string) {
	if len(s.served) > maxTenants {
		clear(s.served)
	}
	s.served.Serve(tenant, func(yield func(string) bool) {
		for _, request := range s.waiting {
			if !yield(request.Tenant) {
				return
			}
		}
	})
}

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
