package registry

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// slowStartTolerance is by how much the end of an engine's slow start may move before it is published again.
const slowStartTolerance = time.Second

// HeartbeatResult says what an engine's call did.
type HeartbeatResult struct {
	// Stale heartbeats were received before, came after a newer one, or are of an engine that has a successor; they change
	// nothing but draining.
	Stale bool
	// DrainCommitted says that the consensus group has committed that the engine drains, DrainCommittedAt since when
	// this daemon knows it.
	DrainCommitted   bool
	DrainCommittedAt clock.Mark
	// Change is the number of the engine's newest change here.
	Change uint64
}

// ReceiveHeartbeat takes a heartbeat that an engine sent to this daemon.
func (c *Core) ReceiveHeartbeat(now clock.Mark, registration Registration) HeartbeatResult {
	registration = normalize(registration)
	departed, known := c.departures[registration.ID]
	result := HeartbeatResult{DrainCommitted: known && departed.committed, DrainCommittedAt: departed.since}
	if known && departed.deregistered {
		result.Stale = true
		return result
	}
	state := c.findOrCreate(now, registration.ID)
	result.Stale = state.registered && registration.CallSeq <= state.registration.CallSeq || c.isSuperseded(state, registration.Address)
	if !result.Stale {
		c.setRegistration(state, registration, digestOfRegistration(registration), now, false)
		c.recordLocalHeartbeat(state)
		c.timeOutPredecessors(now, state)
	}
	if registration.Draining {
		// Draining is never taken back, so even a stale heartbeat that states it counts.
		c.setDraining(now, state, false)
	}
	result.Change = state.lastChange
	return result
}

// isSuperseded reports whether an engine was timed out by a successor that is in use at its address. A heartbeat of it
// that comes afterwards was sent before, and must not time out the successor in turn.
func (c *Core) isSuperseded(state *engineState, address string) bool {
	return state.timedOut && slices.ContainsFunc(c.byAddress[address], func(id ident.EngineID) bool {
		other := c.engines[id]
		return other != state && other.firstSeen > state.firstSeen && !other.timedOut && !other.deregistered
	})
}

// setRegistration replaces an engine's registration; nothing else does. received is when its heartbeat came, and timedOut
// whether it is known to have been the last before a timeout.
func (c *Core) setRegistration(state *engineState, registration Registration, digest uint64, received clock.Mark, timedOut bool) {
	slowStartEnd := received + clock.Mark(time.Duration(registration.SlowStartMs)*time.Millisecond)
	moved := slowStartEnd.Since(state.slowStartEnd)
	slowStartMoved := max(moved, -moved) > slowStartTolerance && max(slowStartEnd, state.slowStartEnd) > received
	contentChanged := !state.registered || digest != state.registrationDigest || slowStartMoved
	changed := contentChanged || timedOut != state.timedOut
	// Which models are loaded is not urgent: it changes nothing in whether an engine may be used.
	onlyModels := state.registered && timedOut == state.timedOut && equalExceptModels(state.registration, registration)
	if !state.registered || state.registration.Address != registration.Address {
		c.reindexAddress(state.registration.ID, state.registration.Address, registration.Address)
	}
	if state.deregistered {
		registration.Models = nil
	}
	state.registration, state.registered, state.registrationDigest = registration, true, digest
	state.lastHeartbeat, state.timedOut = received, timedOut
	if registration.Draining {
		state.draining = true
	}
	if !changed {
		return
	}
	if onlyModels {
		c.recordChange(state)
	} else {
		c.recordUrgentChange(state)
	}
	if contentChanged {
		state.registrationChange, state.slowStartEnd = state.lastChange, slowStartEnd
	}
}

// timeOutPredecessors times out the engines that were at an engine's address before it. They are not deregistered yet: a
// heartbeat delayed in a frozen machine's buffers must not remove the engine that is there now. [Core.Tick] follows up.
func (c *Core) timeOutPredecessors(now clock.Mark, state *engineState) {
	for _, id := range c.byAddress[state.registration.Address] {
		if other := c.engines[id]; other != state && !other.timedOut && !other.deregistered && other.lastHeartbeat <= now {
			other.timedOut = true
			c.recordUrgentChange(other)
		}
	}
}

// LastHeartbeat is the newest heartbeat of an engine that is known here, whichever control daemon received it.
type LastHeartbeat struct {
	CallSeq  uint64
	Received clock.Mark
}

// LastHeartbeats gives each engine's newest heartbeat. A view holds older ones, since a heartbeat without new content
// makes no new view.
func (c *Core) LastHeartbeats() map[ident.EngineID]LastHeartbeat {
	out := make(map[ident.EngineID]LastHeartbeat, len(c.engines))
	for id, state := range c.engines {
		out[id] = LastHeartbeat{CallSeq: state.registration.CallSeq, Received: state.lastHeartbeat}
	}
	return out
}
