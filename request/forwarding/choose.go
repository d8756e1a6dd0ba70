package forwarding

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// candidate is an engine that a request may be sent to.
type candidate struct {
	engine *registry.Engine
	state  *engineState
	// rendezvousHash ranks the engines for a prompt prefix, the highest first. All routers compute the same.
	rendezvousHash uint64
}

// ejectedCostFactor is by how much an ejected engine's cost is multiplied for a request outside its trial share.
const ejectedCostFactor = 8

// isBatching reports whether a pool's engines batch requests and load models from a catalogue.
func isBatching(pool *upstream.Pool) bool { return pool != nil && pool.Catalogue != nil }

// chooseEngine gives the engine of least expected cost for a request, or the reason why there is none now. It sets the
// request's expectedCost, and speculative where the engine has not reported the model yet.
func (c *Core) chooseEngine(request *Request, env Environment) (*registry.Engine, blockReason) {
	if env.View == nil {
		return nil, blockedNoEngine
	}
	pool, _ := env.Index.Pool(request.pool)
	batching := isBatching(pool)
	blocked := c.collectCandidates(request, pool, env)
	candidates := c.preferredCandidates()
	if len(candidates) == 0 {
		if batching && blocked == blockedNoModel {
			if engine := c.speculativeEngine(request, env, pool); engine != nil {
				return engine, notBlocked
			}
		}
		return nil, blocked
	}
	request.speculative = false
	best, lowest := c.cheapest(request, candidates, batching, env)
	if len(c.candidates) > 0 && len(c.ejected) > 0 {
		// An ejected engine is still better than a healthy one that is far too busy.
		if other, cost := c.cheapest(request, c.ejected, batching, env); ejectedCostFactor*cost < lowest {
			c.Counters.LastResort++
			best, lowest = other, cost
		}
	}
	request.expectedCost = 0
	if batching {
		request.expectedCost = lowest
	}
	return best, notBlocked
}

// collectCandidates sorts the pool's engines that can take a request now into candidates, ejected and unhealthy. If there
// are none, the result is the reason that came closest to an engine: blockReason is ordered for that.
func (c *Core) collectCandidates(request *Request, pool *upstream.Pool, env Environment) blockReason {
	c.candidates, c.ejected, c.unhealthy = c.candidates[:0], c.ejected[:0], c.unhealthy[:0]
	blocked := blockedNoEngine
	for _, engine := range env.View.Pools[request.pool] {
		if !engine.Usable() || env.EngineOpen != nil && !env.EngineOpen(engine) {
			continue
		}
		state, reason := c.checkEngine(request, engine, pool, env)
		blocked = max(blocked, reason)
		switch {
		case reason != notBlocked:
		case state.isUnhealthy(env.Now):
			c.unhealthy = append(c.unhealthy, candidate{engine: engine, state: state})
		case c.settings.EjectOutliers && !admittedByWeight(request, engine, env):
			c.ejected = append(c.ejected, candidate{engine: engine, state: state})
		default:
			c.candidates = append(c.candidates, candidate{engine: engine, state: state})
		}
	}
	return blocked
}

// checkEngine reports why an engine can't take a request now, or its state if it can.
func (c *Core) checkEngine(request *Request, engine *registry.Engine, pool *upstream.Pool, env Environment) (*engineState, blockReason) {
	batching := isBatching(pool)
	if request.onlyEngine != "" && request.onlyEngine != engine.ID {
		return nil, blockedNoModel
	}
	if batching && request.Attributes.Model != "" && !engine.Holds(request.Attributes.Model, request.Attributes.Adapter) {
		return nil, blockedNoModel
	}
	state := c.engineState(engine.ID)
	if state.reportedMissing(request, env.Now) {
		return nil, blockedNoModel
	}
	tried := slices.Contains(request.triedEngines, engine.ID)
	if batching && state.isUnreachable() && (tried || state.inBackoff(env.Now)) {
		// An unreachable engine counts as one without the model: the request waits for the model to be loaded elsewhere.
		return nil, blockedNoModel
	}
	if tried {
		return nil, blockedAllTried
	}
	if state.inBackoff(env.Now) || state.inFlight >= maxInFlight(engine, pool, env.Routers) {
		return nil, blockedAllBusy
	}
	return state, notBlocked
}

// preferredCandidates gives the best kind of engine that was collected: healthy ones, else ejected ones, else unhealthy
// ones, since an engine that fails some requests is better than none.
func (c *Core) preferredCandidates() []candidate {
	switch {
	case len(c.candidates) > 0:
		return c.candidates
	case len(c.ejected) > 0:
		c.Counters.LastResort++
		return c.ejected
	}
	return c.unhealthy
}

// cheapest gives the engine of least cost among candidates, and its cost. Candidates of a batching pool are shortlisted
// first; engines that are busy or in backoff are not among them, so the next by rendezvous hash stands in.
func (c *Core) cheapest(request *Request, candidates []candidate, batching bool, env Environment) (best *registry.Engine, lowest float64) {
	if batching {
		candidates = c.shortlist(request, candidates, env)
	}
	for rank, option := range candidates {
		cost := c.slotCost(request, option, env)
		if batching {
			cost = c.batchCost(request, option, env, rank)
		}
		if best == nil || cost < lowest {
			best, lowest = option.engine, cost
		}
	}
	return best, lowest
}

// admittedByWeight reports whether a request belongs to the share of requests that an engine gets; outlier detection
// lowers that share below one. The draw depends on the attempt id alone, so that a second look gives the same answer.
func admittedByWeight(request *Request, engine *registry.Engine, env Environment) bool {
	weight := engine.Plan.Weight(env.Zone, env.Now)
	if weight >= 1 {
		return true
	}
	return uniform(xxhash.Sum64String(request.Attributes.Attempt+string(engine.ID))) < weight
}

// uniform maps a hash to [0, 1).
func uniform(hash uint64) float64 { return float64(hash>>40) / (1 << 24) }

// maxInFlight bounds this daemon's attempts at one engine. Engines with few slots are divided among the routers, since
// they reject what exceeds them; batching engines queue, and order their queue by urgency over all routers.
func maxInFlight(engine *registry.Engine, pool *upstream.Pool, routers int) int {
	slots, routers := max(engine.Slots, 1), max(routers, 1)
	bound := max(2, (2*slots+routers-1)/routers)
	if isBatching(pool) {
		bound = slots
	}
	// An attempt occupies a connection of its own.
	if share := connectionShare(pool, routers); share > 0 {
		bound = min(bound, share)
	}
	return bound
}
