package forwarding

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// World is what the passes may look at; it is gathered anew for each event.
type World struct {
	Now clock.Mark
	// Index is the table in force; Current says that it is known to be new enough.
	Index   *upstream.Index
	Current bool
	View    *registry.View
	Zone    ident.ZoneID
	// Edges is how many daemons route, this one included.
	Edges int
	// Leased says whether a worker id is held, Mint mints under it.
	Leased bool
	Mint   func() (ident.SnowflakeID, bool)
	// Open says whether operators let new requests go to an engine: neither it nor its zone is closed. Nil is yes.
	Open func(*registry.Engine) bool
	// Emptied says that an engine is shut because its node is sick, so that what can go on elsewhere does. Nil is never.
	Emptied func(*registry.Engine) bool
	// Warm says whether a connection to an engine is kept that an attempt of a pool could use. Nil is never.
	Warm func(engine *registry.Engine, pool string, careful bool) bool
	// Lacks says for how long a model or adapter is not likely to be loaded, where the planner said so.
	Lacks func(pool, model, adapter string) (time.Duration, bool)
}

// Counters are counted over a daemon's life.
type Counters struct {
	Admitted, Held, Sent, SentAgain, AgainDenied, HeldBack, NeverSent, EngineRefused, Misdirected, Lost, Junk, Cut uint64
	Whole, Failed, Shed, Refused, Broken, BrokenOff, CallersLeft, NoPath, Resumed, Moved, Stayed                   uint64
	// Speculative counts the attempts ahead of the news of a load, SpeculativeRefused those that came too soon.
	Speculative, SpeculativeRefused uint64
	// LastResort counts choices of an engine that is held back, since no other could take the request, or only late.
	LastResort uint64
	// HeldFor counts by what lacked, EndedFor by cause.
	HeldFor  [lacks]uint64
	EndedFor [causes]uint64
}

// Core decides what becomes of records. It belongs to one actor.
type Core struct {
	settings Settings
	Counters Counters

	sequence uint64
	held     []*Record
	engines  map[ident.EngineID]*engineState
	budgets  map[string]*window
	demands  map[demandKey]*demandState
	paths    map[pathKey]*pathState
	// running counts the attempts under way by pool.
	running map[string]int
	// ledger is what became of attempts; awaited are those whose answer has not begun.
	ledger  *outlier.Recorder
	awaited []*Record
	usuals  map[string]*usual
	// planTook and spreadTook are smoothed times that a planner, and the word of what it did, took lately.
	planTook, spreadTook time.Duration
	// meanTokens is a smoothed size of prompts.
	meanTokens float64
	// candidates, weighedOut and failing are of the choice in hand.
	candidates, weighedOut, failing []candidate
	scratch                         []byte
	// losses counts the requests that were not served, or late.
	losses map[LossKey]uint64
	// stopping says that the daemon ends: nothing is held or tried again any more.
	stopping bool
}

// NewCore makes an empty core.
func NewCore(settings Settings) *Core {
	return &Core{settings: settings, engines: map[ident.EngineID]*engineState{}, budgets: map[string]*window{},
		demands: map[demandKey]*demandState{}, paths: map[pathKey]*pathState{}, running: map[string]int{}, ledger: outlier.NewRecorder(), usuals: map[string]*usual{}, losses: map[LossKey]uint64{}}
}

// step gives a record's sender the next thing to do. A record has at most one that is not yet taken.
func (r *Record) step(s Step) { r.steps <- s }

// Admit takes a record in and looks at it at once.
func (c *Core) Admit(r *Record, w World) {
	c.Counters.Admitted++
	c.sequence++
	r.sequence = c.sequence
	switch {
	case w.Index == nil || r.Path == nil && !w.Current:
		// Only a table that is known to be new enough can say that there is no such path.
		c.finish(r, w, NoTable, time.Second)
		return
	case r.Path == nil:
		c.Counters.NoPath++
		c.finish(r, w, NoPath, 0)
		return
	}
	r.pool = drawPool(r.Path, r.Ask.Attempt)
	r.needs = r.Ask.TokensIn + r.Ask.TokensOut
	r.firstBy = min(r.Deadline, r.Arrived+clock.Mark(c.settings.patience(r.Path)))
	r.returned = r.Ask.Deadline > 0 && r.Ask.Deadline < time.Duration(r.Path.DeadlineMs)*time.Millisecond*19/20
	c.arrived(r, w.Now)
	c.look(r, w)
}

