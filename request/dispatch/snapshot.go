package dispatch

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// Counters count events since the start of the actor.
type Counters struct {
	Admitted, Queued, Sent, Completed, BrokenOff, Lost, RefusedHere, EngineRefusals, Replays, Reassigned, ClientsDisconnected, Withdrawn, Unplaceable uint64
}

// Demand is how many requests are queued and running for one model and adapter.
type Demand struct {
	Model, Adapter  string
	Value           int64
	Queued, Running int
}

// Demands lists the demand for the planner, in a fixed order.
func (c *Core) Demands() []Demand {
	byKey := map[routeKey]*Demand{}
	for _, record := range c.records {
		key := routeKey{record.Model, record.Adapter}
		demand := byKey[key]
		if demand == nil {
			demand = &Demand{Model: record.Model, Adapter: record.Adapter}
			byKey[key] = demand
		}
		demand.Value = max(demand.Value, record.Value)
		if record.stage == Queued || record.stage == Admitted {
			demand.Queued++
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

// AssignmentCount is how many sessions are assigned to one engine with one model and adapter.
type AssignmentCount struct {
	Engine         ident.EngineID
	Model, Adapter string
	Sessions       int
}

// AssignmentCounts lists the assignments known here.
func (c *Core) AssignmentCounts() []AssignmentCount {
	counts := map[AssignmentCount]int{}
	for _, assignment := range c.assignments {
		counts[AssignmentCount{Engine: assignment.Engine, Model: assignment.Model, Adapter: assignment.Adapter}]++
	}
	out := make([]AssignmentCount, 0, len(counts))
	for key, sessions := range counts {
		key.Sessions = sessions
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b AssignmentCount) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// Live counts the records that are not ended.
func (c *Core) Live() int { return len(c.records) }

// QueueLength counts the queued records.
func (c *Core) QueueLength() int { return c.queuedCount }
