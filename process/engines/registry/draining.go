package registry

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// maxDepartures bounds the ids of which it is remembered that they drain or are deregistered; the oldest go first.
const maxDepartures = 8192

// Deregister takes an engine's own statement to this daemon that it is gone.
func (c *Core) Deregister(now clock.Mark, id ident.EngineID) HeartbeatResult {
	change := c.MarkDraining(now, id, true, false)
	departed := c.departures[id]
	return HeartbeatResult{DrainCommitted: departed.committed, DrainCommittedAt: departed.since, Change: change}
}

// MarkDraining records that an engine drains, or is deregistered; committed says that the consensus group has committed
// it. It returns the number of the engine's newest change.
func (c *Core) MarkDraining(now clock.Mark, id ident.EngineID, deregistered, committed bool) uint64 {
	departed, known := c.departures[id]
	if !known {
		departed.since = now
	}
	if committed && !departed.committed {
		departed.since, departed.committed = now, true
	}
	departed.deregistered = departed.deregistered || deregistered
	c.recordDeparture(id, departed)
	state := c.findOrCreate(now, id)
	c.setDraining(now, state, deregistered)
	return state.lastChange
}

// RecordDepartures records ids whose draining was committed so long ago that peers need not learn of it from here.
func (c *Core) RecordDepartures(now clock.Mark, ids []ident.EngineID) {
	for _, id := range ids {
		if c.engines[id] != nil {
			c.MarkDraining(now, id, false, true)
			continue
		}
		c.recordDeparture(id, departure{committed: true, since: now, deregistered: c.departures[id].deregistered})
	}
}

// recordDeparture stores an id's departure; nothing else does.
func (c *Core) recordDeparture(id ident.EngineID, departed departure) {
	if _, known := c.departures[id]; !known {
		c.departureOrder.PushBack(id)
		for c.departureOrder.Len() > maxDepartures {
			delete(c.departures, c.departureOrder.Remove(c.departureOrder.Front()).(ident.EngineID))
		}
	}
	c.departures[id] = departed
}

// setDraining makes an engine draining, or deregistered as well.
func (c *Core) setDraining(now clock.Mark, state *engineState, deregistered bool) {
	if state.draining && (state.deregistered || !deregistered) {
		return
	}
	state.draining, state.deregistered = true, state.deregistered || deregistered
	if state.deregistered {
		departed, known := c.departures[state.registration.ID]
		if !known {
			departed.since = now
		}
		departed.deregistered = true
		c.recordDeparture(state.registration.ID, departed)
		state.plan, state.registration.Models = nil, nil
	}
	c.recordUrgentChange(state)
}
