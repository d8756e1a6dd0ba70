// Package placement decides which engine holds which model and adapter, and orders it. The plan is
// a pure step over the spec, the demand, the seats and the engines' reports; the actor beside it
// holds the claim, stamps the orders and sends them.
package placement

import (
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
)

// Counters count what happened.
type Counters struct {
	Orders, Done, Refused, Void, NeverArrived, Failed uint64
}

// Planner is the state of the plan under one claim.
type Planner struct {
	inFlight map[ident.EngineID]*InFlight
	lastLoad clock.Mark
	loaded   bool
	// since is when each model was first seen on each engine; wantedAt when each was last asked for.
	since    map[place]clock.Mark
	wantedAt map[want]wish
	restful  map[place]clock.Mark
	// lackSince is since when something has been asked for that stands nowhere.
	lackSince map[want]clock.Mark
	// wantedSince is since when something has been asked for without a quiet spell, seatedSince since when
	// somebody has sat on it.
	wantedSince map[want]clock.Mark
	seatedSince map[place]clock.Mark
	// ordered is the call-seq each engine must show before its reports tell of all that this claim ordered,
	// inherited the same of the claims before, began when this claim did.
	ordered, inherited map[ident.EngineID]uint64
	began              clock.Mark
	// Lacks lists what is asked for and could not be served in the newest step.
	Lacks    []Lack
	Counters Counters
}

type place struct {
	engine         ident.EngineID
	model, adapter string
}

type want struct{ model, adapter string }

// NewPlanner makes the plan of a fresh claim: it knows of no order, and reads what is under way from reports.
func NewPlanner() *Planner {
	return &Planner{inFlight: map[ident.EngineID]*InFlight{}, since: map[place]clock.Mark{}, wantedAt: map[want]wish{}, restful: map[place]clock.Mark{}, lackSince: map[want]clock.Mark{},
		wantedSince: map[want]clock.Mark{}, seatedSince: map[place]clock.Mark{},
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
	p.meet(in)
	p.remember(in)
	var orders []Directed
	p.Lacks = nil
	for _, wanted := range p.wants(in) {
		if order, ok := p.serve(in, wanted); ok {
			orders = append(orders, order)
		} else if standing, _ := p.standing(in, wanted.want); standing == 0 && !wanted.idle {
			p.lack(in, wanted)
		}
	}
	return orders
}
