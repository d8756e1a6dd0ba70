package forwarding

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// pathKey tells models apart: each has its engines, and its pace.
type pathKey struct{ path, model string }

// pathState is what this daemon has seen of one path's requests for one model.
type pathState struct {
	// first is a smoothed time from sending to the first byte, served the same to the whole answer.
	first, served time.Duration
	// pace is a smoothed time to the first byte for each token of expected cost, paced when it was last seen,
	// best the least of it lately: what a token takes where nothing is in its way.
	pace, best float64
	paced      clock.Mark
}

// began notes how long the first byte took.
func (p *pathState) began(r *Record, now clock.Mark) {
	waited := now.Since(r.sentAt)
	smooth(&p.first, waited)
	if r.score <= 0 {
		return
	}
	pace := float64(waited) / r.score
	if p.pace == 0 {
		p.pace, p.best = pace, pace
	}
	p.pace += (pace - p.pace) / 8
	if p.best += (pace - p.best) / 256; pace < p.best {
		p.best = pace
	}
	p.paced = now
}

// tokens is how many tokens could be read in a time.
func (p *pathState) tokens(span time.Duration) float64 {
	if p.best <= 0 || span <= 0 {
		return 0
	}
	return float64(span) / p.best
}

// fading lets what was seen count less the longer ago: half after a second.
func fading(seen time.Duration, at, now clock.Mark) time.Duration {
	return time.Duration(float64(seen) * float64(time.Second) / float64(time.Second+now.Since(at)))
}

// sheds says whether a request is given up although an engine could be sent it: where its first byte is
// likely to come too late, it would only make those behind it late as well. Between in time and far too late
// a draw decides, since all daemons shedding and letting in by turns is worse than either. Nothing is shed
// while first bytes come well in time, nor what went out before. Those that come back are no exception: where
// they were, each wave of refusals came back as the next flood. What was seen counts less the
// longer ago, or a path that was given up on would never be tried again.
func (p *pathState) sheds(r *Record, w World, s Settings, least time.Duration) bool {
	expected := fading(time.Duration(r.score*p.pace), p.paced, w.Now)
	if expected > r.answerBy().Since(w.Now)-least {
		return true
	}
	target := float64(r.Path.TargetMs) * float64(time.Millisecond)
	if s.Off.Has(featuregates.Shedding) {
		return false
	}
	if s.ShedOver <= 0 || target <= 0 || float64(fading(p.first, p.paced, w.Now)) < s.ShedCalm*target {
		return false
	}
	drawn := float64(xxhash.Sum64String(r.Ask.Attempt)>>40) / (1 << 24)
	return (float64(expected)/target-s.ShedFrom)/s.ShedOver > drawn
}

func (c *Core) path(r *Record) *pathState {
	key := pathKey{r.Path.Name, r.Ask.Model}
	state := c.paths[key]
	if state == nil {
		if len(c.paths) >= mostPaths {
			// Paths come and go with the bundles; what is known of them is soon known again.
			clear(c.paths)
		}
		state = &pathState{}
		c.paths[key] = state
	}
	return state
}

const mostPaths = 10_000

// smooth moves a smoothed time towards the newest.
func smooth(into *time.Duration, newest time.Duration) {
	if *into == 0 {
		*into = newest
		return
	}
	*into += (newest - *into) / 8
}

// least is the time that an attempt needs at least to be worth sending: what it took lately, but no more than
// its target, or a bad hour would keep the next request from even being tried.
func (c *Core) least(r *Record) time.Duration {
	if r.Path == nil {
		return 0
	}
	target := time.Duration(r.Path.TargetMs) * time.Millisecond
	return max(target/10, min(c.path(r).first, target)/2, leastTime)
}

const leastTime = 5 * time.Millisecond

// comeBack is when asking again makes sense: later than what holds it up now, and early enough to be served.
func (c *Core) comeBack(r *Record, w World) time.Duration {
	if r.Path == nil {
		return time.Second
	}
	return max(r.Deadline.Since(w.Now)/4, leastComeBack)
}

const (
	leastComeBack = 50 * time.Millisecond
	// planTime is about how long a planner takes to hear of a lack and order a load, spreadTime how long after a
	// load's end engines are known to hold it; both until it is known how long they took here.
	planTime   = 500 * time.Millisecond
	spreadTime = 250 * time.Millisecond
	// leastPlan and mostPlan bound what is learned of both.
	leastPlan, mostPlan = 50 * time.Millisecond, 3 * time.Second
	// readyMargin is how much later than told something may come to be there.
	readyMargin = 50 * time.Millisecond
	// comesBackBy is the share of the time left by which a client that is told to is back.
	comesBackBy = 3
)

// mostHeld is how long a request may be held: under half of the time it had.
func mostHeld(r *Record) time.Duration { return r.answerBy().Since(r.Arrived) * 9 / 20 }

// firstWord is how long a request is held while nothing is known of when it can be served: well under the
// quarter of its target within which a refusal does no harm.
func firstWord(r *Record) time.Duration {
	return time.Duration(r.Path.TargetMs) * time.Millisecond / 5
}

