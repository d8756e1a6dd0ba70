package forwarding

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// engineState is what this daemon itself knows of an engine.
type engineState struct {
	// inFlight is its own attempts there, reading the tokens of prompts sent and not yet begun, memory the
	// tokens that its attempts may take.
	inFlight, reading, memory int
	// told is the newest report taken into account, ownThen the attempts in flight when it came.
	told    clock.Mark
	ownThen int
	// waiting counts the attempts whose answer has not begun; asked is when the first of them left, or when
	// the engine last gave a sign since.
	waiting int
	asked   clock.Mark
	// awaiting is when each attempt left whose answer has not begun, the first of them first.
	awaiting []clock.Mark
	// failures is how many attempts failed in a row, unreached how many times it could not be reached, badness a
	// smoothed share of both, failedAt the last of them.
	failures, unreached int
	badness             float64
	failedAt            clock.Mark
	// restUntil is until when it gets nothing, illUntil until when only what nothing else can take.
	restUntil, illUntil clock.Mark
	// missing is until when something is taken not to be there, since the engine said so, whatever its report.
	missing map[registry.Target]clock.Mark
	// firstByte is a smoothed time from sending to the first byte, firstAt when one was last seen.
	firstByte time.Duration
	firstAt   clock.Mark
	kept      *keptParts
	// speculations are of what it was to have loaded by now, as far as no report shows it.
	speculations map[registry.Target]*speculation
}

func (c *Core) engine(id ident.EngineID) *engineState {
	state := c.engines[id]
	if state == nil {
		state = &engineState{kept: newKeptParts()}
		c.engines[id] = state
	}
	return state
}

func (c *Core) budget(pool string) *window {
	if c.budgets[pool] == nil {
		c.budgets[pool] = &window{}
	}
	return c.budgets[pool]
}

// Forget drops what is known of engines that are no longer registered and have nothing under way.
func (c *Core) Forget(view *registry.View) {
	for id, state := range c.engines {
		if _, known := view.Engines[id]; !known && state.inFlight == 0 {
			delete(c.engines, id)
		}
	}
	c.ledger.Prune(func(id ident.EngineID) bool { return c.engines[id] != nil })
}

// took notes an attempt that is about to leave.
func (e *engineState) took(r *Record, w World) {
	e.inFlight++
	e.memory += r.needs
	r.unread = max(0, r.Ask.TokensIn-e.kept.keptTokens(r))
	e.reading += r.unread
	r.awaited = true
	if e.waiting++; e.waiting == 1 {
		e.asked = w.Now
	}
	e.kept.note(r)
	e.awaiting = append(e.awaiting, w.Now)
}

// oldest is for how long the first byte that has been awaited longest has been.
func (e *engineState) oldest(now clock.Mark) time.Duration {
	if len(e.awaiting) == 0 {
		return 0
	}
	return now.Since(e.awaiting[0])
}

// hear takes up a new report.
func (e *engineState) hear(plan *registry.Plan) {
	if plan != nil && plan.Received != e.told {
		e.told, e.ownThen = plan.Received, e.inFlight
	}
}

// running is how many requests run and wait there, this daemon's newest included.
func (e *engineState) running(engine *registry.Engine, w World, s Settings) int {
	running := e.inFlight
	if plan := engine.Plan; plan != nil && w.Now.Since(plan.Received) < s.ReportFresh {
		e.hear(plan)
		running = max(running, plan.Active+plan.Queued+max(0, e.inFlight-e.ownThen))
	}
	return running
}

// quiet is for how long it has given no sign although it was asked.
func (e *engineState) quiet(now clock.Mark) time.Duration {
	if e.waiting == 0 {
		return 0
	}
	return now.Since(e.asked)
}

// began notes that an attempt's answer has begun, so that its prompt is read.
func (e *engineState) began(r *Record, w World) {
	e.read(r, w)
	waited := w.Now.Since(r.sentAt)
	smooth(&e.firstByte, waited)
	e.firstAt = w.Now
	e.well()
}

// read takes an attempt off those whose answer has not begun.
func (e *engineState) read(r *Record, w World) {
	if r.awaited {
		r.awaited = false
		e.waiting--
		if place := slices.Index(e.awaiting, r.sentAt); place >= 0 {
			e.awaiting = slices.Delete(e.awaiting, place, place+1)
		}
		e.reading -= r.unread
		e.asked = w.Now
	}
}

