package sessionplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Counters count the fates of orders under all claims of this daemon.
type Counters struct {
	Orders, Done, Refused, Void, NeverArrived, Failed uint64
}

// Planner is the state of the plan under one claim.
type Planner struct {
	inFlight map[ident.EngineID]*OrderInFlight
	lastLoad clock.Mark
	loaded   bool
	// since is when each model was first seen on each engine; requestedAt when each was last asked for.
	since        map[placed]clock.Mark
	requestedAt  map[item]lastRequest
	blockedUntil map[placed]clock.Mark
	// lackingSince is since when something has been asked for that stands nowhere.
	lackingSince map[item]clock.Mark
	// requestedSince is since when something has been asked for without a quiet spell, assignedSince since when
	// a session has been assigned to it.
	requestedSince map[item]clock.Mark
	assignedSince  map[placed]clock.Mark
	// ordered is the call-seq each engine must show before its reports tell of all that this claim ordered,
	// inherited the same of the claims before, began when this claim did.
	ordered, inherited map[ident.EngineID]uint64
	began              clock.Mark
	// Lacks lists what is asked for and could not be served in the newest step.
	Lacks    []Lack
	Counters Counters
}

type placed struct {
	engine         ident.EngineID
	model, adapter string
}

type item struct{ model, adapter string }

// NewPlanner makes the plan of a fresh claim: it knows of no order, and reads what is under way from reports.
func NewPlanner() *Planner {
	return &Planner{inFlight: map[ident.EngineID]*OrderInFlight{}, since: map[placed]clock.Mark{}, requestedAt: map[item]lastRequest{}, blockedUntil: map[placed]clock.Mark{}, lackingSince: map[item]clock.Mark{},
		requestedSince: map[item]clock.Mark{}, assignedSince: map[placed]clock.Mark{},
		ordered: map[ident.EngineID]uint64{}, inherited: map[ident.EngineID]uint64{}}
}

const (
	// orderLimit is how long an order's answer is waited for.
	orderLimit = 1500 * time.Millisecond
	// reportLagLimit is how far behind the truth a report may be; an engine whose order was lost gets no other for that long.
	reportLagLimit = 15 * time.Second
	// minStay is how long a model stays at least once it was loaded, so that the fleet doesn't flap.
	minStay = 8 * time.Second
	// quietFor is how long nobody has asked for a model before it counts as not wanted.
	quietFor = 5 * time.Second
	// turnAfter is how long a bid waits before it may take the room of an equal one, which has then stayed turnStay at least.
	turnAfter = 3 * time.Second
	turnStay  = 2 * minStay
	// failedRest is how long a failed or refused order is not tried again on that engine.
	failedRest = 2 * time.Second
)

// Step settles what the reports show, and gives the orders to send now.
func (p *Planner) Step(in Input) []Directed {
	if in.Table == nil {
		return nil
	}
	p.settle(in)
	p.forgetInherited(in)
	p.remember(in)
	var orders []Directed
	p.Lacks = nil
	for _, short := range p.shortages(in) {
		if order, ok := p.serve(in, short); ok {
			orders = append(orders, order)
		} else if standing, _ := p.standing(in, short.item); standing == 0 && !short.idle {
			p.lack(in, short)
		}
	}
	return orders
}
