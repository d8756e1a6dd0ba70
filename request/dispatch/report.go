package dispatch

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/process/ident"
)

// Counters count what happened.
type Counters struct {
	LetIn, Held, Sent, Whole, CutOff, Lost, RefusedHere, EngineRefusals, Replays, Reseated, CallersLeft, HeldBack, Hopeless uint64
}

// Demand is what is held and what runs for one model and adapter.
type Demand struct {
	Model, Adapter string
	Worth          int64
	Held, Running  int
}

// Demands lists what the planner should know.
func (c *Core) Demands() []Demand {
	byKey := map[routeKey]*Demand{}
	for _, record := range c.records {
		key := routeKey{record.Model, record.Adapter}
		demand := byKey[key]
		if demand == nil {
			demand = &Demand{Model: record.Model, Adapter: record.Adapter}
			byKey[key] = demand
		}
		demand.Worth = max(demand.Worth, record.Worth)
		if record.stage == Held || record.stage == LetIn {
			demand.Held++
		} else {
			demand.Running++
		}
	}
	out := make([]Demand, 0, len(byKey))
	for _, demand := range byKey {
		out = append(out, *demand)
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// SeatCount is how many sessions sit on one engine with one model and adapter.
type SeatCount struct {
	Engine         ident.EngineID
	Model, Adapter string
	Sessions       int
}

// SeatCounts lists the seats given here.
func (c *Core) SeatCounts() []SeatCount {
	counts := map[SeatCount]int{}
	for _, seat := range c.seats {
		counts[SeatCount{Engine: seat.Engine, Model: seat.Model, Adapter: seat.Adapter}]++
	}
	out := make([]SeatCount, 0, len(counts))
	for key, sessions := range counts {
		key.Sessions = sessions
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b SeatCount) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// Live counts the records that are not ended.
func (c *Core) Live() int { return len(c.records) }

// HeldNow counts the held records.
func (c *Core) HeldNow() int { return c.heldCount }
