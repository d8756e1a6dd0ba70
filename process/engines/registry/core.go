package registry

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// missedBeats is how many periods without a beat make an engine silent.
	missedHeartbeats = 3.5
	// forgetAfter is how long an engine that can't be used any more is still told of, so that a daemon that was
	// out of touch for a while learns of its end.
	retainUnusableFor = 10 * time.Minute
	// mostEnded bounds those, mostLeft the ids that are known to have left.
	maxUnusable   = 4096
	maxDepartures = 8192
	// mostWanted is how many engines are asked for whole at once.
	maxRequestedRecords = 256
	// coldSlack is by how much the end of an engine's slow start may move before all are told.
	slowStartTolerance = time.Second
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

// want is what is to be had of an engine that another told of in short.
type missingVersion struct {
	callSeq, digest uint64
	claim           ident.FencingToken
	turn            uint64
}

// Difference is what changed at a daemon since a cursor.
type Delta struct {
	Cursor
	// Afresh says that it tells of everything; More, that it goes on in the next.
	FullResync, More bool
	Records          []Record
}

// Contact is how well a control daemon hears what the others hear.
type Connectivity struct {
	// May is false where it is cut off, so that missing beats may well have come elsewhere.
	CanDetectTimeouts bool
	// Horizon is the moment up to which all beats heard by the others are known here.
	Horizon clock.Mark
}

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

// entry is one engine. Its parts carry the number of their last change, so that a peer is sent only what it lacks.
type engineState struct {
	registration Registration
	// worded is false for an engine of which only its leaving is known.
	registered                     bool
	registrationDigest             uint64
	lastHeartbeat, firstSeen       clock.Mark
	draining                       bool
	timedOut, deregistered         bool
	plan                           *Plan
	planDigest                     uint64
	registrationChange, planChange uint64
	// loadAt is when the plan's loads changed last, loadTold the moment when others were told. What came since
	// is held until it is time to tell again. farAt and farTold are the same for those of another zone, and
	// solid is the last change of anything but loads.
	sameZoneLoadChange, otherZoneLoadChange, nonLoadChange uint64
	sameZoneLoadPublished, otherZoneLoadPublished          clock.Mark
	sameZoneLoadPending, otherZoneLoadPending              bool
	// planned says that its plan is of the planner here.
	plannedHere bool
	// changed, beaten and urgent number its last change, that or its last beat here, and the last that must not wait;
	// heardAt its last beat here alone.
	lastChange, lastChangeOrHeartbeat, lastUrgentChange uint64
	lastLocalHeartbeat                                  uint64
	changeElement, heartbeatElement, urgentElement      *list.Element
	// coldTo is the end of its slow start, as all were last told.
	slowStartEnd clock.Mark
}

// departure is what is known of an id that left.
type departure struct {
	deregistered, committed bool
	since                   clock.Mark
}

// Core is what one daemon knows of the engines that register themselves. It decides from what it is told and
// the moments given along alone.
//
// What two daemons know of an engine is joined so that order does not matter: of two words the higher call-seq
// counts, silence holds up to a call-seq, and leaving and being gone never end.
type Core struct {
	incarnation     string
	control         bool
	heartbeatPeriod time.Duration

	// changes counts what happened here; newest is the number of the last change that all are told of.
	// urgent is the newest that must not wait for others.
	// solid is the newest that tells of anything but loads.
	lastChange, latestChange, latestUrgentChange, latestNonLoadChange uint64
	engines                                                           map[ident.EngineID]*engineState
	byAddress                                                         map[string][]ident.EngineID
	// byChange lists the engines by their last change, byBeat by that or their last beat here, byUrgency by the
	// last change that must not wait.
	byChange, byHeartbeat, byUrgentChange *list.List

	departures     map[ident.EngineID]departure
	departureOrder *list.List

	cursors map[string]Cursor
	missing map[string]map[ident.EngineID]missingVersion

	// listening is since when beats could be heard here without a break.
	receivingSince, lastTick clock.Mark

	view  *View
	dirty map[ident.EngineID]bool
}