func (e *engineState) well() {
	e.failures, e.unreached = 0, 0
	e.restUntil, e.illUntil = 0, 0
	e.badness *= 0.8
}

// worse is the smoothed share of its failures. It fades, since an engine that is passed by has no way to show
// that it is well again.
func (e *engineState) worse(now clock.Mark) float64 {
	if e.badness < 0.01 {
		return 0
	}
	return e.badness * math.Exp2(-float64(now.Since(e.failedAt))/float64(badnessHalf))
}

const badnessHalf = 3 * time.Second

const (
	restFirst = 250 * time.Millisecond
	restMost  = 4 * time.Second
)

// restAfter is how long an engine rests after so many failures in a row.
func restAfter(failures int) clock.Mark {
	return clock.Mark(min(restFirst<<min(max(failures-1, 0), 4), restMost))
}

// unreachable notes that it could not be reached; it gets nothing for a while, and then one at a time.
func (e *engineState) unreachable(w World) {
	e.unreached++
	e.failedAt, e.badness = w.Now, 0.8*e.worse(w.Now)+0.2
	e.restUntil = w.Now + restAfter(e.unreached)
}

// ill notes a failure; one that fails again and again gets nothing for a while that another engine can take.
func (e *engineState) ill(w World, atOnce bool) {
	e.failures++
	e.failedAt, e.badness = w.Now, 0.8*e.worse(w.Now)+0.2
	if atOnce || e.failures >= manyFailures || e.badness > 0.6 {
		e.illUntil = w.Now + restAfter(e.failures)
	}
}

// ended notes how an attempt ended.
func (e *engineState) ended(r *Record, outcome Outcome, w World) {
	e.inFlight--
	e.memory -= r.needs
	asked := e.asked
	e.read(r, w)
	if r.speculative && (outcome == HeldBack || outcome == NeverSent || outcome == Left) {
		e.withdrawn(r)
	}
	switch outcome {
	case Whole:
		e.well()
	case NeverSent:
		e.unreachable(w)
	case Junk:
		e.ill(w, true)
	case Lost, Cut, Failed:
		// One that ran into its own deadline says little of the engine, but it is no sign of life either.
		if w.Now < r.Deadline {
			e.ill(w, false)
		} else if outcome == Lost {
			e.asked = asked
		}
	case HeldBack, Left:
		e.asked = asked
	case Misdirected, EngineRefused:
		if r.speculative {
			e.tooSoon(registry.Target{Model: r.Ask.Model, Adapter: r.Ask.Adapter}, w.Now)
			return
		}
		if outcome == EngineRefused {
			// It is full, or about to be: a moment's rest spreads what comes over others.
			e.restUntil = max(e.restUntil, w.Now+clock.Mark(fullRest))
			return
		}
		if e.missing == nil {
			e.missing = map[registry.Target]clock.Mark{}
		}
		maps.DeleteFunc(e.missing, func(_ registry.Target, until clock.Mark) bool { return w.Now >= until })
		e.missing[registry.Target{Model: r.Ask.Model, Adapter: r.Ask.Adapter}] = w.Now + clock.Mark(missingFor)
	}
}

// lacks says whether it said lately that it does not hold what is asked for, or is not who it was taken for.
func (e *engineState) lacks(r *Record, now clock.Mark) bool {
	return len(e.missing) > 0 && now < e.missing[registry.Target{Model: r.Ask.Model, Adapter: r.Ask.Adapter}]
}

// missingFor is about how long a report takes to show what an engine has let go of.
const missingFor = time.Second

const fullRest = 50 * time.Millisecond

// manyFailures in a row are no chance.
const manyFailures = 3

// gone says whether it seems to be there no more: it can't be reached, and has nothing of this daemon under way
// either. One that only resets what is too much for it goes on with what it has.
func (e *engineState) gone() bool {
	return e.unreached >= manyFailures || e.unreached > 0 && e.inFlight == 0
}

// resting says whether it gets nothing now.
func (e *engineState) resting(now clock.Mark) bool {
	return now < e.restUntil || e.unreached >= manyFailures && e.waiting > 0
}

// failing says whether it gets something only where nothing else can take it.
func (e *engineState) failing(now clock.Mark) bool {
	return now < e.illUntil || e.failures >= manyFailures && e.waiting > 0
}
