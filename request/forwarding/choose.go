package forwarding

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// candidate is an engine that may be sent a record.
type candidate struct {
	engine *registry.Engine
	state  *engineState
	// order is its place by rendezvous: the higher first, the same at all daemons.
	rendezvousHash uint64
}

// choose gives the best engine for a record, or why there is none.
func (c *Core) chooseEngine(request *Request, env Environment) (*registry.Engine, blockReason) {
	if env.View == nil {
		return nil, blockedNoEngine
	}
	pool, _ := env.Index.Pool(request.pool)
	batching := pool != nil && pool.Catalogue != nil
	blocked := blockedNoEngine
	c.candidates, c.ejected, c.unhealthy = c.candidates[:0], c.ejected[:0], c.unhealthy[:0]
	for _, engine := range env.View.Pools[request.pool] {
		if !engine.Usable() || env.EngineOpen != nil && !env.EngineOpen(engine) {
			continue
		}
		blocked = max(blocked, blockedNoModel)
		if request.onlyEngine != "" && request.onlyEngine != engine.ID {
			continue
		}
		if batching && request.Attributes.Model != "" && !engine.Holds(request.Attributes.Model, request.Attributes.Adapter) {
			continue
		}
		state := c.engineState(engine.ID)
		if state.reportedMissing(request, env.Now) {
			continue
		}
		if batching && state.isUnreachable() && (slices.Contains(request.triedEngines, engine.ID) || state.inBackoff(env.Now)) {
			// What holds it can't be reached, so it counts for no more than one that does not hold it: the model must
			// be loaded elsewhere, and that is what is to be waited for.
			continue
		}
		blocked = max(blocked, blockedAllTried)
		if slices.Contains(request.triedEngines, engine.ID) {
			continue
		}
		blocked = max(blocked, blockedAllBusy)
		if state.inBackoff(env.Now) || state.inFlight >= maxInFlight(engine, pool, env) {
			continue
		}
		if state.isUnhealthy(env.Now) {
			c.unhealthy = append(c.unhealthy, candidate{engine: engine, state: state})
			continue
		}
		if c.settings.EjectOutliers && !admittedByWeight(request, engine, env) {
			c.ejected = append(c.ejected, candidate{engine: engine, state: state})
			continue
		}
		c.candidates = append(c.candidates, candidate{engine: engine, state: state})
	}
	shortlisted := c.candidates
	if len(shortlisted) == 0 {
		shortlisted = c.ejected
		if len(shortlisted) > 0 {
			c.Counters.LastResort++
		}
	}
	if len(shortlisted) == 0 {
		// An engine that fails some is better than none.
		shortlisted = c.unhealthy
	}
	if len(shortlisted) == 0 {
		if batching && blocked == blockedNoModel {
			if engine := c.speculativeEngine(request, env, pool); engine != nil {
				return engine, notBlocked
			}
		}
		return nil, blocked
	}
	request.speculative = false
	if batching {
		// Whoever rests or is full has left the list, so the next by rendezvous stands in.
		shortlisted = c.shortlist(request, shortlisted, env)
	}
	best, lowest := c.cheapest(request, shortlisted, batching, env)
	if len(c.candidates) > 0 && len(c.ejected) > 0 {
		// One that is held back is better than a sound one that has far too much to do.
		shortlisted = c.ejected
		if batching {
			shortlisted = c.shortlist(request, shortlisted, env)
		}
		if other, score := c.cheapest(request, shortlisted, batching, env); ejectedCostFactor*score < lowest {
			c.Counters.LastResort++
			best, lowest = other, score
		}
	}
	if request.expectedCost = 0; batching {
		request.expectedCost = lowest
	}
	return best, notBlocked
}

// heldBackCost is how many times dearer an engine is that the fleet holds back, to a request that is not of its share.
const ejectedCostFactor = 8

// cheapest gives the engine that costs least, and what it costs.
func (c *Core) cheapest(request *Request, shortlisted []candidate, batching bool, env Environment) (best *registry.Engine, lowest float64) {
	for index, one := range shortlisted {
		score := c.slotCost(request, one, env)
		if batching {
			score = c.batchCost(request, one, env, index)
		}
		if best == nil || score < lowest {
			best, lowest = one.engine, score
		}
	}
	return best, lowest
}

// weighedIn says whether a request is of the share that an engine is to get: less than all where the fleet has found
// it ill. The same request draws the same, or a second look would let in what the first left out.
func admittedByWeight(request *Request, engine *registry.Engine, env Environment) bool {
	share := engine.Plan.Weight(env.Zone, env.Now)
	if share >= 1 {
		return true
	}
	drawn := float64(xxhash.Sum64String(request.Attributes.Attempt+string(engine.ID))>>40) / (1 << 24)
	return drawn < share
}

// most is how many attempts this daemon has at an engine at most. Small engines are shared out, since what
// piles up there is turned away; batching ones take a queue, and order it by urgency over all daemons.
func maxInFlight(engine *registry.Engine, pool *upstream.Pool, env Environment) int {
	slots, edges := max(engine.Slots, 1), max(env.Routers, 1)
	bound := max(2, (2*slots+edges-1)/edges)
	if pool != nil && pool.Catalogue != nil {
		bound = slots
	}
	// Each attempt takes a connection of its own while it lasts.
	if share := connectionShare(pool, edges); share > 0 {
		bound = min(bound, share)
	}
	return bound
}
