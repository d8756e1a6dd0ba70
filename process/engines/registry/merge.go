package registry

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// maxRequestedRecords bounds how many full records are asked for at once.
const maxRequestedRecords = 256

// missingVersion is what a peer is known to have of an engine, and this daemon has not.
type missingVersion struct {
	callSeq, digest uint64
	claim           ident.FencingToken
	// sequence is zero where the peer has no plan.
	sequence uint64
}

// NextRequest gives the cursor to ask a peer with, and the engines of which its full records are needed.
func (c *Core) NextRequest(peer string) (Cursor, []ident.EngineID) {
	missing := c.missing[peer]
	for id, version := range missing {
		// It may have come from another peer meanwhile.
		if state := c.engines[id]; state != nil && state.has(version) {
			delete(missing, id)
		}
	}
	ids := slices.Sorted(maps.Keys(missing))
	return c.cursors[peer], ids[:min(len(ids), maxRequestedRecords)]
}

// has reports whether an engine's state is at least as new as a version.
func (s *engineState) has(version missingVersion) bool {
	if s.deregistered {
		return true
	}
	return s.hasRegistration(version.callSeq, version.digest) && (version.sequence == 0 || notNewerThan(version.claim, version.sequence, s.plan))
}

// hasRegistration reports whether an engine's registration is at least as new as one with a call-seq and a digest, by the
// order in which registrations replace each other. An equal digest alone is not enough: the same content may have been
// stated by an older heartbeat, and whoever detects timeouts needs the newest.
func (s *engineState) hasRegistration(callSeq, digest uint64) bool {
	if !s.registered || s.registration.CallSeq != callSeq {
		return s.registered && s.registration.CallSeq > callSeq
	}
	return s.registrationDigest >= digest
}

// ApplyDelta merges what a peer sent; requested are the engines whose full records it was asked for.
func (c *Core) ApplyDelta(now clock.Mark, peer string, delta Delta, requested []ident.EngineID) {
	if known := c.cursors[peer]; known.Incarnation != delta.Incarnation || known.Seen < delta.Seen || known.Complete < delta.Cursor.Complete {
		c.cursors[peer] = delta.Cursor
	}
	missing := c.missing[peer]
	for _, id := range requested {
		delete(missing, id)
	}
	for _, record := range delta.Records {
		if c.applyRecord(now, record) {
			continue
		}
		if missing == nil {
			missing = map[ident.EngineID]missingVersion{}
			c.missing[peer] = missing
		}
		version := missingVersion{callSeq: record.CallSeq, digest: record.Digest}
		if record.Plan != nil {
			version.claim, version.sequence = record.Plan.Claim, record.Plan.Sequence
		}
		missing[record.ID] = version
	}
}

// applyRecord merges a record; complete is false where the peer's full record is needed.
func (c *Core) applyRecord(now clock.Mark, record Record) (complete bool) {
	state := c.engines[record.ID]
	if state == nil {
		if record.Registration == nil && !record.Draining && !record.Deregistered {
			return false
		}
		if record.Deregistered && now.Since(record.LastHeartbeat) > retainUnusableFor {
			return true
		}
		state = c.findOrCreate(now, record.ID)
	}
	complete = c.mergeRegistration(state, record)
	if record.Draining || record.Deregistered {
		c.setDraining(now, state, record.Deregistered)
	}
	return c.mergePlan(now, state, record) && complete
}

// mergeRegistration merges the registration and the timeout of a record.
func (c *Core) mergeRegistration(state *engineState, record Record) (complete bool) {
	switch {
	case !state.registered && record.Registration == nil:
		// Of an engine that drains the rest need not be known.
		state.lastHeartbeat = min(state.lastHeartbeat, record.LastHeartbeat)
	case !state.hasRegistration(record.CallSeq, record.Digest):
		return c.mergeNewerRegistration(state, record)
	case record.CallSeq == state.registration.CallSeq:
		// Each hop makes a heartbeat look later than it was, so the earliest time is the closest.
		state.lastHeartbeat = min(state.lastHeartbeat, record.LastHeartbeat)
		if record.TimedOut && !state.timedOut {
			state.timedOut = true
			c.recordUrgentChange(state)
		}
	case record.TimedOut && !state.timedOut:
		// The peer has not got the newest heartbeat, and has passed the timeout on: others get the correction from here.
		c.recordUrgentChange(state)
	}
	return true
}

// mergeNewerRegistration takes a record's registration, or the one known here again if only the heartbeat is new.
func (c *Core) mergeNewerRegistration(state *engineState, record Record) (complete bool) {
	switch {
	case record.Registration != nil:
		c.setRegistration(state, *record.Registration, record.Digest, record.LastHeartbeat, record.TimedOut)
	case record.Digest == state.registrationDigest:
		registration := state.registration
		registration.CallSeq = record.CallSeq
		// The countdown that is known was stated at an earlier heartbeat.
		registration.SlowStartMs = max(0, state.slowStartEnd.Since(record.LastHeartbeat).Milliseconds())
		c.setRegistration(state, registration, state.registrationDigest, record.LastHeartbeat, record.TimedOut)
	default:
		return false
	}
	return true
}

// mergePlan merges a record's plan; complete is false where the full plan is needed.
func (c *Core) mergePlan(now clock.Mark, state *engineState, record Record) (complete bool) {
	if record.Plan == nil || state.deregistered || notNewerThan(record.Plan.Claim, record.Plan.Sequence, state.plan) {
		return true
	}
	switch {
	case record.PlanExtent == FullPlan:
		c.setPlan(now, state, record.Plan, record.PlanDigest, false)
	case record.PlanExtent == LoadsOnly && state.plan != nil && record.PlanDigest == state.planDigest:
		next := *state.plan
		next.Claim, next.Sequence, next.Received = record.Plan.Claim, record.Plan.Sequence, record.Plan.Received
		next.Active, next.Queued = record.Plan.Active, record.Plan.Queued
		next.MemoryUsed, next.Memory = record.Plan.MemoryUsed, record.Plan.Memory
		c.setPlan(now, state, &next, state.planDigest, false)
	default:
		return false
	}
	return true
}
