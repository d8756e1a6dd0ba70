package forwarding

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

const (
	// dueMargin is how long after the time that the planner told a load is taken to be done.
	dueMargin = 20 * time.Millisecond
	// refusedBy is by when an engine that does not hold what it is asked for has said so.
	refusedBy = 30 * time.Millisecond
	// speculateAgain is how long after a first refusal the next request is sent ahead of the news, doubled with
	// each further one up to mostSpeculateAgain.
	speculateAgain     = 100 * time.Millisecond
	mostSpeculateAgain = 800 * time.Millisecond
	// dueFor is for how long after its time a load without news is taken to be done.
	dueFor = 10 * time.Second
)

// speculation is what became of requests that were sent to an engine for what it was to have loaded by now.
type speculation struct {
	// ready is the time that was told, sentAt when the first request went that was not refused so far.
	ready, sentAt clock.Mark
	// refusals in a row, and until when the last of them keeps others back.
	refusals int
	until    clock.Mark
}

// due gives an engine that by the planner's word should have loaded what a record asks for, though no report
// says so yet. Reports are some hundred ms old, and none come while nobody plans; an engine that has not
// loaded it says truthfully that it did not run the request. One request goes first, and the others once it
// was not refused.
func (c *Core) due(r *Record, w World, pool *upstream.Pool) *registry.Engine {
	if c.settings.Off.Has(featuregates.Speculation) {
		return nil
	}
	target := registry.Target{Model: r.Ask.Model, Adapter: r.Ask.Adapter}
	for _, engine := range w.View.Pools[r.pool] {
		if !engine.Usable() || w.Open != nil && !w.Open(engine) || r.boundTo != "" && r.boundTo != engine.ID || slices.Contains(r.tried, engine.ID) {
			continue
		}
		ready, coming := comingAt(engine, target)
		if !coming || w.Now < ready+clock.Mark(dueMargin) || w.Now > ready+clock.Mark(dueFor) {
			continue
		}
		state := c.engine(engine.ID)
		if state.resting(w.Now) || state.failing(w.Now) || state.inFlight >= most(engine, pool, w) || !state.speculates(target, ready, w.Now) {
			continue
		}
		if r.attempts > 0 && !c.budget(r.pool).allows(w.Now, c.settings, w.Edges) {
			// It waits for the news instead: a refused guess is no reason to give it up.
			continue
		}
		r.speculative, r.score = true, c.batchScore(r, candidate{engine: engine, state: state}, w, homes)
		return engine
	}
	return nil
}

// comingAt is when an engine is to have loaded a target by the planner's word. While something else must make
// way on it the order has not left, so its time is a guess.
func comingAt(engine *registry.Engine, target registry.Target) (clock.Mark, bool) {
	if engine.Plan == nil || len(engine.Plan.Retiring) > 0 {
		return 0, false
	}
	for _, one := range engine.Plan.PendingLoads {
		if one.Target == target {
			return one.Ready, true
		}
	}
	return 0, false
}

// speculates says whether a request may go ahead of the news now.
func (e *engineState) speculates(target registry.Target, ready, now clock.Mark) bool {
	one := e.speculations[target]
	if one == nil || one.ready != ready {
		return true
	}
	if one.sentAt > 0 {
		return now >= one.sentAt+clock.Mark(refusedBy)
	}
	return now >= one.until
}

// speculated notes a request that goes ahead of the news.
func (e *engineState) speculated(target registry.Target, ready, now clock.Mark) {
	one := e.speculations[target]
	if one == nil || one.ready != ready {
		if e.speculations == nil {
			e.speculations = map[registry.Target]*speculation{}
		}
		maps.DeleteFunc(e.speculations, func(_ registry.Target, old *speculation) bool { return now > old.ready+clock.Mark(2*dueFor) })
		one = &speculation{ready: ready}
		e.speculations[target] = one
	}
	if one.sentAt == 0 {
		one.sentAt = now
	}
}

// withdrawn notes that the one that was to go first did not arrive, so that another one is to.
func (e *engineState) withdrawn(r *Record) {
	if one := e.speculations[registry.Target{Model: r.Ask.Model, Adapter: r.Ask.Adapter}]; one != nil && one.sentAt == r.sentAt {
		one.sentAt = 0
	}
}

// tooSoon notes that it was refused.
func (e *engineState) tooSoon(target registry.Target, now clock.Mark) {
	one := e.speculations[target]
	if one == nil || one.sentAt == 0 {
		// Another one that went along was refused before.
		return
	}
	one.sentAt = 0
	one.until = now + clock.Mark(min(speculateAgain<<min(one.refusals, 4), mostSpeculateAgain))
	one.refusals++
}
