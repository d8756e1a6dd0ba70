package sessionplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Counters count the outcomes of orders under all leases of this daemon.
type Counters struct {
	Orders, Done, Refused, Void, NeverArrived, Failed uint64
}

// Planner is the state of the plan under one lease.
type Planner struct {
	pending  map[ident.EngineID]*PendingOrder
	lastLoad clock.Mark
	loaded   bool
	// loadedSince is when each model was first seen on each engine; requestedAt when each item was last requested.
	loadedSince  map[placement]clock.Mark
	requestedAt  map[item]lastRequest
	blockedUntil map[placement]clock.Mark
	// unplacedSince is since when an item has been requested without any replica.
	unplacedSince map[item]clock.Mark
	// requestedSince is since when an item has been requested without a pause, assignedSince since when a session has been
	// assigned to it.
	requestedSince map[item]clock.Mark
	assignedSince  map[placement]clock.Mark
	// ordered is the call-seq that each engine must report before its reports reflect all orders of this lease, inherited
	// the same for earlier leases; began is when this lease did.
	ordered, inherited map[ident.EngineID]uint64
	began              clock.Mark
	// Unplaced lists what is requested and could not be loaded in the newest step.
	Unplaced []Unplaced
	Counters Counters
}

type placement struct {
	engine         ident.EngineID
	model, adapter string
}

type item struct{ model, adapter string }

// NewPlanner makes the plan of a fresh lease: it has no pending order, and learns what is under way from reports.
func NewPlanner() *Planner {
	return &Planner{pending: map[ident.EngineID]*PendingOrder{}, loadedSince: map[placement]clock.Mark{}, requestedAt: map[item]lastRequest{}, blockedUntil: map[placement]clock.Mark{}, unplacedSince: map[item]clock.Mark{},
		requestedSince: map[item]clock.Mark{}, assignedSince: map[placement]clock.Mark{},
		ordered: map[ident.EngineID]uint64{}, inherited: map[ident.EngineID]uint64{}}
}

const (
	// orderTimeout is how long an answer to an order is waited for.
	orderTimeout = 1500 * time.Millisecond
	// reportLagLimit is how old the state in a report may be; an engine whose order was lost gets no other for that long.
	reportLagLimit = 15 * time.Second
	// minResidence is how long a model stays loaded at least, so that the fleet doesn't flap.
	minResidence = 8 * time.Second
	// demandIdleAfter is for how long a model was not requested before it counts as idle.
	demandIdleAfter = 5 * time.Second
	// rotateAfter is how long a request waits before a model of equal value may be evicted for it, which has then been
	// loaded for rotateMinResidence at least.
	rotateAfter        = 3 * time.Second
	rotateMinResidence = 2 * minResidence
	// failedOrderBackoff is how long a failed or refused order is not retried on that engine.
	failedOrderBackoff = 2 * time.Second
)

// Step resolves the orders that the reports reflect, and gives the orders to send now.
func (p *Planner) Step(in Input) []Directed {
	if in.Table == nil {
		return nil
	}
	p.resolveOrders(in)
	p.forgetInherited(in)
	p.trackHistory(in)
	var orders []Directed
	p.Unplaced = nil
	for _, short := range p.shortages(in) {
		if order, ok := p.nextOrder(in, short); ok {
			orders = append(orders, order)
		} else if standing, _ := p.standing(in, short.item); standing == 0 && !short.idle {
			p.recordUnplaced(in, short)
		}
	}
	return orders
}