// NewCore makes the core of one life of a daemon; control says that engines beat to it.
func NewCore(life string, control bool, period time.Duration, now clock.Mark) *Core {
	return &Core{
		incarnation: life, control: control, heartbeatPeriod: period, engines: map[ident.EngineID]*engineState{}, byAddress: map[string][]ident.EngineID{},
		byChange: list.New(), byHeartbeat: list.New(), byUrgentChange: list.New(), departures: map[ident.EngineID]departure{}, departureOrder: list.New(),
		cursors: map[string]Cursor{}, missing: map[string]map[ident.EngineID]missingVersion{}, receivingSince: now, lastTick: now,
		view: &View{Engines: map[ident.EngineID]*Engine{}, Pools: map[string][]*Engine{}}, dirty: map[ident.EngineID]bool{},
	}
}

// Newest numbers the last change that all are told of.
func (c *Core) LatestChange() uint64 { return c.latestChange }

// Urgent numbers the last change that must not wait for others: who came, and who must not be sent to.
func (c *Core) LatestUrgentChange() uint64 { return c.latestUrgentChange }

// Solid numbers the last change that tells of anything but loads.
func (c *Core) LatestNonLoadChange() uint64 { return c.latestNonLoadChange }

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

// entry finds an engine, or makes one of which nothing is known yet.
func (c *Core) findOrCreate(now clock.Mark, id ident.EngineID) *engineState {
	if state := c.engines[id]; state != nil {
		return state
	}
	state := &engineState{registration: Registration{ID: id}, firstSeen: now, lastHeartbeat: now}
	departed, left := c.departures[id]
	state.draining, state.deregistered = left, departed.deregistered
	state.changeElement, state.heartbeatElement, state.urgentElement = c.byChange.PushBack(state), c.byHeartbeat.PushBack(state), c.byUrgentChange.PushBack(state)
	c.engines[id] = state
	c.recordUrgentChange(state)
	return state
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

func (c *Core) reindexAddress(id ident.EngineID, from, to string) {
	if from != "" {
		c.byAddress[from] = slices.DeleteFunc(c.byAddress[from], func(other ident.EngineID) bool { return other == id })
		if len(c.byAddress[from]) == 0 {
			delete(c.byAddress, from)
		}
	}
	if to != "" {
		c.byAddress[to] = append(c.byAddress[to], id)
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

// changedAtOnce numbers a change that all are told of without delay.
func (c *Core) recordUrgentChange(state *engineState) {
	c.recordChange(state)
	state.lastUrgentChange, c.latestUrgentChange = c.lastChange, c.lastChange
	c.byUrgentChange.MoveToBack(state.urgentElement)
}

// changedNow numbers a change that all are told of.
func (c *Core) recordChange(state *engineState) {
	c.assignChangeNumber(state)
	state.nonLoadChange, c.latestNonLoadChange = c.lastChange, c.lastChange
}

// number numbers a change.
func (c *Core) assignChangeNumber(state *engineState) {
	c.lastChange++
	state.lastChange, state.lastChangeOrHeartbeat, c.latestChange = c.lastChange, c.lastChange, c.lastChange
	c.byChange.MoveToBack(state.changeElement)
	c.byHeartbeat.MoveToBack(state.heartbeatElement)
	c.dirty[state.registration.ID] = true
}

// beat numbers a beat heard here, of which only control daemons are told.
func (c *Core) recordLocalHeartbeat(state *engineState) {
	c.lastChange++
	state.lastChangeOrHeartbeat, state.lastLocalHeartbeat = c.lastChange, c.lastChange
	c.byHeartbeat.MoveToBack(state.heartbeatElement)
}

// TellPlan takes the planner's word.
func (c *Core) PublishPlans(now clock.Mark, plans map[ident.EngineID]Plan) {
	for _, id := range slices.Sorted(maps.Keys(plans)) {
		if state := c.engines[id]; state != nil {
			plan := plans[id]
			plan.Received = now
			c.setPlan(now, state, &plan, digestOfPlan(&plan), true)
		}
	}
}

// older says whether a plan is older than another, or the same.
func notNewerThan(claim ident.FencingToken, turn uint64, than *Plan) bool {
	return than != nil && cmp.Or(cmp.Compare(claim, than.Claim), cmp.Compare(turn, than.Sequence)) <= 0
}

// takePlan is the one place where an engine's plan is replaced. first says that it comes from the planner here,
// which bounds how often all are told of loads.
func (c *Core) setPlan(now clock.Mark, state *engineState, plan *Plan, digest uint64, first bool) {
	if state.deregistered || notNewerThan(plan.Claim, plan.Sequence, state.plan) {
		return
	}
	same := state.plan != nil && digest == state.planDigest
	state.plan, state.planDigest, state.plannedHere = plan, digest, first
	state.sameZoneLoadPending, state.otherZoneLoadPending, c.dirty[state.registration.ID] = true, true, true
	if !same {
		c.recordChange(state)
		state.planChange, state.sameZoneLoadChange, state.otherZoneLoadChange, state.sameZoneLoadPublished, state.otherZoneLoadPublished, state.sameZoneLoadPending, state.otherZoneLoadPending = state.lastChange, state.lastChange, state.lastChange, now, now, false, false
		return
	}
	c.publishLoads(now, state, first)
}

// tellLoads has others told of an engine's loads, if it is time. Only the first to hear of them bounds that for
// its own zone; those of other zones hear of them more seldom still, wherever they are asked.
func (c *Core) publishLoads(now clock.Mark, state *engineState, first bool) {
	near := state.sameZoneLoadPending && (!first || now.Since(state.sameZoneLoadPublished) >= c.sameZoneLoadInterval())
	far := state.otherZoneLoadPending && now.Since(state.otherZoneLoadPublished) >= c.otherZoneLoadInterval()
	if !near && !far {
		return
	}
	c.assignChangeNumber(state)
	if near {
		state.sameZoneLoadChange, state.sameZoneLoadPublished, state.sameZoneLoadPending = state.lastChange, now, false
	}
	if far {
		state.otherZoneLoadChange, state.otherZoneLoadPublished, state.otherZoneLoadPending = state.lastChange, now, false
	}
}

// loadEvery is how often those of its zone are told of one engine's loads.
func (c *Core) sameZoneLoadInterval() time.Duration {
	return min(max(500*time.Millisecond, time.Duration(len(c.engines))*1500*time.Microsecond), time.Second)
}

// farEvery is how often those of other zones are: all engines together make so many words a second.
func (c *Core) otherZoneLoadInterval() time.Duration {
	return max(c.sameZoneLoadInterval(), time.Duration(len(c.engines))*6*time.Millisecond)
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

// loadsAt is when those of the engine's zone, or of others, were last told of its loads.
func (e *engineState) loadChange(near bool) uint64 {
	if near {
		return e.sameZoneLoadChange
	}
	return e.otherZoneLoadChange
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

// Judge lets time pass, with engines beating every period: it decides who is silent, where this daemon can know, and forgets whom nobody needs.
func (c *Core) Tick(now clock.Mark, period time.Duration, contact Connectivity) {
	c.heartbeatPeriod = period
	// A daemon that stood still has missed what was said meanwhile.
	if now.Since(c.lastTick) > max(2*c.heartbeatPeriod, time.Second) {
		c.receivingSince = now
	}
	c.lastTick = now
	limit := time.Duration(missedHeartbeats * float64(c.heartbeatPeriod))
	horizon := min(now, contact.Horizon)
	mayJudge := c.control && contact.CanDetectTimeouts && now.Since(c.receivingSince) >= 2*c.heartbeatPeriod
	var ended, quieted, followed, forgotten, loaded []*engineState
	for at := c.byChange.Front(); at != nil; at = at.Next() {
		state := at.Value.(*engineState)
		// What was missed before this daemon listened, or knew the engine, says nothing.
		quiet := horizon.Since(max(state.lastHeartbeat, state.firstSeen, c.receivingSince))
		if mayJudge && state.registered && !state.deregistered && quiet > limit {
			switch {
			case !state.timedOut:
				quieted = append(quieted, state)
			case c.hasSuccessor(state):
				followed = append(followed, state)
			}
		}
		if state.sameZoneLoadPending || state.otherZoneLoadPending {
			loaded = append(loaded, state)
		}
		if state.deregistered || state.timedOut || !state.registered {
			ended = append(ended, state)
			if now.Since(state.lastHeartbeat) > retainUnusableFor {
				forgotten = append(forgotten, state)
			}
		}
	}
	for _, state := range loaded {
		c.publishLoads(now, state, true)
	}
	for _, state := range quieted {
		state.timedOut = true
		c.recordUrgentChange(state)
	}
	for _, state := range followed {
		c.setDraining(now, state, true)
	}
	if len(ended) > maxUnusable {
		slices.SortFunc(ended, func(a, b *engineState) int {
			return cmp.Or(cmp.Compare(a.lastHeartbeat, b.lastHeartbeat), cmp.Compare(a.registration.ID, b.registration.ID))
		})
		forgotten = ended[:len(ended)-maxUnusable]
	}
	for _, state := range forgotten {
		c.remove(state)
	}
}

// followed says whether another engine beats at a silent one's address.
func (c *Core) hasSuccessor(state *engineState) bool {
	return slices.ContainsFunc(c.byAddress[state.registration.Address], func(id ident.EngineID) bool {
		other := c.engines[id]
		return other != state && !other.timedOut && !other.deregistered && other.lastHeartbeat > state.lastHeartbeat
	})
}

func (c *Core) remove(state *engineState) {
	c.reindexAddress(state.registration.ID, state.registration.Address, "")
	c.byChange.Remove(state.changeElement)
	c.byHeartbeat.Remove(state.heartbeatElement)
	c.byUrgentChange.Remove(state.urgentElement)
	delete(c.engines, state.registration.ID)
	c.dirty[state.registration.ID] = true
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

// Changed says whether the view is not what is known now.
func (c *Core) Changed() bool { return len(c.dirty) > 0 }

// View gives all engines as they are now; it is a new one only if something changed since the last.
func (c *Core) View() *View {
	if len(c.dirty) == 0 {
		return c.view
	}
	next := &View{Version: c.view.Version + 1, Engines: maps.Clone(c.view.Engines), Pools: maps.Clone(c.view.Pools)}
	pools := map[string]bool{}
	for id := range c.dirty {
		if before := next.Engines[id]; before != nil {
			pools[before.Pool] = true
			delete(next.Engines, id)
		}
		state := c.engines[id]
		if state == nil || !state.registered {
			// Of an engine that only its leaving is known of there is nothing to show.
			continue
		}
		shown := &Engine{Registration: state.registration, LastHeartbeat: state.lastHeartbeat, TimedOut: state.timedOut, Deregistered: state.deregistered, FirstSeen: state.firstSeen, Plan: state.plan}
		shown.Draining = state.draining
		next.Engines[id] = shown
		pools[shown.Pool] = true
	}
	for pool := range pools {
		delete(next.Pools, pool)
	}
	for _, engine := range next.Engines {
		if pools[engine.Pool] && !engine.Deregistered {
			next.Pools[engine.Pool] = append(next.Pools[engine.Pool], engine)
		}
	}
	for pool := range pools {
		slices.SortFunc(next.Pools[pool], func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	clear(c.dirty)
	c.view = next
	return next
}
