package registry

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// want is what is to be had of an engine that another told of in short.
type missingVersion struct {
	callSeq, digest uint64
	claim           ident.FencingToken
	turn            uint64
}

// Asked is the cursor to ask a peer with, and the engines of which its whole word is wanted.
func (c *Core) NextRequest(peer string) (Cursor, []ident.EngineID) {
	wants := c.missing[peer]
	for id, wanted := range wants {
		// What came from elsewhere meanwhile is wanted no more.
		if state := c.engines[id]; state != nil && state.satisfies(wanted) {
			delete(wants, id)
		}
	}
	asked := slices.Sorted(maps.Keys(wants))
	return c.cursors[peer], asked[:min(len(asked), maxRequestedRecords)]
}

func (e *engineState) satisfies(wanted missingVersion) bool {
	return e.deregistered || e.registered && (e.registration.CallSeq > wanted.callSeq || e.registrationDigest == wanted.digest) && (wanted.turn == 0 || notNewerThan(wanted.claim, wanted.turn, e.plan))
}

// Learn takes what a peer told; asked are the engines that were wanted of it.
func (c *Core) ApplyDelta(now clock.Mark, peer string, delta Delta, asked []ident.EngineID) {
	if known := c.cursors[peer]; known.Incarnation != delta.Incarnation || known.Seen < delta.Seen || known.Complete < delta.Cursor.Complete {
		c.cursors[peer] = delta.Cursor
	}
	wants := c.missing[peer]
	for _, id := range asked {
		delete(wants, id)
	}
	for _, record := range delta.Records {
		if c.applyRecord(now, record) {
			continue
		}
		if wants == nil {
			wants = map[ident.EngineID]missingVersion{}
			c.missing[peer] = wants
		}
		wanted := missingVersion{callSeq: record.CallSeq, digest: record.Digest}
		if record.Plan != nil {
			wanted.claim, wanted.turn = record.Plan.Claim, record.Plan.Sequence
		}
		wants[record.ID] = wanted
	}
}

// learn joins a record with what is known; it says false where all that the peer knows is wanted.
func (c *Core) applyRecord(now clock.Mark, r Record) bool {
	state := c.engines[r.ID]
	if state == nil && r.Registration == nil && !r.Draining && !r.Deregistered {
		return false
	}
	if state == nil {
		if r.Deregistered && now.Since(r.LastHeartbeat) > retainUnusableFor {
			return true
		}
		state = c.findOrCreate(now, r.ID)
	}
	lacking := false
	switch {
	case !state.registered && r.Registration == nil:
		// Only of one that leaves nothing else need be known.
		state.lastHeartbeat = min(state.lastHeartbeat, r.LastHeartbeat)
	case !state.registered || r.CallSeq > state.registration.CallSeq || r.CallSeq == state.registration.CallSeq && r.Digest > state.registrationDigest:
		// Two contents under one number are an engine's slip; daemons then agree on one by its digest.
		switch {
		case r.Registration != nil:
			c.setRegistration(state, *r.Registration, r.Digest, r.LastHeartbeat, r.TimedOut)
		case r.Digest == state.registrationDigest:
			registration := state.registration
			registration.CallSeq = r.CallSeq
			// What was said of a slow start was said at the earlier beat.
			registration.SlowStartMs = max(0, state.slowStartEnd.Since(r.LastHeartbeat).Milliseconds())
			c.setRegistration(state, registration, state.registrationDigest, r.LastHeartbeat, r.TimedOut)
		default:
			lacking = true
		}
	case r.CallSeq == state.registration.CallSeq:
		// Each way of a word makes it look later than it was, so the earliest is the truest.
		state.lastHeartbeat = min(state.lastHeartbeat, r.LastHeartbeat)
		if r.TimedOut && !state.timedOut {
			state.timedOut = true
			c.recordUrgentChange(state)
		}
	case r.TimedOut && !state.timedOut:
		// Whoever took it for silent has not heard the newest beat, and has told others: they hear otherwise now.
		c.recordUrgentChange(state)
	}
	if r.Draining || r.Deregistered {
		c.setDraining(now, state, r.Deregistered)
	}
	return c.applyPlan(now, state, r) && !lacking
}

// learnPlan joins what is told of a plan; it says false where more of it is wanted.
func (c *Core) applyPlan(now clock.Mark, state *engineState, r Record) bool {
	if r.Plan == nil || state.deregistered || notNewerThan(r.Plan.Claim, r.Plan.Sequence, state.plan) {
		return true
	}
	switch {
	case r.PlanExtent == FullPlan:
		c.setPlan(now, state, r.Plan, r.PlanDigest, false)
	case r.PlanExtent == LoadsOnly && state.plan != nil && r.PlanDigest == state.planDigest:
		next := *state.plan
		next.Claim, next.Sequence, next.Received = r.Plan.Claim, r.Plan.Sequence, r.Plan.Received
		next.Active, next.Queued, next.MemoryUsed, next.Memory = r.Plan.Active, r.Plan.Queued, r.Plan.MemoryUsed, r.Plan.Memory
		c.setPlan(now, state, &next, state.planDigest, false)
	default:
		return false
	}
	return true
}
