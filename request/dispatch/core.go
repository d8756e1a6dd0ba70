package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/epoch/table"
	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/snowflake"
	"github.com/cresspond/cresspond/request/bid"
	"github.com/cresspond/cresspond/request/budget"
)

// World is what the core may look at during one step.
type World struct {
	Now     clock.Mark
	Table   *table.Table
	Engines *engines.View
	// Ready is empty, or why this daemon takes no new work.
	NotReady string
	Mint     MintFunc
	Zone     ident.ZoneID
	// Fellows says whether seats are shared with other routing daemons.
	ShareSeats bool
	// Lacks is for how long what is asked for is not likely to be loaded anywhere.
	Lacks map[Wanted]time.Duration
	// Permits says that a keeper is asked before each go leaves.
	Permits bool
}

// Wanted is one model, or one adapter of it.
type Wanted struct{ Model, Adapter string }

// Event is what steps the core.
type Event interface{ dispatchEvent() }

// Arrive brings a new request.
type Arrive struct {
	ID      RecordID
	Request Request
}

// Went tells how a go ended.
type Went struct {
	ID      RecordID
	Outcome GoOutcome
	// Reason says why a go was never sent or was refused.
	Reason string
}

// FirstPiece says that a piece is about to go to the caller.
type FirstPiece struct{ ID RecordID }

// CallerGone says that the caller closed its side while the record was waiting.
type CallerGone struct{ ID RecordID }

// SeatTold brings the answer of the session's home.
type SeatTold struct {
	ID      RecordID
	Session string
	Engine  ident.EngineID
}

// Beat is a beat of the clock, or word that engines or the spec changed.
type Beat struct{}

func (Arrive) dispatchEvent()     {}
func (Went) dispatchEvent()       {}
func (FirstPiece) dispatchEvent() {}
func (CallerGone) dispatchEvent() {}
func (SeatTold) dispatchEvent()   {}
func (Beat) dispatchEvent()       {}

// Send tells the actor to start a go.
type Send struct {
	ID      RecordID
	Engine  ident.EngineID
	Address string
	Zone    ident.ZoneID
	// Stamped says that the record was held or retried, so the tenure must still be held as it leaves.
	Stamped  bool
	Deadline clock.Mark
	// The bid, for the engine's keeper.
	Seated bool
	House  string
	Worth  int64
	Rank   int
}

// AskSeat tells the actor to ask the session's home for its seat; Engine is the seat wished for.
type AskSeat struct {
	ID                      RecordID
	Session, Model, Adapter string
	Engine, Replaces        ident.EngineID
}

// Tell tells the caller the final word.
type Tell struct {
	ID      RecordID
	Verdict Verdict
}

// Effects is what a step wants done.
type Effects struct {
	Sends    []Send
	Tells    []Tell
	AskSeats []AskSeat
	// EndSeats lists sessions whose home should forget them.
	EndSeats []string
}

// Counters count what happened.
type Counters struct {
	LetIn, Held, Sent, Whole, CutOff, Lost, RefusedHere, EngineRefusals, Replays, Reseated, CallersLeft, HeldBack, Hopeless uint64
}

type routeKey struct {
	model, adapter string
}

// Core is the state of one routing daemon.
type Core struct {
	records  map[RecordID]*Record
	attempts map[string]RecordID
	past     map[string]pastAttempt
	// pastOrder lists the past attempts from the oldest on, so that the oldest are forgotten first.
	pastOrder []pastAttempt
	seats     map[string]*Seat
	running   map[ident.EngineID]int
	// history is how many ran here on each engine since its newest report was asked for.
	history map[ident.EngineID][]ranSince
	// refusedAt is when an engine last refused, or could not be reached.
	refusedAt map[ident.EngineID]clock.Mark
	prefixes  map[string]ident.EngineID
	turns     bid.Turns
	heldBytes int64
	heldCount int
	heldBy    map[string]int
	Budget    *budget.Budget
	Counters  Counters

	world World
	out   Effects
}

