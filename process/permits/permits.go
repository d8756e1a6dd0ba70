// Package permits is the keeper of an engine's slots. Each engine has one keeper among the routing
// daemons; the others ask it before a go leaves, so bids are weighed over the whole fleet and an
// engine is not sent more than it can run.
package permits

import (
	"context"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/actor"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/request/bid"
)

// Ask is one daemon's bid for a slot.
type Ask struct {
	ID     string
	Node   ident.NodeID
	Engine ident.EngineID
	bid.Bid
	// Until is when the asker stops waiting.
	Until clock.Mark
}

// Yard is what the keeper may look at.
type Yard struct {
	Now clock.Mark
	// Capacity is how many goes an engine may run at once now, Busy how many it last reported.
	Capacity, Busy func(ident.EngineID) int
	// Asked is when the engine's newest report was asked for.
	Asked func(ident.EngineID) clock.Mark
	// Lives says whether a daemon is still heard.
	Lives func(ident.NodeID) bool
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

type engineDesk struct {
	granted map[string]grant
	waiting []Ask
	// since is when this keeper first heard of the engine.
	since clock.Mark
	turns bid.Turns
	// refusedAt is when the engine last refused a go that had a slot.
	refusedAt clock.Mark
}

// Core is the keeper's state; it is pure.
type Core struct {
	engines map[ident.EngineID]*engineDesk
	Granted uint64
	Denied  uint64
}

// NewCore makes a keeper that has given nothing.
func NewCore() *Core { return &Core{engines: map[ident.EngineID]*engineDesk{}} }

const (
	// learnFor is how long a new keeper goes by the engine's own report, for it doesn't know what was given before it.
	learnFor = 2 * time.Second
	// longestGo bounds how long a slot stays given when nobody gives it back.
	longestGo  = 90 * time.Second
	mostHouses = 1000
)

func (c *Core) desk(now clock.Mark, id ident.EngineID) *engineDesk {
	desk := c.engines[id]
	if desk == nil {
		desk = &engineDesk{granted: map[string]grant{}, since: now, turns: bid.Turns{}}
		c.engines[id] = desk
	}
	return desk
}

// Ask takes a bid; its answer comes now or later.
func (c *Core) Ask(yard Yard, ask Ask) []Answer {
	desk := c.desk(yard.Now, ask.Engine)
	desk.waiting = append(desk.waiting, ask)
	return c.serve(yard, ask.Engine, desk)
}

// Release takes a slot back.
func (c *Core) Release(yard Yard, engine ident.EngineID, id string, refused bool) []Answer {
	desk := c.desk(yard.Now, engine)
	if refused {
		desk.refusedAt = yard.Now
	}
	delete(desk.granted, id)
	desk.waiting = slices.DeleteFunc(desk.waiting, func(a Ask) bool { return a.ID == id })
	return c.serve(yard, engine, desk)
}

// Beat lets time pass: who waited too long is denied, and slots of daemons that are gone come back.
func (c *Core) Beat(yard Yard) []Answer {
	var out []Answer
	for _, id := range sortedEngines(c.engines) {
		desk := c.engines[id]
		for given, g := range desk.granted {
			if !yard.Lives(g.node) || yard.Now.Since(g.at) > longestGo {
				delete(desk.granted, given)
			}
		}
		out = append(out, c.serve(yard, id, desk)...)
	}
	return out
}

func sortedEngines(engines map[ident.EngineID]*engineDesk) []ident.EngineID {
	ids := make([]ident.EngineID, 0, len(engines))
	for id := range engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// serve denies the late, and gives free slots to the highest bids.
func (c *Core) serve(yard Yard, id ident.EngineID, desk *engineDesk) []Answer {
	var out []Answer
	desk.waiting = slices.DeleteFunc(desk.waiting, func(a Ask) bool {
		late := yard.Now >= a.Until
		if late {
			c.Denied++
			out = append(out, Answer{ID: a.ID})
		}
		return late
	})
	free := yard.Capacity(id) - len(desk.granted)
	if yard.Now.Since(desk.since) < learnFor {
		free = min(free, yard.Capacity(id)-yard.Busy(id))
	}
	// An engine that refused is not what it was taken for: nothing more goes out before a later report is read.
	if desk.refusedAt > 0 && engines.StillRefuses(desk.refusedAt, yard.Asked(id), yard.Now) {
		free = 0
	}
	for free > 0 && len(desk.waiting) > 0 {
		slices.SortStableFunc(desk.waiting, func(a, b Ask) int { return desk.turns.Compare(a.Bid, b.Bid) })
		best := desk.waiting[0]
		desk.waiting = desk.waiting[1:]
		desk.granted[best.ID] = grant{best.Node, yard.Now}
		desk.turn(best.House)
		c.Granted++
		out = append(out, Answer{ID: best.ID, Granted: true})
		free--
	}
	return out
}

// turn counts a house's turn.
func (d *engineDesk) turn(house string) {
	if len(d.turns) > mostHouses {
		clear(d.turns)
	}
	d.turns.Serve(house, func(yield func(string) bool) {
		for _, ask := range d.waiting {
			if !yield(ask.House) {
				return
			}
		}
	})
}

// Keeper is the actor around the core.
type Keeper struct {
	core    *Core
	yard    func() Yard
	box     *actor.Mailbox[any]
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
		// refused says that the engine would not take the go.
		refused bool
	}
)

const beatEvery = 20 * time.Millisecond

// NewKeeper makes the actor.
func NewKeeper(yard func() Yard) *Keeper {
	return &Keeper{core: NewCore(), yard: yard, box: actor.NewMailbox[any](4096), waiting: map[string]chan bool{}}
}

// Run runs the actor until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.box.Run(ctx, beatEvery, k.take, func() { k.tell(k.core.Beat(k.yard())) })
}

// Ask bids for a slot, and waits until it is granted or denied.
func (k *Keeper) Ask(ctx context.Context, ask Ask) bool {
	answer := make(chan bool, 1)
	if !k.box.Send(asked{ask, answer}) {
		return false
	}
	select {
	case granted := <-answer:
		return granted
	case <-ctx.Done():
		// Whether it was granted meanwhile is not known here, so it is given back in any case.
		k.Release(ask.Engine, ask.ID, false)
	case <-k.box.Done():
	}
	return false
}

// Release gives a slot back.
func (k *Keeper) Release(engine ident.EngineID, id string, refused bool) {
	k.box.Send(released{engine, id, refused})
}

func (k *Keeper) take(event any) {
	switch e := event.(type) {
	case asked:
		k.waiting[e.ask.ID] = e.answer
		k.tell(k.core.Ask(k.yard(), e.ask))
	case released:
		delete(k.waiting, e.id)
		k.tell(k.core.Release(k.yard(), e.engine, e.id, e.refused))
	}
}

func (k *Keeper) tell(answers []Answer) {
	for _, answer := range answers {
		if waiting := k.waiting[answer.ID]; waiting != nil {
			waiting <- answer.Granted
			delete(k.waiting, answer.ID)
		}
	}
}
