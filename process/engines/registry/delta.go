package registry

import (
	"container/list"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Cursor is how far a peer's changes were applied.
type Cursor struct {
	// Incarnation tells a restarted peer, which numbers its changes anew.
	Incarnation string
	// Seen is the newest change that a delta reached.
	Seen uint64
	// Complete is the change up to which nothing is missing. A delta that is cut to the limit moves Seen and not Complete:
	// engines that change again meanwhile come later, with all that changed since Complete.
	Complete uint64
}

// Record is what one daemon sends another of an engine.
type Record struct {
	ID      ident.EngineID
	CallSeq uint64
	// Digest covers the registration, so that a heartbeat without new content is sent without it.
	Digest        uint64
	LastHeartbeat clock.Mark
	// Registration is nil where the receiver should have it already.
	Registration                     *Registration
	Draining, TimedOut, Deregistered bool
	// Plan is nil where the receiver should have it already, or there is none. PlanExtent says which of its fields are
	// set, and PlanDigest covers those that are not load figures.
	Plan       *Plan
	PlanExtent PlanExtent
	PlanDigest uint64
}

// PlanExtent is how much of a plan a record holds. Its numbers are on the wire.
type PlanExtent int

const (
	// FullPlan is all of it.
	FullPlan PlanExtent = iota
	// LoadsOnly is its version and the load figures.
	LoadsOnly
	// VersionOnly is only its claim and sequence.
	VersionOnly
)

// ChangeFilter is which changes a peer asks for.
type ChangeFilter int

const (
	// AllChanges is all changes.
	AllChanges ChangeFilter = iota
	// WithHeartbeats is all changes and each heartbeat that the answering daemon received.
	WithHeartbeats
	// UrgentOnly is the engines that came, and those to which nothing may be sent any more. The peer gets the rest from
	// another daemon.
	UrgentOnly
)

// DeltaRequest asks a daemon for what changed there.
type DeltaRequest struct {
	Cursor
	// FullRecordsOf are engines of which the peer needs full records, whether they changed or not.
	FullRecordsOf []ident.EngineID
	Filter        ChangeFilter
	// Zone is the asking daemon's; empty is not stated, and gets the load figures as often as the engine's own zone.
	Zone ident.ZoneID
}

// Delta is what changed at a daemon after a cursor.
type Delta struct {
	Cursor
	// FullResync says that it starts from nothing; More that it was cut to the limit.
	FullResync, More bool
	Records          []Record
}

// DeltaSince gives at most limit records of what changed here after the request's cursor, and the full records asked for.
func (c *Core) DeltaSince(request DeltaRequest, limit int) Delta {
	delta := Delta{Cursor: Cursor{Incarnation: c.incarnation, Seen: c.lastChange}}
	seen, complete := request.Seen, min(request.Cursor.Complete, request.Seen)
	if request.Incarnation != c.incarnation || seen > c.lastChange {
		seen, complete, delta.FullResync = 0, 0, true
	}
	changed, changeNumber := c.changedSince(request.Filter, seen)
	if len(changed) > limit {
		changed = changed[:limit]
		delta.More, delta.Seen = true, changeNumber(changed[limit-1])
	}
	if delta.Cursor.Complete = delta.Seen; delta.More {
		delta.Cursor.Complete = complete
	}
	// A peer that knew another incarnation of this daemon, or gets most from elsewhere, has nearly all of it: it gets
	// abbreviated records, and asks for what it does not have.
	abbreviated := delta.FullResync && request.Incarnation != "" || request.Filter == UrgentOnly
	for _, state := range changed {
		if record, send := state.recordFor(request, complete, abbreviated); send {
			delta.Records = append(delta.Records, record)
		}
	}
	for _, id := range request.FullRecordsOf {
		if state := c.engines[id]; state != nil {
			delta.Records = append(delta.Records, state.recordSince(0, true, false))
		}
	}
	return delta
}

// changedSince lists the engines that changed after a change number, the oldest change first, so that a cut list says how
// far it came. changeNumber gives the number that it is ordered by.
func (c *Core) changedSince(filter ChangeFilter, seen uint64) (changed []*engineState, changeNumber func(*engineState) uint64) {
	var order *list.List
	switch filter {
	case WithHeartbeats:
		order, changeNumber = c.byHeartbeat, func(state *engineState) uint64 { return state.lastChangeOrHeartbeat }
	case UrgentOnly:
		order, changeNumber = c.byUrgentChange, func(state *engineState) uint64 { return state.lastUrgentChange }
	default:
		order, changeNumber = c.byChange, func(state *engineState) uint64 { return state.lastChange }
	}
	for element := order.Back(); element != nil; element = element.Prev() {
		state := element.Value.(*engineState)
		if changeNumber(state) <= seen {
			break
		}
		changed = append(changed, state)
	}
	slices.Reverse(changed)
	return changed, changeNumber
}

// recordFor gives what a peer that has everything up to complete must get of a changed engine; send is false where that
// is nothing.
func (s *engineState) recordFor(request DeltaRequest, complete uint64, abbreviated bool) (record Record, send bool) {
	sameZone := request.Zone == "" || s.registration.Zone == request.Zone
	if request.Filter == AllChanges && s.nonLoadChange <= complete && s.load(sameZone).change <= complete {
		return Record{}, false
	}
	record = s.recordSince(complete, sameZone, abbreviated)
	if request.Filter != WithHeartbeats || s.plannedHere {
		return record, true
	}
	// Control daemons all get load figures from the planner's daemon; passed on, each would come once from every one.
	if s.nonLoadChange <= complete && s.lastLocalHeartbeat <= complete {
		return Record{}, false
	}
	if record.PlanExtent == LoadsOnly {
		record.Plan, record.PlanExtent, record.PlanDigest = nil, FullPlan, 0
	}
	return record, true
}

// recordSince gives an engine's flags, and what changed of its registration and plan after a change number. An
// abbreviated record holds digests and versions only.
func (s *engineState) recordSince(change uint64, sameZone, abbreviated bool) Record {
	record := Record{ID: s.registration.ID, CallSeq: s.registration.CallSeq, Digest: s.registrationDigest, LastHeartbeat: s.lastHeartbeat,
		Draining: s.draining, TimedOut: s.timedOut, Deregistered: s.deregistered}
	if !abbreviated && s.registered && s.registrationChange > change {
		registration := s.registration
		record.Registration = &registration
	}
	if s.plan == nil {
		return record
	}
	switch {
	case abbreviated:
		record.Plan, record.PlanExtent = s.plan, VersionOnly
	case s.planChange > change:
		record.Plan, record.PlanDigest = s.plan, s.planDigest
	case s.load(sameZone).change > change:
		record.Plan, record.PlanExtent, record.PlanDigest = s.plan, LoadsOnly, s.planDigest
	}
	return record
}