// NewCore makes an empty core.
func NewCore() *Core {
	return &Core{
		records: map[RecordID]*Record{}, attempts: map[string]RecordID{}, past: map[string]pastAttempt{}, seats: map[string]*Seat{},
		running: map[ident.EngineID]int{}, history: map[ident.EngineID][]ranSince{}, refusedAt: map[ident.EngineID]clock.Mark{},
		prefixes: map[string]ident.EngineID{}, turns: bid.Turns{}, heldBy: map[string]int{}, Budget: budget.New(0.1),
	}
}

const (
	mostPast     = 100000
	pastKept     = 10 * time.Minute
	mostPrefixes = 10000
	refusalRest  = 250 * time.Millisecond
	// seatPatience is how long a seat is kept at an engine in doubt; it outlasts the rest of one set aside.
	seatPatience = 4 * time.Second
	// leastLeft is how much time a held record must have left to be sent.
	leastLeft = 150 * time.Millisecond
	// pauseBeforeNext keeps a record that came back from going out again in the same breath.
	pauseBeforeNext = 20 * time.Millisecond
	// longestComeBack bounds what a refused caller is told to wait.
	longestComeBack = 30 * time.Second
	// doubtRest is when to come back with an attempt of which nobody could be asked.
	doubtRest = 2 * time.Second
)

// Step takes one event and runs the passes.
func (c *Core) Step(world World, event Event) Effects {
	c.world, c.out = world, Effects{}
	if world.Table != nil {
		c.Budget.SetShare(world.Table.Spec.Limits.RetryShare)
	}
	switch e := event.(type) {
	case Arrive:
		c.arrive(e)
	case Went:
		c.went(e)
	case FirstPiece:
		if record := c.records[e.ID]; record != nil && record.stage == Going {
			record.move(Streaming)
		}
	case CallerGone:
		if record := c.records[e.ID]; record != nil && (record.stage == Held || record.stage == LetIn) {
			c.Counters.CallersLeft++
			c.end(record)
		}
	case SeatTold:
		if record := c.records[e.ID]; record != nil && !record.seatKnown {
			record.seatKnown, record.seatOf = true, e.Engine
		}
		// The home's word on a seat stands above what was taken here meanwhile.
		if seat := c.seats[e.Session]; seat != nil && e.Engine != "" && seat.Running == 0 {
			seat.Engine = e.Engine
		}
	case Beat:
		c.forget()
	}
	c.passLate()
	c.passHopeless()
	c.passBids()
	return c.out
}

func (c *Core) arrive(e Arrive) {
	request := e.Request
	if c.world.Now >= request.Deadline {
		c.out.Tells = append(c.out.Tells, Tell{e.ID, Verdict{Kind: Refused, Status: 503, Reason: "the deadline has passed"}})
		return
	}
	earlier, known := c.past[request.Attempt]
	if id, inHand := c.attempts[request.Attempt]; inHand {
		earlier, known = pastAttempt{digest: c.records[id].Digest}, true
	}
	if known {
		c.Counters.Replays++
		reason := "this attempt id is known here and is not run again"
		if earlier.digest != request.Digest {
			reason = "this attempt id stands for another request"
		}
		c.out.Tells = append(c.out.Tells, Tell{e.ID, Verdict{Kind: Replay, Status: 409, Reason: reason}})
		return
	}
	record := &Record{ID: e.ID, Request: request, Arrived: c.world.Now}
	c.Counters.LetIn++
	c.records[e.ID] = record
	c.attempts[request.Attempt] = e.ID
	if c.world.NotReady != "" {
		c.refuse(record, 503, c.world.NotReady, time.Second)
		return
	}
	if request.Session == "" || !c.world.ShareSeats {
		record.seatKnown = true
	}
}

// tell ends a record with its last word.
func (c *Core) tell(record *Record, verdict Verdict) {
	c.out.Tells = append(c.out.Tells, Tell{record.ID, verdict})
	c.end(record)
}