// look sends a record, holds it, or ends it.
func (c *Core) look(r *Record, w World) {
	if r.callerLeft {
		c.finish(r, w, CallerLeft, 0)
		return
	}
	if !c.rerouted(r, w) {
		return
	}
	left := r.answerBy().Since(w.Now)
	if left <= c.least(r) {
		c.finish(r, w, Late, c.comeBack(r, w))
		return
	}
	if r.attempts > 0 && (r.attempts >= r.Path.Attempts || c.settings.Off.Has(featuregates.Retries) && !r.mayHaveRun) && r.boundTo == "" {
		c.finish(r, w, Spent, c.comeBack(r, w))
		return
	}
	if c.stopping && r.stage != Admitted {
		c.finish(r, w, Stopping, leastComeBack)
		return
	}
	chosen, why := c.choose(r, w)
	if why == allTried && r.mayHaveRun {
		// It broke off, and none but the engine that it broke off at holds its model: it goes on once another does.
		why = noModel
	}
	r.lack = why
	if why != noModel && why != noEngines && !(chosen != nil && r.speculative) {
		c.present(r, w)
	}
	if chosen == nil {
		c.hold(r, w, why)
		return
	}
	if r.attempts == 0 && c.path(r).sheds(r, w, c.settings, c.least(r)) {
		c.Counters.Shed++
		r.shed = true
		c.finish(r, w, NoRoom, c.comeBack(r, w))
		return
	}
	c.send(r, w, chosen)
}

// send hands an attempt to the record's sender.
func (c *Core) send(r *Record, w World, chosen *registry.Engine) {
	if len(r.stamps) > 0 && !w.Leased {
		// What was held under a lease does not leave without one.
		c.finish(r, w, NoLease, c.comeBack(r, w))
		return
	}
	again := r.attempts > 0
	if again {
		if !c.stamp(r, w) {
			c.finish(r, w, NoLease, c.comeBack(r, w))
			return
		}
		if !r.paid && !c.budget(r.pool).allows(w.Now, c.settings, w.Edges) {
			c.Counters.AgainDenied++
			c.finish(r, w, Spent, c.comeBack(r, w))
			return
		}
		// The attempt is counted before it leaves, since it can't be called back.
		if !r.paid {
			c.budget(r.pool).again(w.Now)
		}
		r.paid = false
		c.Counters.SentAgain++
	}
	if r.stage == Held {
		c.unhold(r)
		r.heldFor += w.Now.Since(r.heldAt)
	}
	r.move(Sending)
	r.engine, r.sentAt = chosen.ID, w.Now
	state := c.engine(chosen.ID)
	state.took(r, w)
	if r.speculative {
		target := registry.Target{Model: r.Ask.Model, Adapter: r.Ask.Adapter}
		ready, _ := comingAt(chosen, target)
		state.speculated(target, ready, w.Now)
		c.Counters.Speculative++
	}
	r.noted, r.wasOverdue, r.overdueAfter = false, false, c.overdueAfter(r)
	if !r.begun && !r.speculative {
		// An answer that goes on at another engine has no first byte to be late, and what went ahead of a load waits.
		c.awaited = append(c.awaited, r)
	}
	c.demand(r).running++
	c.running[r.pool]++
	pool, _ := w.Index.Pool(r.pool)
	r.step(Step{Send: &Send{
		Engine: chosen.ID, Address: chosen.Address, Zone: chosen.Zone, Pool: r.pool, Left: r.Deadline.Since(w.Now),
		Urgency: r.Path.Rank, Careful: !r.mayRepeat(), LastEvent: r.resumeAt(), Resumes: r.resumeAt() != "",
		MostConnections: connectionShare(pool, w.Edges), Stamped: len(r.stamps) > 0,
		Running: state.running(chosen, w, c.settings), Reading: state.reading, GapTargetMs: r.Path.GapTargetMs,
	}})
}

// resumeAt is the event after which the next attempt goes on.
func (r *Record) resumeAt() string {
	if r.lastEvent != "" {
		return r.lastEvent
	}
	return r.Ask.LastEvent
}

// stamp mints an id for a record that is held or tried again; without a lease neither is allowed.
func (c *Core) stamp(r *Record, w World) bool {
	id, minted := w.Mint()
	if minted {
		r.stamps = append(r.stamps, id)
	}
	return minted
}

