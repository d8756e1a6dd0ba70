package registry

import (
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Cursor is how much of a peer's changes has been seen.
type Cursor struct {
	// Life tells one life of a peer from the next, which counts its changes anew.
	Incarnation string
	Seen        uint64
	// Whole is the change up to which nothing is lacking. Between it and Seen, what changed again is told later,
	// so while a long difference is under way Whole stays behind.
	Complete uint64
}

// Record is what one daemon tells another of an engine.
type Record struct {
	ID      ident.EngineID
	CallSeq uint64
	// Digest stands for the newest word's content, so that a beat that brings nothing new needs no words.
	Digest        uint64
	LastHeartbeat clock.Mark
	// Word is nil where the hearer has it already.
	Registration                     *Registration
	Draining, TimedOut, Deregistered bool
	// Plan is nil where the hearer has it already, or there is none; Part says how much of it is told, and
	// PlanDigest stands for the rest.
	Plan       *Plan
	PlanExtent PlanExtent
	PlanDigest uint64
}

// PlanPart is how much of a plan is told.
type PlanExtent int

const (
	// WholePlan tells all of it.
	FullPlan PlanExtent = iota
	// LoadsOnly leaves out what the engine holds, and what comes and goes.
	LoadsOnly
	// HeadOnly tells only which plan it is.
	VersionOnly
)

// Kind is which changes are asked for.
type ChangeFilter int

const (
	// Everything is all changes.
	AllChanges ChangeFilter = iota
	// WithBeats is every beat as well.
	WithHeartbeats
	// UrgentOnly is who came, and who must not be sent to; the rest is heard from another peer.
	UrgentOnly
)

// Question is what a peer asks.
type DeltaRequest struct {
	Cursor
	FullRecordsOf []ident.EngineID
	Filter        ChangeFilter
	// Zone is where the asker stands; empty is not told.
	Zone ident.ZoneID
}

// Difference is what changed at a daemon since a cursor.
type Delta struct {
	Cursor
	// Afresh says that it tells of everything; More, that it goes on in the next.
	FullResync, More bool
	Records          []Record
}

// Since gives what changed here since a cursor, at most so many records, and what is wanted besides.
func (c *Core) DeltaSince(request DeltaRequest, most int) Delta {
	out := Delta{Cursor: Cursor{Incarnation: c.incarnation, Seen: c.lastChange}}
	seen, whole := request.Seen, min(request.Cursor.Complete, request.Seen)
	if request.Incarnation != c.incarnation || seen > c.lastChange {
		seen, whole, out.FullResync = 0, 0, true
	}
	order, numberOf := c.byChange, func(state *engineState) uint64 { return state.lastChange }
	switch request.Filter {
	case WithHeartbeats:
		order, numberOf = c.byHeartbeat, func(state *engineState) uint64 { return state.lastChangeOrHeartbeat }
	case UrgentOnly:
		order, numberOf = c.byUrgentChange, func(state *engineState) uint64 { return state.lastUrgentChange }
	}
	var changed []*engineState
	for at := order.Back(); at != nil; at = at.Prev() {
		state := at.Value.(*engineState)
		if numberOf(state) <= seen {
			break
		}
		changed = append(changed, state)
	}
	// The oldest go first, so that the cursor can tell how far it came.
	slices.Reverse(changed)
	if len(changed) > most {
		changed = changed[:most]
		out.More, out.Seen = true, numberOf(changed[most-1])
	}
	if out.Cursor.Complete = out.Seen; out.More {
		out.Cursor.Complete = whole
	}
	// An asker that knew another life of this daemon, or hears most from elsewhere, has nearly all of it: it is
	// told in short what there is, and asks for what it lacks.
	short := out.FullResync && request.Incarnation != "" || request.Filter == UrgentOnly
	for _, state := range changed {
		near := request.Zone == "" || state.registration.Zone == request.Zone
		if request.Filter == AllChanges && state.nonLoadChange <= whole && state.loadChange(near) <= whole {
			continue
		}
		record := state.recordSince(whole, near, short)
		if request.Filter == WithHeartbeats && !state.plannedHere {
			// Control daemons all hear loads from the planner itself; passed on, each would come once from every one.
			if state.nonLoadChange <= whole && state.lastLocalHeartbeat <= whole {
				continue
			}
			if record.PlanExtent == LoadsOnly {
				record.Plan, record.PlanExtent, record.PlanDigest = nil, FullPlan, 0
			}
		}
		out.Records = append(out.Records, record)
	}
	for _, id := range request.FullRecordsOf {
		if state := c.engines[id]; state != nil {
			out.Records = append(out.Records, state.recordSince(0, true, false))
		}
	}
	return out
}

// record tells what changed of an engine since a change, to one that is near or not.
func (e *engineState) recordSince(since uint64, near, short bool) Record {
	out := Record{ID: e.registration.ID, CallSeq: e.registration.CallSeq, Digest: e.registrationDigest, LastHeartbeat: e.lastHeartbeat, Draining: e.draining, TimedOut: e.timedOut, Deregistered: e.deregistered}
	if !short && e.registered && e.registrationChange > since {
		copied := e.registration
		out.Registration = &copied
	}
	if e.plan == nil {
		return out
	}
	switch {
	case short:
		out.Plan, out.PlanExtent = e.plan, VersionOnly
	case e.planChange > since:
		out.Plan, out.PlanDigest = e.plan, e.planDigest
	case e.loadChange(near) > since:
		out.Plan, out.PlanExtent, out.PlanDigest = e.plan, LoadsOnly, e.planDigest
	}
	return out
}