// hopeless says whether a record that nothing can take now is to be given up, and when to come back. A
// request is given up as soon as it is known that it can't be served in time, and never held for half of the
// time it had; while there is hope it is held.
func (c *Core) hopeless(r *Record, w World, why lack) (comeBack time.Duration, hopeless bool) {
	left, waited := r.answerBy().Since(w.Now), w.Now.Since(r.Arrived)
	most := mostHeld(r)
	switch {
	case why == allTried:
		// Those that were tried won't do better for this one.
		return c.comeBack(r, w), true
	case why == noModel:
		wait, sure := c.loadWait(r, w)
		if c.settings.Off.Has(featuregates.LoadEstimates) {
			return c.comeBack(r, w), waited >= most
		}
		return c.untilLoaded(r, wait, sure, w)
	case waited >= most:
		return c.comeBack(r, w), true
	case why == allFull:
		// Its turn comes when those before it have got theirs.
		wait := time.Duration(c.before(r, w)+1) * c.path(r).served / time.Duration(max(c.running[r.pool], 1))
		return c.comeBack(r, w), wait > left-c.least(r) && waited >= firstWord(r)
	}
	// An engine may register at any moment, but nothing says that one will.
	return c.comeBack(r, w), waited >= firstWord(r)
}

// untilLoaded decides on a record whose model or adapter no engine holds, and which is there after a wait.
func (c *Core) untilLoaded(r *Record, wait time.Duration, sure bool, w World) (comeBack time.Duration, hopeless bool) {
	left, waited := r.answerBy().Since(w.Now), w.Now.Since(r.Arrived)
	target, most := time.Duration(r.Path.TargetMs)*time.Millisecond, mostHeld(r)
	// A client counts from all of the time it has, whatever it waits for one answer to begin.
	back := r.Deadline.Since(w.Now) / comesBackBy
	told := min(wait+readyMargin, back)
	switch {
	case waited >= most:
		return max(told, leastComeBack), true
	case !sure && waited < min(firstWord(r), most):
		// The planner's word is on its way.
		return 0, false
	case wait > left-c.least(r):
		return max(told, leastComeBack), true
	case r.returned || r.mayHaveRun:
		// It was refused before, and won't come a third time, or can't be refused any more: it stays while there is time.
		return 0, false
	case waited+wait > target && wait <= back+target/2:
		// It will be late here, and in time for a client that comes back when it is there.
		return max(told, leastComeBack), true
	}
	// Held for as long as it may be, it would be given up before it is there.
	return max(told, leastComeBack), waited+wait > most
}

// before counts those that are held for the same pool and are served first.
func (c *Core) before(r *Record, w World) int {
	count, rank := 0, rankOf(r, w.Now)
	for _, other := range c.held {
		if other != r && other.pool == r.pool && rankOf(other, w.Now) <= rank {
			count++
		}
	}
	return count
}

// loadWait is how long something that no engine holds is likely to take to be there, and whether that is
// the planner's word.
func (c *Core) loadWait(r *Record, w World) (time.Duration, bool) {
	d := c.demand(r)
	load, catalogued := c.loadTime(r, w)
	if d.lackedAt == 0 {
		d.lackedAt, d.readyAt, d.load = w.Now, 0, load
	}
	plan, spread := known(c.planTook, planTime), known(c.spreadTook, spreadTime)
	soonest := clock.Mark(math.MaxInt64)
	for _, engine := range w.View.Pools[r.pool] {
		if engine.Plan == nil || !engine.Usable() {
			continue
		}
		for _, one := range engine.Plan.PendingLoads {
			if one.Model != r.Ask.Model {
				continue
			}
			switch one.Adapter {
			case r.Ask.Adapter:
				soonest = min(soonest, one.Ready)
			case "":
				// The adapter can only be ordered once its model is there.
				soonest = min(soonest, one.Ready+clock.Mark(plan))
			}
		}
	}
	if soonest < math.MaxInt64 {
		d.readyAt = soonest
		return max(0, (soonest + clock.Mark(spread)).Since(w.Now)), true
	}
	if w.Lacks != nil {
		if wait, lacks := w.Lacks(r.pool, r.Ask.Model, r.Ask.Adapter); lacks {
			return wait, true
		}
	}
	if !catalogued {
		// Nobody can load what the catalogue does not have.
		return time.Hour, true
	}
	whole := plan + load + spread
	since := w.Now.Since(d.lackedAt)
	if since > 2*whole {
		// Whoever plans has not done it so far, and may begin now at best.
		since = 0
	}
	return max(0, whole-since), false
}

// loadTime is how long a load takes of what a record asks for; false where the catalogue does not have it.
func (c *Core) loadTime(r *Record, w World) (time.Duration, bool) {
	model, known := w.Index.Model(r.pool, r.Ask.Model)
	if !known {
		return 0, false
	}
	if r.Ask.Adapter != "" && slices.ContainsFunc(w.View.Pools[r.pool], func(engine *registry.Engine) bool { return engine.Usable() && engine.Holds(r.Ask.Model, "") }) {
		// An adapter alone comes in a moment.
		return 0, true
	}
	return time.Duration(model.LoadMs) * time.Millisecond, true
}

// known takes what was learned, or else what is usual.
func known(learned, usual time.Duration) time.Duration {
	if learned == 0 {
		return usual
	}
	return learned
}

// present learns how long it took something to be there, where somebody waited for it all the while.
func (c *Core) present(r *Record, w World) {
	d := c.demand(r)
	if d.lackedAt == 0 {
		return
	}
	if r.stage == Held || r.speculative {
		if d.readyAt > 0 {
			usable := w.Now
			if r.speculative {
				usable = r.sentAt
			}
			smooth(&c.spreadTook, min(max(usable.Since(d.readyAt), leastPlan), mostPlan))
		} else {
			took := w.Now.Since(d.lackedAt) - d.load - known(c.spreadTook, spreadTime)
			smooth(&c.planTook, min(max(took, leastPlan), mostPlan))
		}
	}
	d.lackedAt, d.readyAt = 0, 0
}