// refuse ends a record that never ran; from here on it can't be sent, since an ended record has no way on.
func (c *Core) refuse(record *Record, status int, reason string, comeBack time.Duration) {
	if record.mayHaveRun {
		// An earlier go may have run, so a refusal would be a false promise.
		c.tell(record, Verdict{Kind: Unknown, Status: 502, Reason: record.lastReason})
		return
	}
	c.Counters.RefusedHere++
	c.tell(record, Verdict{Kind: Refused, Status: status, Reason: reason, ComeBack: comeBack})
	// A refused attempt has not run, so its id may be used again.
	delete(c.past, record.Attempt)
}

func (c *Core) end(record *Record) {
	c.unhold(record)
	if seat := c.seats[record.Session]; record.Session != "" && seat != nil {
		seat.Used = c.world.Now
		if record.EndSession && seat.Running == 0 {
			delete(c.seats, record.Session)
			c.out.EndSeats = append(c.out.EndSeats, record.Session)
		}
	}
	record.move(Ended)
	delete(c.records, record.ID)
	delete(c.attempts, record.Attempt)
	c.past[record.Attempt] = pastAttempt{record.Attempt, c.world.Now, record.Digest}
	c.pastOrder = append(c.pastOrder, c.past[record.Attempt])
	if len(c.pastOrder) > mostPast {
		c.forgetOldest()
	}
}

func (c *Core) hold(record *Record) bool {
	limits := c.world.Table.Spec.Limits
	full := c.heldCount >= limits.MostHeld || c.heldBytes+int64(record.Bytes) > limits.MostHeldBytes ||
		record.MostHeld > 0 && c.heldBy[record.Route] >= record.MostHeld
	if full && !c.giveWay(record) {
		c.refuse(record, 429, "too much is held already", c.comeBack())
		return false
	}
	// One stamp for the holding, and one for each go after the first.
	if len(record.Stamps) <= record.Goes {
		stamp, verdict := c.world.Mint()
		// Holding needs a tenure: without a stamp a replay could not be told from a fresh attempt.
		if verdict != snowflake.Minted {
			c.refuse(record, 503, "no worker id is held here, so nothing can be held", time.Second)
			return false
		}
		record.Stamps = append(record.Stamps, stamp)
	}
	record.move(Held)
	c.heldCount++
	c.heldBy[record.Route]++
	c.heldBytes += int64(record.Bytes)
	c.Counters.Held++
	return true
}

// giveWay makes room for a higher bid by refusing the lowest one held, if that one is lower.
func (c *Core) giveWay(record *Record) bool {
	if record.MostHeld > 0 && c.heldBy[record.Route] >= record.MostHeld {
		return false
	}
	var lowest *Record
	for _, held := range c.records {
		if held.stage != Held || held.seatOf != "" || c.seats[held.Session] != nil && held.Session != "" || held.Bytes < record.Bytes {
			continue
		}
		if lowest == nil || held.Worth < lowest.Worth || held.Worth == lowest.Worth && (held.Rank > lowest.Rank || held.Rank == lowest.Rank && held.ID > lowest.ID) {
			lowest = held
		}
	}
	if lowest == nil || lowest.Worth >= record.Worth {
		return false
	}
	c.refuse(lowest, 429, "a higher bid took its place", c.comeBack())
	return true
}

// comeBack says when room is likely: the longer the holding, the later.
func (c *Core) comeBack() time.Duration {
	return time.Second + time.Duration(min(c.heldCount, 500))*20*time.Millisecond
}

func (c *Core) unhold(record *Record) {
	if record.stage != Held {
		return
	}
	c.heldCount--
	c.heldBytes -= int64(record.Bytes)
	if c.heldBy[record.Route]--; c.heldBy[record.Route] == 0 {
		delete(c.heldBy, record.Route)
	}
}

// passLate refuses what waited past its deadline.
func (c *Core) passLate() {
	var late []*Record
	for _, record := range c.records {
		// One with hardly any time left would most likely run and be cut off: its refusal is at least certain.
		least := min(leastLeft, record.Deadline.Since(record.Arrived)/8)
		if record.stage == Held && record.Deadline.Since(c.world.Now) <= least {
			late = append(late, record)
		}
	}
	// A seed replays only if no effect follows a map's order.
	for _, record := range inOrder(late) {
		c.refuse(record, 503, "no room was found before the deadline", c.comeBack())
	}
}

