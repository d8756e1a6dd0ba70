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
type Ask struct {
	ID     string
	Node   ident.NodeID
	Engine ident.EngineID
	priority.Bid
	// Until is when the asker stops waiting.
	Until clock.Mark
}

// View is what the keeper looks at in one step.
type View struct {
	Now clock.Mark
	// Capacity is how many attempts an engine may run at once now, Busy how many it last reported.
	Capacity, Busy func(ident.EngineID) int
	// Asked is when the engine's newest report was asked for.
	Asked func(ident.EngineID) clock.Mark
	// Alive says whether a daemon is still heard.
	Alive func(ident.NodeID) bool
}

// Answer tells an asker.
type Answer struct {
	ID      string
	Granted bool
}

type grant struct {
	node ident.NodeID
	at   clock.Mark
}

type engineSlots struct {
	granted map[string]grant
	waiting []Ask
	// since is when this keeper first heard of the engine.
	since clock.Mark
	turns priority.Turns
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
	learnFor = 2 * time.Second
	// longestAttempt bounds how long a slot stays given when nobody gives it back.
	longestAttempt = 90 * time.Second
	maxTenants     = 1000
)

func (c *Core) slotsOf(now clock.Mark, id ident.EngineID) *engineSlots {
	slots := c.engines[id]
	if slots == nil {
		slots = &engineSlots{granted: map[string]grant{}, since: now, turns: priority.Turns{}}
		c.engines[id] = slots
	}
	return slots
}

// Ask takes a bid; its answer comes now or later.
func (c *Core) Ask(view View, ask Ask) []Answer {
	slots := c.slotsOf(view.Now, ask.Engine)
	slots.waiting = append(slots.waiting, ask)
	return c.serve(view, ask.Engine, slots)
}

// Release takes a slot back.
func (c *Core) Release(view View, engine ident.EngineID, id string, refused bool) []Answer {
	slots := c.slotsOf(view.Now, engine)
	if refused {
		slots.refusedAt = view.Now
	}
	delete(slots.granted, id)
	slots.waiting = slices.DeleteFunc(slots.waiting, func(a Ask) bool { return a.ID == id })
	return c.serve(view, engine, slots)
}

// Tick lets time pass: who waited too long is denied, and slots of daemons that are gone come back.
func (c *Core) Tick(view View) []Answer {
	var out []Answer
	for _, id := range sortedEngines(c.engines) {
		slots := c.engines[id]
		for given, g := range slots.granted {
			if !view.Alive(g.node) || view.Now.Since(g.at) > longestAttempt {
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
func (c *Core) serve(view View, id ident.EngineID, slots *engineSlots) []Answer {
	var out []Answer
	slots.waiting = slices.DeleteFunc(slots.waiting, func(a Ask) bool {
		late := view.Now >= a.Until
		if late {
			c.Denied++
			out = append(out, Answer{ID: a.ID})
		}
		return late
	})
	free := view.Capacity(id) - len(slots.granted)
	if view.Now.Since(slots.since) < learnFor {
		free = min(free, view.Capacity(id)-view.Busy(id))
	}
	// An engine that refused is not what it was taken for: nothing more goes out before a later report is read.
	if slots.refusedAt > 0 && discovery.StillRefuses(slots.refusedAt, view.Asked(id), view.Now) {
		free = 0
	}
	for free > 0 && len(slots.waiting) > 0 {
		slices.SortStableFunc(slots.waiting, func(a, b Ask) int { return slots.turns.Compare(a.Bid, b.Bid) })
		best := slots.waiting[0]
		slots.waiting = slots.waiting[1:]
		slots.granted[best.ID] = grant{best.Node, view.Now}
		slots.countTurn(best.Tenant)
		c.Granted++
		out = append(out, Answer{ID: best.ID, Granted: true})
		free--
	}
	return out
}

// countTurn counts a tenant's turn.
func (d *engineSlots) countTurn(tenant string) {
	if len(d.turns) > maxTenants {
		clear(d.turns)
	}
	d.turns.Serve(tenant, func(yield func(string) bool) {
		for _, ask := range d.waiting {
			if !yield(ask.Tenant) {
				return
			}
		}
	})
}

// Keeper is the actor around the core.
type Keeper struct {
	core    *Core
	view    func() View
	mailbox *actor.Mailbox[any]
	waiting map[string]chan bool
}

type (
	asked struct {
		ask    Ask
		answer chan bool
	}
	released struct {
		engine ident.EngineID
		id     string
		// refused says that the engine would not take the attempt.
		refused bool
	}
)

const tickPeriod = 20 * time.Millisecond

// NewKeeper makes the actor.
func NewKeeper(view func() View) *Keeper {
	return &Keeper{core: NewCore(), view: view, mailbox: actor.NewMailbox[any](4096), waiting: map[string]chan bool{}}
}

// Run runs the actor until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.mailbox.Run(ctx, tickPeriod, k.take, func() { k.deliver(k.core.Tick(k.view())) })
}

// Ask bids for a slot, and waits until it is granted or denied.
func (k *Keeper) Ask(ctx context.Context, ask Ask) bool {
	answer := make(chan bool, 1)
	if !k.mailbox.Send(asked{ask, answer}) {
		return false
	}
	select {
	case granted := <-answer:
		return granted
	case <-ctx.Done():
		// Whether it was granted meanwhile is not known here, so it is given back in any case.
		k.Release(ask.Engine, ask.ID, false)
	case <-k.mailbox.Done():
	}
	return false
}

// Release gives a slot back.
func (k *Keeper) Release(engine ident.EngineID, id string, refused bool) {
	k.mailbox.Send(released{engine, id, refused})
}

func (k *Keeper) take(event any) {
	switch e := event.(type) {
	case asked:
		k.waiting[e.ask.ID] = e.answer
		k.deliver(k.core.Ask(k.view(), e.ask))
	case released:
		delete(k.waiting, e.id)
		k.deliver(k.core.Release(k.view(), e.engine, e.id, e.refused))
	}
}

func (k *Keeper) deliver(answers []Answer) {
	for _, answer := range answers {
		if waiting := k.waiting[answer.ID]; waiting != nil {
			waiting <- answer.Granted
			delete(k.waiting, answer.ID)
		}
	}
}
