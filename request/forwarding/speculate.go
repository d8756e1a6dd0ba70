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
	// speculationMargin is how long after the announced time a load is taken to be done.
	speculationMargin = 20 * time.Millisecond
	// rejectionWindow is within what time an engine that has not loaded the model rejects a request.
	rejectionWindow = 30 * time.Millisecond
	// initialSpeculationBackoff is the time after a first rejection until the next speculative attempt. It doubles with
	// each further one up to maxSpeculationBackoff.
	initialSpeculationBackoff = 100 * time.Millisecond
	maxSpeculationBackoff     = 800 * time.Millisecond
	// speculationWindow is for how long after the announced time an unreported load is taken to be done.
	speculationWindow = 10 * time.Second
)

// speculation is the state of speculative attempts for one model at one engine.
type speculation struct {
	// expectedReadyAt is the announced time, sentAt when the first request was sent that has not been rejected.
	expectedReadyAt, sentAt clock.Mark
	// rejections counts rejections in a row; until backoffUntil no further attempt is made.
	rejections   int
	backoffUntil clock.Mark
}

// speculativeEngine gives an engine that by the planner's announcement should have loaded what a request asks for,
// though no report shows it. Reports are some hundred ms old, and none come while there is no planner; an engine that
// has not loaded the model rejects the request without running it. One request is sent first, others once it has not
// been rejected.
func (c *Core) speculativeEngine(request *Request, env Environment, pool *upstream.Pool) *registry.Engine {
	if c.settings.Disabled.Has(featuregates.SpeculativeDispatch) {
		return nil
	}
	target := request.target()
	for _, engine := range env.View.Pools[request.pool] {
		if !engine.Usable() || env.EngineOpen != nil && !env.EngineOpen(engine) {
			continue
		}
		if request.onlyEngine != "" && request.onlyEngine != engine.ID || slices.Contains(request.triedEngines, engine.ID) {
			continue
		}
		ready, coming := expectedReadyAt(engine, target)
		if !coming || env.Now < ready+clock.Mark(speculationMargin) || env.Now > ready+clock.Mark(speculationWindow) {
			continue
		}
		state := c.engineState(engine.ID)
		if state.inBackoff(env.Now) || state.isUnhealthy(env.Now) || state.inFlight >= maxInFlight(engine, pool, env.Routers) {
			continue
		}
		if !state.maySpeculate(target, ready, env.Now) {
			continue
		}
		if request.enginesTried > 0 && !c.retryBudget(request.pool).allowsRetry(env.Now, c.settings, env.Routers) {
			// It stays queued: a rejected speculative attempt must not exhaust its retries.
			continue
		}
		request.speculative = true
		request.expectedCost = c.batchCost(request, candidate{engine: engine, state: state}, env, rendezvousReplicas)
		return engine
	}
	return nil
}

// expectedReadyAt is when an engine should have loaded a target by the planner's announcement; false if none is known.
// While another model is still to be unloaded the order has not been sent, so its time is a guess.
func expectedReadyAt(engine *registry.Engine, target registry.Target) (clock.Mark, bool) {
	if engine.Plan == nil || len(engine.Plan.Retiring) > 0 {
		return 0, false
	}
	for _, load := range engine.Plan.PendingLoads {
		if load.Target == target {
			return load.Ready, true
		}
	}
	return 0, false
}

// maySpeculate reports whether a speculative attempt may be made now.
func (e *engineState) maySpeculate(target registry.Target, ready, now clock.Mark) bool {
	previous := e.speculations[target]
	if previous == nil || previous.expectedReadyAt != ready {
		return true
	}
	if previous.sentAt > 0 {
		return now >= previous.sentAt+clock.Mark(rejectionWindow)
	}
	return now >= previous.backoffUntil
}

// recordSpeculation records a speculative attempt.
func (e *engineState) recordSpeculation(target registry.Target, ready, now clock.Mark) {
	previous := e.speculations[target]
	if previous == nil || previous.expectedReadyAt != ready {
		if e.speculations == nil {
			e.speculations = map[registry.Target]*speculation{}
		}
		maps.DeleteFunc(e.speculations, func(_ registry.Target, old *speculation) bool {
			return now > old.expectedReadyAt+clock.Mark(2*speculationWindow)
		})
		previous = &speculation{expectedReadyAt: ready}
		e.speculations[target] = previous
	}
	if previous.sentAt == 0 {
		previous.sentAt = now
	}
}

// withdrawSpeculation records that the first speculative attempt did not reach the engine, so that another one goes
// first.
func (e *engineState) withdrawSpeculation(request *Request) {
	if previous := e.speculations[request.target()]; previous != nil && previous.sentAt == request.sentAt {
		previous.sentAt = 0
	}
}

// speculationRejected records that the engine rejected a speculative attempt.
func (e *engineState) speculationRejected(target registry.Target, now clock.Mark) {
	previous := e.speculations[target]
	if previous == nil || previous.sentAt == 0 {
		// Another one that went along was refused before.
		return
	}
	previous.sentAt = 0
	previous.backoffUntil = now + clock.Mark(min(initialSpeculationBackoff<<min(previous.rejections, 4), maxSpeculationBackoff))
	previous.rejections++
}
