package registry

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// End takes an engine's word to this daemon that it is gone.
func (c *Core) Deregister(now clock.Mark, id ident.EngineID) HeartbeatResult {
	change := c.MarkDraining(now, id, true, false)
	departed := c.departures[id]
	return HeartbeatResult{DrainCommitted: departed.committed, DrainCommittedAt: departed.since, Change: change}
}

// Leave notes that an engine leaves, or is gone; committed, that the group has written it down. It gives the
// number of the engine's newest change.
func (c *Core) MarkDraining(now clock.Mark, id ident.EngineID, gone, committed bool) uint64 {
	known, again := c.departures[id]
	if !again {
		known.since = now
	}
	if committed && !known.committed {
		known.since, known.committed = now, true
	}
	known.deregistered = known.deregistered || gone
	c.recordDeparture(id, known)
	state := c.findOrCreate(now, id)
	c.setDraining(now, state, gone)
	return state.lastChange
}

// Remember notes ids that left so long ago that nobody need be told.
func (c *Core) RecordDepartures(now clock.Mark, ids []ident.EngineID) {
	for _, id := range ids {
		if state := c.engines[id]; state != nil {
			c.MarkDraining(now, id, false, true)
			continue
		}
		c.recordDeparture(id, departure{committed: true, since: now, deregistered: c.departures[id].deregistered})
	}
}

// depart is the one place where an id's departure is written down.
func (c *Core) recordDeparture(id ident.EngineID, known departure) {
	if _, again := c.departures[id]; !again {
		c.departureOrder.PushBack(id)
		for c.departureOrder.Len() > maxDepartures {
			delete(c.departures, c.departureOrder.Remove(c.departureOrder.Front()).(ident.EngineID))
		}
	}
	c.departures[id] = known
}

// leave is the one place where an engine begins to leave, or is gone.
func (c *Core) setDraining(now clock.Mark, state *engineState, gone bool) {
	if state.draining && (state.deregistered || !gone) {
		return
	}
	state.draining, state.deregistered = true, state.deregistered || gone
	if state.deregistered {
		known, again := c.departures[state.registration.ID]
		if !again {
			known.since = now
		}
		known.deregistered = true
		c.recordDeparture(state.registration.ID, known)
		state.plan, state.registration.Models = nil, nil
	}
	c.recordUrgentChange(state)
}
