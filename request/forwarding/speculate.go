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
	speculationMargin = 20 * time.Millisecond
	// refusedBy is by when an engine that does not hold what it is asked for has said so.
	rejectionWindow = 30 * time.Millisecond
	// speculateAgain is how long after a first refusal the next request is sent ahead of the news, doubled with
	// each further one up to mostSpeculateAgain.
	initialSpeculationBackoff = 100 * time.Millisecond
	maxSpeculationBackoff     = 800 * time.Millisecond
	// dueFor is for how long after its time a load without news is taken to be done.
	speculationWindow = 10 * time.Second
)

// speculation is what became of requests that were sent to an engine for what it was to have loaded by now.
type speculation struct {
	// ready is the time that was told, sentAt when the first request went that was not refused so far.
	expectedReadyAt, sentAt clock.Mark
	// refusals in a row, and until when the last of them keeps others back.
	rejections   int
	backoffUntil clock.Mark
}

// due gives an engine that by the planner's word should have loaded what a record asks for, though no report
// says so yet. Reports are some hundred ms old, and none come while nobody plans; an engine that has not
// loaded it says truthfully that it did not run the request. One request goes first, and the others once it
// was not refused.
func (c *Core) speculativeEngine(request *Request, env Environment, pool *upstream.Pool) *registry.Engine {
	if c.settings.Disabled.Has(featuregates.Speculation) {
		return nil
	}
	target := request.target()
	for _, engine := range env.View.Pools[request.pool] {
		if !engine.Usable() || env.EngineOpen != nil && !env.EngineOpen(engine) || request.onlyEngine != "" && request.onlyEngine != engine.ID || slices.Contains(request.triedEngines, engine.ID) {
			continue
		}
		ready, coming := expectedReadyAt(engine, target)
		if !coming || env.Now < ready+clock.Mark(speculationMargin) || env.Now > ready+clock.Mark(speculationWindow) {
			continue
		}
		state := c.engineState(engine.ID)
		if state.inBackoff(env.Now) || state.isUnhealthy(env.Now) || state.inFlight >= maxInFlight(engine, pool, env.Routers) || !state.maySpeculate(target, ready, env.Now) {
			continue
		}
		if request.enginesTried > 0 && !c.retryBudget(request.pool).allowsRetry(env.Now, c.settings, env.Routers) {
			// It waits for the news instead: a refused guess is no reason to give it up.
			continue
		}
		request.speculative, request.expectedCost = true, c.batchCost(request, candidate{engine: engine, state: state}, env, rendezvousReplicas)
		return engine
	}
	return nil
}

// comingAt is when an engine is to have loaded a target by the planner's word. While something else must make
// way on it the order has not left, so its time is a guess.
func expectedReadyAt(engine *registry.Engine, target registry.Target) (clock.Mark, bool) {
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
func (e *engineState) maySpeculate(target registry.Target, ready, now clock.Mark) bool {
	one := e.speculations[target]
	if one == nil || one.expectedReadyAt != ready {
		return true
	}
	if one.sentAt > 0 {
		return now >= one.sentAt+clock.Mark(rejectionWindow)
	}
	return now >= one.backoffUntil
}

// speculated notes a request that goes ahead of the news.
func (e *engineState) recordSpeculation(target registry.Target, ready, now clock.Mark) {
	one := e.speculations[target]
	if one == nil || one.expectedReadyAt != ready {
		if e.speculations == nil {
			e.speculations = map[registry.Target]*speculation{}
		}
		maps.DeleteFunc(e.speculations, func(_ registry.Target, old *speculation) bool {
			return now > old.expectedReadyAt+clock.Mark(2*speculationWindow)
		})
		one = &speculation{expectedReadyAt: ready}
		e.speculations[target] = one
	}
	if one.sentAt == 0 {
		one.sentAt = now
	}
}

// withdrawn notes that the one that was to go first did not arrive, so that another one is to.
func (e *engineState) withdrawSpeculation(request *Request) {
	if one := e.speculations[request.target()]; one != nil && one.sentAt == request.sentAt {
		one.sentAt = 0
	}
}

// tooSoon notes that it was refused.
func (e *engineState) speculationRejected(target registry.Target, now clock.Mark) {
	one := e.speculations[target]
	if one == nil || one.sentAt == 0 {
		// Another one that went along was refused before.
		return
	}
	one.sentAt = 0
	one.backoffUntil = now + clock.Mark(min(initialSpeculationBackoff<<min(one.rejections, 4), maxSpeculationBackoff))
	one.rejections++
}