func inOrder(records []*Record) []*Record {
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// passHopeless refuses at once what nothing can serve before its deadline: what it asks for stands nowhere,
// and the plan is not likely to load it in time. Whoever has a seat waits to be reseated.
func (c *Core) passHopeless() {
	if len(c.world.Lacks) == 0 || c.world.Table == nil {
		return
	}
	var hopeless []*Record
	for _, record := range c.records {
		if record.stage == Held && record.seatOf == "" && c.hopeless(record) {
			hopeless = append(hopeless, record)
		}
	}
	for _, record := range inOrder(hopeless) {
		c.refuse(record, 503, "what it asks for is not likely to be loaded before the deadline", c.waitFor(record))
		c.Counters.Hopeless++
	}
}

// waitFor is how long what a record asks for is likely to be lacking.
func (c *Core) waitFor(record *Record) time.Duration {
	return min(longestComeBack, max(time.Second, c.world.Lacks[Wanted{record.Model, ""}], c.world.Lacks[Wanted{record.Model, record.Adapter}]))
}

func (c *Core) hopeless(record *Record) bool {
	left := record.Deadline.Since(c.world.Now)
	if c.world.Lacks[Wanted{record.Model, ""}] <= left && c.world.Lacks[Wanted{record.Model, record.Adapter}] <= left {
		return false
	}
	for _, engine := range c.world.Engines.Engines {
		if c.fit(engine, record) {
			return false
		}
	}
	return true
}

// passBids lets waiting records bid, the highest first, and sends those for whom there is room.
func (c *Core) passBids() {
	if c.world.Table == nil {
		return
	}
	var waiting []*Record
	for _, record := range c.records {
		if record.stage == LetIn || record.stage == Held {
			waiting = append(waiting, record)
		}
	}
	// Among equal bids the house that was served least goes first; its turn is counted as each is sent.
	for len(waiting) > 0 {
		slices.SortFunc(waiting, c.compareBids)
		sentHouse := false
		for place, record := range waiting {
			if c.try(record) {
				waiting = slices.Delete(waiting, place, place+1)
				sentHouse = true
				break
			}
		}
		if !sentHouse {
			break
		}
	}
	for _, record := range waiting {
		if record.stage == LetIn && c.records[record.ID] != nil {
			c.hold(record)
		}
	}
}

// compareBids puts the record that goes first in front.
func (c *Core) compareBids(a, b *Record) int {
	return cmp.Or(c.turns.Compare(c.bidOf(a), c.bidOf(b)), cmp.Compare(a.ID, b.ID))
}

func (c *Core) bidOf(r *Record) bid.Bid {
	seated := r.Session != "" && (c.seats[r.Session] != nil || r.seatOf != "")
	return bid.Bid{Seated: seated, Worth: r.Worth, Rank: r.Rank, House: r.House}
}

// try sends a record if there is room for it now.
func (c *Core) try(record *Record) bool {
	if c.world.Now < record.notBefore {
		return false
	}
	if !c.world.Table.Allows(record.Route, record.Model, record.Adapter) {
		// A newer spec took the route away while the record waited.
		c.refuse(record, 403, "the spec in force no longer allows this", 0)
		return true
	}
	if !c.findSeat(record) {
		return false
	}
	picked, ok := c.pick(record)
	if !ok {
		return false
	}
	if record.needsToken {
		if !c.Budget.Retry(c.world.Now) {
			record.notBefore = c.world.Now + clock.Mark(refusalRest)
			return false
		}
		record.needsToken = false
	}
	c.unhold(record)
	record.move(Going)
	record.Engine = picked.ID
	record.Goes++
	if record.Goes == 1 && !record.counted {
		// A go that was held back and comes again is still the first one.
		record.counted = true
		c.Budget.First()
	}
	c.Counters.Sent++
	c.run(picked.ID, 1)
	c.serveTurn(record.House)
	if record.Session != "" {
		c.takeSeat(record, picked.ID)
	}
	if record.Prefix != "" && len(c.prefixes) < mostPrefixes {
		c.prefixes[record.Model+"\x00"+record.Prefix] = picked.ID
	}
	c.out.Sends = append(c.out.Sends, Send{ID: record.ID, Engine: picked.ID, Address: picked.Address, Zone: picked.Zone,
		Stamped: len(record.Stamps) > 0, Deadline: record.Deadline, Seated: record.seatOf == picked.ID,
		House: record.House, Worth: record.Worth, Rank: record.Rank})
	return true
}

// serveTurn counts a house's turn among those whose records wait.
func (c *Core) serveTurn(house string) {
	c.turns.Serve(house, func(yield func(string) bool) {
		for _, record := range c.records {
			if (record.stage == Held || record.stage == LetIn) && !yield(record.House) {
				return
			}
		}
	})
}

// findSeat makes sure that the session's seat, if it has one anywhere, is known.
func (c *Core) findSeat(record *Record) bool {
	if record.Session == "" {
		return true
	}
	replaces := ident.EngineID("")
	if seat := c.seats[record.Session]; seat != nil && !record.seatAsked {
		record.seatOf = seat.Engine
		known := c.world.Engines.Engines[seat.Engine]
		if !c.world.ShareSeats || known != nil && c.fit(known, record) {
			record.seatKnown = true
			return true
		}
		// The seat is lost; but another daemon may have given the session a new one since, so its home is asked.
		record.seatKnown, replaces = false, seat.Engine
	}
	if !record.seatKnown && !record.seatAsked {
		// The home hears at once which engine would be taken, so that asking and taking are one act.
		if wished, ok := c.pick(record); ok {
			record.seatAsked = true
			c.out.AskSeats = append(c.out.AskSeats, AskSeat{ID: record.ID, Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: wished.ID, Replaces: replaces})
		}
	}
	return record.seatKnown
}

func (c *Core) takeSeat(record *Record, engine ident.EngineID) {
	seat := c.seats[record.Session]
	if seat == nil {
		seat = &Seat{Engine: engine}
		c.seats[record.Session] = seat
	}
	if seat.Engine != engine || record.seatOf != engine {
		replaces := record.seatOf
		if replaces != "" && replaces != engine {
			c.Counters.Reseated++
		}
		seat.Engine = engine
		if c.world.ShareSeats {
			c.out.AskSeats = append(c.out.AskSeats, AskSeat{Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: engine, Replaces: replaces})
		}
	}
	seat.Model, seat.Adapter, seat.Used = record.Model, record.Adapter, c.world.Now
	seat.Running++
}

// fit says whether an engine may be sent this record at all, room aside.
func (c *Core) fit(engine *engines.Engine, record *Record) bool {
	return engine.Usable() && c.world.Table.Open(engine.ID) && engine.Holds(record.Model, record.Adapter)
}

// pick finds the engine: the seat if there is one that may still be used, else the best that fits.
func (c *Core) pick(record *Record) (*engines.Engine, bool) {
	if record.seatOf != "" {
		seated := c.world.Engines.Engines[record.seatOf]
		// A seat is kept even when it means waiting, unless the engine may not or cannot be used any more.
		if seated != nil && c.fit(seated, record) {
			return seated, c.room(seated) > 0
		}
		// An engine in doubt for a moment is not gone: its sessions wait a little before they are seated elsewhere.
		if seated != nil && !seated.Draining && c.world.Table.Open(seated.ID) && seated.Condition != engines.Sound && c.world.Now.Since(seated.Turned) < seatPatience {
			return nil, false
		}
	}
	var best *engines.Engine
	bestScore := 0.0
	othersFit := len(record.failed) > 0 && c.anotherFits(record)
	for _, engine := range c.world.Engines.Engines {
		if !c.fit(engine, record) || othersFit && slices.Contains(record.failed, engine.ID) {
			continue
		}
		room := c.room(engine)
		if room <= 0 {
			continue
		}
		allowedEngine, _ := c.world.Table.Engine(engine.ID)
		// Between engines with room, the one that is less busy as far as reports tell.
		score := (float64(room) - float64(engine.Report.Busy)) / float64(allowedEngine.Slots)
		if record.Prefix != "" && c.prefixes[record.Model+"\x00"+record.Prefix] == engine.ID {
			score += 4
		}
		// Traffic between zones is costly, so the own zone outweighs any difference in room.
		if engine.Zone == c.world.Zone {
			score += 2
		}
		if best == nil || score > bestScore || score == bestScore && engine.ID < best.ID {
			best, bestScore = engine, score
		}
	}
	return best, best != nil
}

// anotherFits says whether any engine that has not failed this record yet could serve it.
func (c *Core) anotherFits(record *Record) bool {
	for _, engine := range c.world.Engines.Engines {
		if !slices.Contains(record.failed, engine.ID) && c.fit(engine, record) {
			return true
		}
	}
	return false
}

// room is how many more goes an engine may get from here now.
func (c *Core) room(engine *engines.Engine) int {
	allowedEngine, ok := c.world.Table.Engine(engine.ID)
	if !ok {
		return 0
	}
	if at, refused := c.refusedAt[engine.ID]; refused && engines.StillRefuses(at, engine.Asked, c.world.Now) {
		return 0
	}
	if !c.world.Permits && engine.Report.Saturated && engine.Asked > 0 && c.running[engine.ID] > 0 {
		return 0
	}
	slots := engine.Capacity(c.world.Now, allowedEngine.Slots)
	own := c.running[engine.ID]
	if c.world.Permits {
		// The engine's keeper counts for all daemons; here only the asking is bounded.
		return slots - own
	}
	// What the report shows beyond what this daemon had running when it was asked is others' work.
	others := max(0, engine.Report.Busy-c.ranAt(engine.ID, engine.Asked))
	return slots - own - others
}

// ranSince is how many ran on an engine from a moment on.
type ranSince struct {
	from  clock.Mark
	count int
}

// run counts a go in or out.
func (c *Core) run(engine ident.EngineID, by int) {
	c.running[engine] += by
	history := append(c.history[engine], ranSince{c.world.Now, c.running[engine]})
	if known := c.world.Engines.Engines[engine]; known != nil {
		// What lies before the last change ahead of the report is never asked for again.
		for len(history) > 1 && history[1].from <= known.Asked {
			history = history[1:]
		}
	}
	c.history[engine] = history
}

// ranAt is how many ran on an engine from here at a moment.
func (c *Core) ranAt(engine ident.EngineID, at clock.Mark) int {
	count := 0
	for _, since := range c.history[engine] {
		if since.from > at {
			break
		}
		count = since.count
	}
	return count
}

func (c *Core) went(e Went) {
	record := c.records[e.ID]
	if record == nil || record.stage != Going && record.stage != Streaming {
		return
	}
	c.leaveEngine(record)
	switch e.Outcome {
	case Whole:
		c.Counters.Whole++
		c.end(record)
	case Cut:
		c.Counters.CutOff++
		c.end(record)
	case CallerLeft:
		c.Counters.CallersLeft++
		c.end(record)
	case KnownElsewhere:
		c.tell(record, Verdict{Kind: Replay, Status: 409, Reason: e.Reason})
	case RefusedElsewhere:
		c.tell(record, Verdict{Kind: Refused, Status: 503, Reason: e.Reason, ComeBack: c.comeBack()})
		delete(c.past, record.Attempt)
	case Doubted:
		c.tell(record, Verdict{Kind: Unknown, Status: 503, Reason: e.Reason, ComeBack: doubtRest})
		// It never ran here, so it may come again.
		delete(c.past, record.Attempt)
	case HeldBack:
		// Nothing went out, so this was no go, and the budget is for goes.
		record.Goes--
		c.Counters.HeldBack++
		c.again(record, true, false, e.Reason)
	case NeverSent, EngineRefused:
		if e.Outcome == EngineRefused {
			c.Counters.EngineRefusals++
		}
		c.refusedAt[record.Engine] = c.world.Now
		// It is proven that the work never ran, so it may go again, within the budget.
		if e.Outcome == NeverSent {
			record.failed = append(record.failed, record.Engine)
		}
		c.again(record, true, true, e.Reason)
	case Lost:
		c.Counters.Lost++
		record.failed = append(record.failed, record.Engine)
		// Only the caller's own word lets a request that may have run go again.
		c.again(record, false, true, e.Reason)
	}
}

// again puts a record whose go failed back among the held, or ends it.
func (c *Core) again(record *Record, neverRan, counts bool, reason string) {
	if !neverRan {
		record.mayHaveRun, record.lastReason = true, reason
	}
	switch {
	case record.mayHaveRun && !record.Repeatable:
		c.refuse(record, 502, reason, 0)
	case c.world.Now >= record.Deadline:
		c.refuse(record, 503, "the deadline has passed", c.comeBack())
	case counts && !c.Budget.Retry(c.world.Now):
		if record.mayHaveRun {
			c.refuse(record, 502, reason, 0)
			return
		}
		// It never ran and its time is not up, so it waits for the budget as it would for a slot.
		record.needsToken = true
		if c.hold(record) {
			record.notBefore = c.world.Now + clock.Mark(refusalRest)
		}
	default:
		if c.hold(record) {
			pause := pauseBeforeNext
			if counts {
				// What failed a moment ago most likely fails again at once.
				pause = refusalRest
			}
			record.notBefore = c.world.Now + clock.Mark(pause)
		}
	}
}

func (c *Core) leaveEngine(record *Record) {
	c.run(record.Engine, -1)
	if seat := c.seats[record.Session]; record.Session != "" && seat != nil && seat.Running > 0 {
		seat.Running--
	}
}

type pastAttempt struct {
	attempt string
	at      clock.Mark
	digest  uint64
}

// forgetOldest drops the oldest past attempt, unless its id was refused and came again since.
func (c *Core) forgetOldest() {
	oldest := c.pastOrder[0]
	c.pastOrder = c.pastOrder[1:]
	if c.past[oldest.attempt] == oldest {
		delete(c.past, oldest.attempt)
	}
}

// forget drops what has been idle for long.
func (c *Core) forget() {
	if c.world.Table == nil {
		return
	}
	idle := c.world.Table.SeatIdle()
	for session, seat := range c.seats {
		if seat.Running == 0 && c.world.Now.Since(seat.Used) > idle {
			delete(c.seats, session)
			c.out.EndSeats = append(c.out.EndSeats, session)
		}
	}
	slices.Sort(c.out.EndSeats)
	for len(c.pastOrder) > 0 && c.world.Now.Since(c.pastOrder[0].at) > pastKept {
		c.forgetOldest()
	}
}

// Demand is what is held and what runs for one model and adapter.
type Demand struct {
	Model, Adapter string
	Worth          int64
	Held, Running  int
}

// Demands lists what the planner should know.
func (c *Core) Demands() []Demand {
	byKey := map[routeKey]*Demand{}
	for _, record := range c.records {
		key := routeKey{record.Model, record.Adapter}
		demand := byKey[key]
		if demand == nil {
			demand = &Demand{Model: record.Model, Adapter: record.Adapter}
			byKey[key] = demand
		}
		demand.Worth = max(demand.Worth, record.Worth)
		if record.stage == Held || record.stage == LetIn {
			demand.Held++
		} else {
			demand.Running++
		}
	}
	out := make([]Demand, 0, len(byKey))
	for _, demand := range byKey {
		out = append(out, *demand)
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// SeatCount is how many sessions sit on one engine with one model and adapter.
type SeatCount struct {
	Engine         ident.EngineID
	Model, Adapter string
	Sessions       int
}

// SeatCounts lists the seats given here.
func (c *Core) SeatCounts() []SeatCount {
	counts := map[SeatCount]int{}
	for _, seat := range c.seats {
		counts[SeatCount{Engine: seat.Engine, Model: seat.Model, Adapter: seat.Adapter}]++
	}
	out := make([]SeatCount, 0, len(counts))
	for key, sessions := range counts {
		key.Sessions = sessions
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b SeatCount) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// Live counts the records that are not ended.
func (c *Core) Live() int { return len(c.records) }

// HeldNow counts the held records.
func (c *Core) HeldNow() int { return c.heldCount }
