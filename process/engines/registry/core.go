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
	missedBeats = 3.5
	// forgetAfter is how long an engine that can't be used any more is still told of, so that a daemon that was
	// out of touch for a while learns of its end.
	forgetAfter = 10 * time.Minute
	// mostEnded bounds those, mostLeft the ids that are known to have left.
	mostEnded = 4096
	mostLeft  = 8192
	// mostWanted is how many engines are asked for whole at once.
	mostWanted = 256
	// coldSlack is by how much the end of an engine's slow start may move before all are told.
	coldSlack = time.Second
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
type want struct {
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
type entry struct {
	word Registration
	// worded is false for an engine of which only its leaving is known.
	worded         bool
	digest         uint64
	heard, known   clock.Mark
	leaving        bool
	silent, gone   bool
	plan           *Plan
	planDigest     uint64
	wordAt, planAt uint64
	// loadAt is when the plan's loads changed last, loadTold the moment when others were told. What came since
	// is held until it is time to tell again. farAt and farTold are the same for those of another zone, and
	// solid is the last change of anything but loads.
	loadAt, farAt, solid uint64
	loadTold, farTold    clock.Mark
	loadHeld, farHeld    bool
	// planned says that its plan is of the planner here.
	planned bool
	// changed, beaten and urgent number its last change, that or its last beat here, and the last that must not wait;
	// heardAt its last beat here alone.
	changed, beaten, urgent     uint64
	heardAt                     uint64
	byChange, byBeat, byUrgency *list.Element
	// coldTo is the end of its slow start, as all were last told.
	coldTo clock.Mark
}

// departure is what is known of an id that left.
type departure struct {
	gone, committed bool
	at              clock.Mark
}

// Core is what one daemon knows of the engines that register themselves. It decides from what it is told and
// the moments given along alone.
//
// What two daemons know of an engine is joined so that order does not matter: of two words the higher call-seq
// counts, silence holds up to a call-seq, and leaving and being gone never end.
type Core struct {
	life    string
	control bool
	period  time.Duration

	// changes counts what happened here; newest is the number of the last change that all are told of.
	// urgent is the newest that must not wait for others.
	// solid is the newest that tells of anything but loads.
	changes, newest, urgent, solid uint64
	entries                        map[ident.EngineID]*entry
	byAddress                      map[string][]ident.EngineID
	// byChange lists the engines by their last change, byBeat by that or their last beat here, byUrgency by the
	// last change that must not wait.
	byChange, byBeat, byUrgency *list.List

	left      map[ident.EngineID]departure
	leftOrder *list.List

	cursors map[string]Cursor
	wants   map[string]map[ident.EngineID]want

	// listening is since when beats could be heard here without a break.
	listening, judged clock.Mark

	view  *View
	dirty map[ident.EngineID]bool
}

// NewCore makes the core of one life of a daemon; control says that engines beat to it.
func NewCore(life string, control bool, period time.Duration, now clock.Mark) *Core {
	return &Core{
		life: life, control: control, period: period, entries: map[ident.EngineID]*entry{}, byAddress: map[string][]ident.EngineID{},
		byChange: list.New(), byBeat: list.New(), byUrgency: list.New(), left: map[ident.EngineID]departure{}, leftOrder: list.New(),
		cursors: map[string]Cursor{}, wants: map[string]map[ident.EngineID]want{}, listening: now, judged: now,
		view: &View{Engines: map[ident.EngineID]*Engine{}, Pools: map[string][]*Engine{}}, dirty: map[ident.EngineID]bool{},
	}
}

// Newest numbers the last change that all are told of.
func (c *Core) LatestChange() uint64 { return c.newest }

// Urgent numbers the last change that must not wait for others: who came, and who must not be sent to.
func (c *Core) LatestUrgentChange() uint64 { return c.urgent }

// Solid numbers the last change that tells of anything but loads.
func (c *Core) LatestNonLoadChange() uint64 { return c.solid }

// Hear takes what an engine says of itself to this daemon.
func (c *Core) ReceiveHeartbeat(now clock.Mark, word Registration) HeartbeatResult {
	word = tidy(word)
	departed, left := c.left[word.ID]
	hearing := HeartbeatResult{DrainCommitted: left && departed.committed, DrainCommittedAt: departed.at}
	if left && departed.gone {
		// An id that is gone never comes back.
		hearing.Stale = true
		return hearing
	}
	e := c.entry(now, word.ID)
	hearing.Stale = e.worded && word.CallSeq <= e.word.CallSeq || c.replaced(e, word.Address)
	if !hearing.Stale {
		c.takeWord(e, word, digestOf(word), now, false)
		c.beat(e)
		c.displace(now, e)
	}
	if word.Draining {
		// Leaving never ends, so even a late word of it counts.
		c.leave(now, e, false)
	}
	hearing.Change = e.changed
	return hearing
}

// replaced says whether an engine was put out of use by one that came after it and beats at its address: what still
// comes of it was sent before, and must not put that one out of use in turn.
func (c *Core) replaced(e *entry, address string) bool {
	return e.silent && slices.ContainsFunc(c.byAddress[address], func(id ident.EngineID) bool {
		other := c.entries[id]
		return other != e && other.known > e.known && !other.silent && !other.gone
	})
}

// End takes an engine's word to this daemon that it is gone.
func (c *Core) Deregister(now clock.Mark, id ident.EngineID) HeartbeatResult {
	change := c.MarkDraining(now, id, true, false)
	departed := c.left[id]
	return HeartbeatResult{DrainCommitted: departed.committed, DrainCommittedAt: departed.at, Change: change}
}

// Leave notes that an engine leaves, or is gone; committed, that the group has written it down. It gives the
// number of the engine's newest change.
func (c *Core) MarkDraining(now clock.Mark, id ident.EngineID, gone, committed bool) uint64 {
	known, again := c.left[id]
	if !again {
		known.at = now
	}
	if committed && !known.committed {
		known.at, known.committed = now, true
	}
	known.gone = known.gone || gone
	c.depart(id, known)
	e := c.entry(now, id)
	c.leave(now, e, gone)
	return e.changed
}

// Remember notes ids that left so long ago that nobody need be told.
func (c *Core) RecordDepartures(now clock.Mark, ids []ident.EngineID) {
	for _, id := range ids {
		if e := c.entries[id]; e != nil {
			c.MarkDraining(now, id, false, true)
			continue
		}
		c.depart(id, departure{committed: true, at: now, gone: c.left[id].gone})
	}
}

// depart is the one place where an id's departure is written down.
func (c *Core) depart(id ident.EngineID, known departure) {
	if _, again := c.left[id]; !again {
		c.leftOrder.PushBack(id)
		for c.leftOrder.Len() > mostLeft {
			delete(c.left, c.leftOrder.Remove(c.leftOrder.Front()).(ident.EngineID))
		}
	}
	c.left[id] = known
}

// leave is the one place where an engine begins to leave, or is gone.
func (c *Core) leave(now clock.Mark, e *entry, gone bool) {
	if e.leaving && (e.gone || !gone) {
		return
	}
	e.leaving, e.gone = true, e.gone || gone
	if e.gone {
		known, again := c.left[e.word.ID]
		if !again {
			known.at = now
		}
		known.gone = true
		c.depart(e.word.ID, known)
		e.plan, e.word.Models = nil, nil
	}
	c.changedAtOnce(e)
}

// entry finds an engine, or makes one of which nothing is known yet.
func (c *Core) entry(now clock.Mark, id ident.EngineID) *entry {
	if e := c.entries[id]; e != nil {
		return e
	}
	e := &entry{word: Registration{ID: id}, known: now, heard: now}
	departed, left := c.left[id]
	e.leaving, e.gone = left, departed.gone
	e.byChange, e.byBeat, e.byUrgency = c.byChange.PushBack(e), c.byBeat.PushBack(e), c.byUrgency.PushBack(e)
	c.entries[id] = e
	c.changedAtOnce(e)
	return e
}

// takeWord is the one place where an engine's word is replaced.
func (c *Core) takeWord(e *entry, word Registration, digest uint64, heard clock.Mark, silent bool) {
	coldTo := heard + clock.Mark(time.Duration(word.SlowStartMs)*time.Millisecond)
	moved := coldTo.Since(e.coldTo)
	fresh := !e.worded || digest != e.digest || max(moved, -moved) > coldSlack && max(coldTo, e.coldTo) > heard
	changes := fresh || silent != e.silent
	// Which models it holds can wait for more news of that kind.
	only := e.worded && silent == e.silent && sameButModels(e.word, word)
	if !e.worded || e.word.Address != word.Address {
		c.moveAddress(e.word.ID, e.word.Address, word.Address)
	}
	if e.gone {
		word.Models = nil
	}
	e.word, e.worded, e.digest, e.heard, e.silent = word, true, digest, heard, silent
	if word.Draining {
		e.leaving = true
	}
	if !changes {
		return
	}
	if only {
		c.changedNow(e)
	} else {
		c.changedAtOnce(e)
	}
	if fresh {
		e.wordAt, e.coldTo = e.changed, coldTo
	}
}

func (c *Core) moveAddress(id ident.EngineID, from, to string) {
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
func (c *Core) displace(now clock.Mark, e *entry) {
	for _, id := range c.byAddress[e.word.Address] {
		if other := c.entries[id]; other != e && !other.silent && !other.gone && other.heard <= now {
			other.silent = true
			c.changedAtOnce(other)
		}
	}
}

// changedAtOnce numbers a change that all are told of without delay.
func (c *Core) changedAtOnce(e *entry) {
	c.changedNow(e)
	e.urgent, c.urgent = c.changes, c.changes
	c.byUrgency.MoveToBack(e.byUrgency)
}

// changedNow numbers a change that all are told of.
func (c *Core) changedNow(e *entry) {
	c.number(e)
	e.solid, c.solid = c.changes, c.changes
}

// number numbers a change.
func (c *Core) number(e *entry) {
	c.changes++
	e.changed, e.beaten, c.newest = c.changes, c.changes, c.changes
	c.byChange.MoveToBack(e.byChange)
	c.byBeat.MoveToBack(e.byBeat)
	c.dirty[e.word.ID] = true
}

// beat numbers a beat heard here, of which only control daemons are told.
func (c *Core) beat(e *entry) {
	c.changes++
	e.beaten, e.heardAt = c.changes, c.changes
	c.byBeat.MoveToBack(e.byBeat)
}

// TellPlan takes the planner's word.
func (c *Core) PublishPlans(now clock.Mark, plans map[ident.EngineID]Plan) {
	for _, id := range slices.Sorted(maps.Keys(plans)) {
		if e := c.entries[id]; e != nil {
			plan := plans[id]
			plan.Received = now
			c.takePlan(now, e, &plan, digestOfPlan(&plan), true)
		}
	}
}

// older says whether a plan is older than another, or the same.
func older(claim ident.FencingToken, turn uint64, than *Plan) bool {
	return than != nil && cmp.Or(cmp.Compare(claim, than.Claim), cmp.Compare(turn, than.Sequence)) <= 0
}

// takePlan is the one place where an engine's plan is replaced. first says that it comes from the planner here,
// which bounds how often all are told of loads.
func (c *Core) takePlan(now clock.Mark, e *entry, plan *Plan, digest uint64, first bool) {
	if e.gone || older(plan.Claim, plan.Sequence, e.plan) {
		return
	}
	same := e.plan != nil && digest == e.planDigest
	e.plan, e.planDigest, e.planned = plan, digest, first
	e.loadHeld, e.farHeld, c.dirty[e.word.ID] = true, true, true
	if !same {
		c.changedNow(e)
		e.planAt, e.loadAt, e.farAt, e.loadTold, e.farTold, e.loadHeld, e.farHeld = e.changed, e.changed, e.changed, now, now, false, false
		return
	}
	c.tellLoads(now, e, first)
}

// tellLoads has others told of an engine's loads, if it is time. Only the first to hear of them bounds that for
// its own zone; those of other zones hear of them more seldom still, wherever they are asked.
func (c *Core) tellLoads(now clock.Mark, e *entry, first bool) {
	near := e.loadHeld && (!first || now.Since(e.loadTold) >= c.loadEvery())
	far := e.farHeld && now.Since(e.farTold) >= c.farEvery()
	if !near && !far {
		return
	}
	c.number(e)
	if near {
		e.loadAt, e.loadTold, e.loadHeld = e.changed, now, false
	}
	if far {
		e.farAt, e.farTold, e.farHeld = e.changed, now, false
	}
}

// loadEvery is how often those of its zone are told of one engine's loads.
func (c *Core) loadEvery() time.Duration {
	return min(max(500*time.Millisecond, time.Duration(len(c.entries))*1500*time.Microsecond), time.Second)
}

// farEvery is how often those of other zones are: all engines together make so many words a second.
func (c *Core) farEvery() time.Duration {
	return max(c.loadEvery(), time.Duration(len(c.entries))*6*time.Millisecond)
}

// Asked is the cursor to ask a peer with, and the engines of which its whole word is wanted.
func (c *Core) NextRequest(peer string) (Cursor, []ident.EngineID) {
	wants := c.wants[peer]
	for id, wanted := range wants {
		// What came from elsewhere meanwhile is wanted no more.
		if e := c.entries[id]; e != nil && e.has(wanted) {
			delete(wants, id)
		}
	}
	asked := slices.Sorted(maps.Keys(wants))
	return c.cursors[peer], asked[:min(len(asked), mostWanted)]
}

func (e *entry) has(wanted want) bool {
	return e.gone || e.worded && (e.word.CallSeq > wanted.callSeq || e.digest == wanted.digest) && (wanted.turn == 0 || older(wanted.claim, wanted.turn, e.plan))
}

// Since gives what changed here since a cursor, at most so many records, and what is wanted besides.
func (c *Core) DeltaSince(question DeltaRequest, most int) Delta {
	out := Delta{Cursor: Cursor{Incarnation: c.life, Seen: c.changes}}
	seen, whole := question.Seen, min(question.Cursor.Complete, question.Seen)
	if question.Incarnation != c.life || seen > c.changes {
		seen, whole, out.FullResync = 0, 0, true
	}
	order, numberOf := c.byChange, func(e *entry) uint64 { return e.changed }
	switch question.Filter {
	case WithHeartbeats:
		order, numberOf = c.byBeat, func(e *entry) uint64 { return e.beaten }
	case UrgentOnly:
		order, numberOf = c.byUrgency, func(e *entry) uint64 { return e.urgent }
	}
	var changed []*entry
	for at := order.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*entry)
		if numberOf(e) <= seen {
			break
		}
		changed = append(changed, e)
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
	short := out.FullResync && question.Incarnation != "" || question.Filter == UrgentOnly
	for _, e := range changed {
		near := question.Zone == "" || e.word.Zone == question.Zone
		if question.Filter == AllChanges && e.solid <= whole && e.loadsAt(near) <= whole {
			continue
		}
		record := e.record(whole, near, short)
		if question.Filter == WithHeartbeats && !e.planned {
			// Control daemons all hear loads from the planner itself; passed on, each would come once from every one.
			if e.solid <= whole && e.heardAt <= whole {
				continue
			}
			if record.PlanExtent == LoadsOnly {
				record.Plan, record.PlanExtent, record.PlanDigest = nil, FullPlan, 0
			}
		}
		out.Records = append(out.Records, record)
	}
	for _, id := range question.FullRecordsOf {
		if e := c.entries[id]; e != nil {
			out.Records = append(out.Records, e.record(0, true, false))
		}
	}
	return out
}

// loadsAt is when those of the engine's zone, or of others, were last told of its loads.
func (e *entry) loadsAt(near bool) uint64 {
	if near {
		return e.loadAt
	}
	return e.farAt
}

// record tells what changed of an engine since a change, to one that is near or not.
func (e *entry) record(since uint64, near, short bool) Record {
	out := Record{ID: e.word.ID, CallSeq: e.word.CallSeq, Digest: e.digest, LastHeartbeat: e.heard, Draining: e.leaving, TimedOut: e.silent, Deregistered: e.gone}
	if !short && e.worded && e.wordAt > since {
		copied := e.word
		out.Registration = &copied
	}
	if e.plan == nil {
		return out
	}
	switch {
	case short:
		out.Plan, out.PlanExtent = e.plan, VersionOnly
	case e.planAt > since:
		out.Plan, out.PlanDigest = e.plan, e.planDigest
	case e.loadsAt(near) > since:
		out.Plan, out.PlanExtent, out.PlanDigest = e.plan, LoadsOnly, e.planDigest
	}
	return out
}

// Learn takes what a peer told; asked are the engines that were wanted of it.
func (c *Core) ApplyDelta(now clock.Mark, peer string, difference Delta, asked []ident.EngineID) {
	if known := c.cursors[peer]; known.Incarnation != difference.Incarnation || known.Seen < difference.Seen || known.Complete < difference.Cursor.Complete {
		c.cursors[peer] = difference.Cursor
	}
	wants := c.wants[peer]
	for _, id := range asked {
		delete(wants, id)
	}
	for _, record := range difference.Records {
		if c.learn(now, record) {
			continue
		}
		if wants == nil {
			wants = map[ident.EngineID]want{}
			c.wants[peer] = wants
		}
		wanted := want{callSeq: record.CallSeq, digest: record.Digest}
		if record.Plan != nil {
			wanted.claim, wanted.turn = record.Plan.Claim, record.Plan.Sequence
		}
		wants[record.ID] = wanted
	}
}

// learn joins a record with what is known; it says false where all that the peer knows is wanted.
func (c *Core) learn(now clock.Mark, r Record) bool {
	e := c.entries[r.ID]
	if e == nil && r.Registration == nil && !r.Draining && !r.Deregistered {
		return false
	}
	if e == nil {
		if r.Deregistered && now.Since(r.LastHeartbeat) > forgetAfter {
			return true
		}
		e = c.entry(now, r.ID)
	}
	lacking := false
	switch {
	case !e.worded && r.Registration == nil:
		// Only of one that leaves nothing else need be known.
		e.heard = min(e.heard, r.LastHeartbeat)
	case !e.worded || r.CallSeq > e.word.CallSeq || r.CallSeq == e.word.CallSeq && r.Digest > e.digest:
		// Two contents under one number are an engine's slip; daemons then agree on one by its digest.
		switch {
		case r.Registration != nil:
			c.takeWord(e, *r.Registration, r.Digest, r.LastHeartbeat, r.TimedOut)
		case r.Digest == e.digest:
			word := e.word
			word.CallSeq = r.CallSeq
			// What was said of a slow start was said at the earlier beat.
			word.SlowStartMs = max(0, e.coldTo.Since(r.LastHeartbeat).Milliseconds())
			c.takeWord(e, word, e.digest, r.LastHeartbeat, r.TimedOut)
		default:
			lacking = true
		}
	case r.CallSeq == e.word.CallSeq:
		// Each way of a word makes it look later than it was, so the earliest is the truest.
		e.heard = min(e.heard, r.LastHeartbeat)
		if r.TimedOut && !e.silent {
			e.silent = true
			c.changedAtOnce(e)
		}
	case r.TimedOut && !e.silent:
		// Whoever took it for silent has not heard the newest beat, and has told others: they hear otherwise now.
		c.changedAtOnce(e)
	}
	if r.Draining || r.Deregistered {
		c.leave(now, e, r.Deregistered)
	}
	return c.learnPlan(now, e, r) && !lacking
}

// learnPlan joins what is told of a plan; it says false where more of it is wanted.
func (c *Core) learnPlan(now clock.Mark, e *entry, r Record) bool {
	if r.Plan == nil || e.gone || older(r.Plan.Claim, r.Plan.Sequence, e.plan) {
		return true
	}
	switch {
	case r.PlanExtent == FullPlan:
		c.takePlan(now, e, r.Plan, r.PlanDigest, false)
	case r.PlanExtent == LoadsOnly && e.plan != nil && r.PlanDigest == e.planDigest:
		next := *e.plan
		next.Claim, next.Sequence, next.Received = r.Plan.Claim, r.Plan.Sequence, r.Plan.Received
		next.Active, next.Queued, next.MemoryUsed, next.Memory = r.Plan.Active, r.Plan.Queued, r.Plan.MemoryUsed, r.Plan.Memory
		c.takePlan(now, e, &next, e.planDigest, false)
	default:
		return false
	}
	return true
}

// Judge lets time pass, with engines beating every period: it decides who is silent, where this daemon can know, and forgets whom nobody needs.
func (c *Core) Tick(now clock.Mark, period time.Duration, contact Connectivity) {
	c.period = period
	// A daemon that stood still has missed what was said meanwhile.
	if now.Since(c.judged) > max(2*c.period, time.Second) {
		c.listening = now
	}
	c.judged = now
	limit := time.Duration(missedBeats * float64(c.period))
	horizon := min(now, contact.Horizon)
	mayJudge := c.control && contact.CanDetectTimeouts && now.Since(c.listening) >= 2*c.period
	var ended, quieted, followed, forgotten, loaded []*entry
	for at := c.byChange.Front(); at != nil; at = at.Next() {
		e := at.Value.(*entry)
		// What was missed before this daemon listened, or knew the engine, says nothing.
		quiet := horizon.Since(max(e.heard, e.known, c.listening))
		if mayJudge && e.worded && !e.gone && quiet > limit {
			switch {
			case !e.silent:
				quieted = append(quieted, e)
			case c.followed(e):
				followed = append(followed, e)
			}
		}
		if e.loadHeld || e.farHeld {
			loaded = append(loaded, e)
		}
		if e.gone || e.silent || !e.worded {
			ended = append(ended, e)
			if now.Since(e.heard) > forgetAfter {
				forgotten = append(forgotten, e)
			}
		}
	}
	for _, e := range loaded {
		c.tellLoads(now, e, true)
	}
	for _, e := range quieted {
		e.silent = true
		c.changedAtOnce(e)
	}
	for _, e := range followed {
		c.leave(now, e, true)
	}
	if len(ended) > mostEnded {
		slices.SortFunc(ended, func(a, b *entry) int { return cmp.Or(cmp.Compare(a.heard, b.heard), cmp.Compare(a.word.ID, b.word.ID)) })
		forgotten = ended[:len(ended)-mostEnded]
	}
	for _, e := range forgotten {
		c.forget(e)
	}
}

// followed says whether another engine beats at a silent one's address.
func (c *Core) followed(e *entry) bool {
	return slices.ContainsFunc(c.byAddress[e.word.Address], func(id ident.EngineID) bool {
		other := c.entries[id]
		return other != e && !other.silent && !other.gone && other.heard > e.heard
	})
}

func (c *Core) forget(e *entry) {
	c.moveAddress(e.word.ID, e.word.Address, "")
	c.byChange.Remove(e.byChange)
	c.byBeat.Remove(e.byBeat)
	c.byUrgency.Remove(e.byUrgency)
	delete(c.entries, e.word.ID)
	c.dirty[e.word.ID] = true
}

// Beat is the newest beat of an engine that is known here, by whichever control daemon heard it.
type LastHeartbeat struct {
	CallSeq  uint64
	Received clock.Mark
}

// Beats gives each engine's newest beat. A view holds older ones, since a beat that brings nothing new changes none.
func (c *Core) LastHeartbeats() map[ident.EngineID]LastHeartbeat {
	out := make(map[ident.EngineID]LastHeartbeat, len(c.entries))
	for id, e := range c.entries {
		out[id] = LastHeartbeat{CallSeq: e.word.CallSeq, Received: e.heard}
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
		e := c.entries[id]
		if e == nil || !e.worded {
			// Of an engine that only its leaving is known of there is nothing to show.
			continue
		}
		shown := &Engine{Registration: e.word, LastHeartbeat: e.heard, TimedOut: e.silent, Deregistered: e.gone, FirstSeen: e.known, Plan: e.plan}
		shown.Draining = e.leaving
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
