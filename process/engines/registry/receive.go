package registry

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Hearing is what became of a word.
type HeartbeatResult struct {
	// Late words were heard before, or came after a newer one.
	Stale bool
	// Left says that the group has written down that the engine leaves, and LeftAt since when that is known here.
	DrainCommitted   bool
	DrainCommittedAt clock.Mark
	// Change numbers the newest change of the engine here.
	Change uint64
}

// Hear takes what an engine says of itself to this daemon.
func (c *Core) ReceiveHeartbeat(now clock.Mark, registration Registration) HeartbeatResult {
	registration = normalize(registration)
	departed, left := c.departures[registration.ID]
	result := HeartbeatResult{DrainCommitted: left && departed.committed, DrainCommittedAt: departed.since}
	if left && departed.deregistered {
		// An id that is gone never comes back.
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
		// Leaving never ends, so even a late word of it counts.
		c.setDraining(now, state, false)
	}
	result.Change = state.lastChange
	return result
}

// replaced says whether an engine was put out of use by one that came after it and beats at its address: what still
// comes of it was sent before, and must not put that one out of use in turn.
func (c *Core) isSuperseded(state *engineState, address string) bool {
	return state.timedOut && slices.ContainsFunc(c.byAddress[address], func(id ident.EngineID) bool {
		other := c.engines[id]
		return other != state && other.firstSeen > state.firstSeen && !other.timedOut && !other.deregistered
	})
}

// takeWord is the one place where an engine's word is replaced.
func (c *Core) setRegistration(state *engineState, registration Registration, digest uint64, heard clock.Mark, silent bool) {
	coldTo := heard + clock.Mark(time.Duration(registration.SlowStartMs)*time.Millisecond)
	moved := coldTo.Since(state.slowStartEnd)
	fresh := !state.registered || digest != state.registrationDigest || max(moved, -moved) > slowStartTolerance && max(coldTo, state.slowStartEnd) > heard
	changes := fresh || silent != state.timedOut
	// Which models it holds can wait for more news of that kind.
	only := state.registered && silent == state.timedOut && equalExceptModels(state.registration, registration)
	if !state.registered || state.registration.Address != registration.Address {
		c.reindexAddress(state.registration.ID, state.registration.Address, registration.Address)
	}
	if state.deregistered {
		registration.Models = nil
	}
	state.registration, state.registered, state.registrationDigest, state.lastHeartbeat, state.timedOut = registration, true, digest, heard, silent
	if registration.Draining {
		state.draining = true
	}
	if !changes {
		return
	}
	if only {
		c.recordChange(state)
	} else {
		c.recordUrgentChange(state)
	}
	if fresh {
		state.registrationChange, state.slowStartEnd = state.lastChange, coldTo
	}
}

// displace puts out of use whoever was at an address before. It is silence and not an end, because a late word
// read from a frozen machine's buffers must not end the engine that is there now; that follows in Judge.
func (c *Core) timeOutPredecessors(now clock.Mark, state *engineState) {
	for _, id := range c.byAddress[state.registration.Address] {
		if other := c.engines[id]; other != state && !other.timedOut && !other.deregistered && other.lastHeartbeat <= now {
			other.timedOut = true
			c.recordUrgentChange(other)
		}
	}
}

// Beat is the newest beat of an engine that is known here, by whichever control daemon heard it.
type LastHeartbeat struct {
	CallSeq  uint64
	Received clock.Mark
}

// Beats gives each engine's newest beat. A view holds older ones, since a beat that brings nothing new changes none.
func (c *Core) LastHeartbeats() map[ident.EngineID]LastHeartbeat {
	out := make(map[ident.EngineID]LastHeartbeat, len(c.engines))
	for id, state := range c.engines {
		out[id] = LastHeartbeat{CallSeq: state.registration.CallSeq, Received: state.lastHeartbeat}
	}
	return out
}