// hold keeps a record until an engine can take it, or ends it if none will in time.
func (c *Core) hold(r *Record, w World, why lack) {
	if c.stopping {
		c.finish(r, w, Stopping, leastComeBack)
		return
	}
	if wait, hopeless := c.hopeless(r, w, why); hopeless {
		if why == noModel && wait <= r.Deadline.Since(w.Now)/comesBackBy {
			// It is still wanted: whoever plans must not forget it until the client has come back.
			c.demand(r).returning(w.Now + clock.Mark(wait))
		}
		c.finish(r, w, NoRoom, wait)
		return
	}
	if r.stage == Held {
		return
	}
	if !c.stamp(r, w) {
		c.finish(r, w, NoLease, c.comeBack(r, w))
		return
	}
	r.move(Held)
	r.heldAt, r.heldLack = w.Now, why
	c.Counters.Held++
	c.Counters.HeldFor[why]++
	c.held = append(c.held, r)
	c.demand(r).held++
}

// unhold takes a record out of those held.
func (c *Core) unhold(r *Record) {
	if place := slices.Index(c.held, r); place >= 0 {
		c.held = slices.Delete(c.held, place, place+1)
		c.demand(r).held--
	}
}

// finish ends a record with our own answer.
func (c *Core) finish(r *Record, w World, cause Cause, comeBack time.Duration) {
	if r.stage == Held {
		c.unhold(r)
		r.heldFor += w.Now.Since(r.heldAt)
	}
	c.lost(r, c.reasonOf(r, cause, w), w.Now)
	r.move(Ended)
	answer := finalAnswer(r, cause, comeBack)
	c.Counters.EndedFor[cause]++
	switch {
	case cause == CallerLeft:
		c.Counters.CallersLeft++
	case answer.Status == 0:
		c.Counters.BrokenOff++
	case r.mayHaveRun:
		c.Counters.Broken++
	default:
		c.Counters.Refused++
	}
	r.step(Step{End: &answer})
}

// raisedBy is by how many ranks a record rises over all of its time; none is held for more than half of it.
const raisedBy = 8

// rankOf is the rank by which a record that waits is served; waiting raises it, so that none starves.
func rankOf(r *Record, now clock.Mark) float64 {
	span := max(r.answerBy().Since(r.Arrived), time.Millisecond)
	return float64(r.Path.Rank) - raisedBy*float64(now.Since(r.Arrived))/float64(span)
}

// Pass looks at all that are held, the most urgent first.
func (c *Core) Pass(w World) {
	if len(c.held) == 0 {
		return
	}
	waiting := slices.Clone(c.held)
	ranks := make(map[*Record]float64, len(waiting))
	for _, r := range waiting {
		ranks[r] = rankOf(r, w.Now)
	}
	slices.SortFunc(waiting, func(a, b *Record) int {
		if order := cmp.Compare(ranks[a], ranks[b]); order != 0 {
			return order
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	for _, r := range waiting {
		if r.stage == Held {
			c.look(r, w)
		}
	}
}

// HeldNow counts those that wait.
func (c *Core) HeldNow() int { return len(c.held) }

// CallerLeft drops a record that waits; one under way is ended by its sender, and goes nowhere after.
func (c *Core) CallerLeft(r *Record, w World) {
	r.callerLeft = true
	if r.stage == Held || r.stage == Admitted {
		c.finish(r, w, CallerLeft, 0)
	}
}

// Stop ends all that wait; whatever is under way ends with the attempt it makes now.
func (c *Core) Stop(w World) {
	c.stopping = true
	for _, r := range slices.Clone(c.held) {
		// Another daemon may take it at once.
		c.finish(r, w, Stopping, leastComeBack)
	}
}

// NextLook is when the records that wait must be looked at again even if nothing happens.
func (c *Core) NextLook(now clock.Mark) (clock.Mark, bool) {
	if len(c.held) == 0 {
		return 0, false
	}
	next := c.held[0].answerBy()
	for _, r := range c.held {
		next = min(next, r.answerBy()-clock.Mark(c.least(r)), r.Arrived+clock.Mark(mostHeld(r)))
		if word := r.Arrived + clock.Mark(firstWord(r)); word > now {
			next = min(next, word)
		}
	}
	// What is about to come or to rest out can't be told in one moment, so there is an upper bound.
	return max(min(next, now+clock.Mark(lookAgain)), now+clock.Mark(time.Millisecond)), true
}

const lookAgain = 50 * time.Millisecond
