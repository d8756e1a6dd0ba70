package forwarding

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// blockReason is why nothing can take a record now; of several reasons the greatest counts.
type blockReason uint8

const (
	notBlocked blockReason = iota
	// blockedNoEngine: the pool has no engine that may get anything new.
	blockedNoEngine
	// blockedNoModel: no engine holds what is asked for.
	blockedNoModel
	// blockedAllTried: all that fit were tried by this record.
	blockedAllTried
	// blockedAllBusy: all that fit have all that this daemon may send them, or rest.
	blockedAllBusy
	blockReasonCount
)

// LackNames are the names of what may lack, in the order in which they are counted.
var BlockReasonNames = [blockReasonCount]string{"nothing", "engines", "models", "untried", "room"}

// candidate is an engine that may be sent a record.
type candidate struct {
	engine *registry.Engine
	state  *engineState
	// rendezvousHash is its place by rendezvous: the higher first, the same at all daemons.
	rendezvousHash uint64
}

// homes is how many engines, by rendezvous, a prompt's shared parts live on. Choosing between few keeps the
// parts together, and keeps daemons that look at the same old report from all running to the same engine.
const rendezvousReplicas = 2

// chooseEngine gives the best engine for a record, or why there is none.
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

// admittedByWeight says whether a request is of the share that an engine is to get: less than all where the fleet has found
// it ill. The same request draws the same, or a second look would let in what the first left out.
func admittedByWeight(request *Request, engine *registry.Engine, env Environment) bool {
	share := engine.Plan.Weight(env.Zone, env.Now)
	if share >= 1 {
		return true
	}
	drawn := float64(xxhash.Sum64String(request.Attributes.Attempt+string(engine.ID))>>40) / (1 << 24)
	return drawn < share
}

// maxInFlight is how many attempts this daemon has at an engine at most. Small engines are shared out, since what
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

// shortlist moves the engines to choose from to the front, and gives them: a prompt's homes by rendezvous, in
// order, then the one that this daemon knows to have kept most of it, one that a connection is kept to, and one drawn by
// the request.
func (c *Core) shortlist(request *Request, all []candidate, env Environment) []candidate {
	c.hashBuffer = append(c.hashBuffer[:0], request.Attributes.Model...)
	c.hashBuffer = append(append(append(append(c.hashBuffer, '/'), request.Attributes.Adapter...), '/'), affinityKey(request)...)
	length := len(c.hashBuffer)
	for index := range all {
		all[index].rendezvousHash = xxhash.Sum64(append(c.hashBuffer[:length], all[index].engine.ID...))
	}
	found := min(rendezvousReplicas, len(all))
	if c.settings.Disabled.Has(featuregates.PrefixOwners) {
		found = 0
	}
	for index := range found {
		selectInto(all, index, func(a, b candidate) bool { return a.rendezvousHash > b.rendezvousHash })
	}
	if len(request.Attributes.Parts) > 0 && len(all) > found && !c.settings.Disabled.Has(featuregates.PrefixCacheAffinity) {
		most := 0
		for _, one := range all[:found] {
			most = max(most, one.state.prefixes.cachedTokens(request))
		}
		selectInto(all, found, func(a, b candidate) bool {
			return a.state.prefixes.cachedTokens(request) > b.state.prefixes.cachedTokens(request)
		})
		if all[found].state.prefixes.cachedTokens(request) > most {
			found++
		}
	}
	if warm := slices.IndexFunc(all[found:], func(one candidate) bool { return c.hasIdleConnection(request, one.engine, env) }); warm >= 0 {
		all[found], all[found+warm] = all[found+warm], all[found]
		found++
	}
	if len(all) > found {
		// Any one besides: where many ask about one thing, its homes are not enough, and all must not run to the same.
		at := found + int(xxhash.Sum64String(request.Attributes.Attempt)%uint64(len(all)-found))
		all[found], all[at] = all[at], all[found]
		found++
	}
	return all[:found]
}

// hasIdleConnection says whether a connection to an engine is kept that a record's attempt could use.
func (c *Core) hasIdleConnection(request *Request, engine *registry.Engine, env Environment) bool {
	return env.HasIdleConnection != nil && !c.settings.Disabled.Has(featuregates.WarmConnections) && env.HasIdleConnection(engine, request.pool, !request.mayRepeat())
}

// selectInto swaps the first of those from place on to place.
func selectInto(all []candidate, index int, before func(a, b candidate) bool) {
	first := index
	for other := index + 1; other < len(all); other++ {
		if before(all[other], all[first]) {
			first = other
		}
	}
	all[index], all[first] = all[first], all[index]
}

// affinityKey is what a prompt shares with others: the last part is its own or its session's, so the one before
// that. Those of a session go where its shared parts are, and so meet its own there.
func affinityKey(request *Request) string {
	if len(request.Attributes.Parts) == 0 {
		// Nothing is shared, so each request goes its own way.
		return request.Attributes.Attempt
	}
	return request.Attributes.Parts[max(0, len(request.Attributes.Parts)-2)].ID
}

const (
	// costPerRunning is what one more running request costs, in tokens that could be read meanwhile.
	costPerRunning = 24
	// firstByteWeight is how much the time that an engine took lately counts against what is known to be there now.
	firstByteWeight = 0.2
	// awaitedFirstByteWeight is the same of the time for which a first byte is awaited there already. That grows with a queue at
	// once; first bytes tell of it only when they have come through it.
	awaitedFirstByteWeight = 0.7
	// memoryOverflowCost, coldCost and farTokens are costs as shares of a usual prompt: of one that does not fit into the
	// memory left, of an engine that is slow from its start, of another zone.
	memoryOverflowCost = 2.0
	warmupCost         = 0.25
	remoteZoneTokens   = 0.3
	// connectTokenCost is the same of a connection that must be made, connectPlaces its cost as a share of an engine's places.
	connectTokenCost = 0.3
	connectSlotCost  = 0.15
	// remoteZoneSlotCost is another zone's cost as a share of an engine's places.
	remoteZoneSlotCost = 0.1
	// failureCostFactor is how many times dearer an engine is that fails all it gets.
	failureCostFactor = 6
)

// keptAtHome is how much of the shared parts the homes of a prompt are expected to have kept, by place.
var expectedPrefixHit = [rendezvousReplicas]float64{0.8, 0.3}

// batchCost is the expected cost of a batching engine, in tokens to be read before this request's first.
// Queues that reports tell of are left out: they are a second old, and daemons that all go by the same old
// word run to the same engine (0.90 of requests in time without, 0.80 with them, at four fifths of the load).
func (c *Core) batchCost(request *Request, one candidate, env Environment, index int) float64 {
	state, engine := one.state, one.engine
	state.observeReport(engine.Plan)
	cached := 0.0
	if !c.settings.Disabled.Has(featuregates.PrefixCacheAffinity) {
		cached = float64(state.prefixes.cachedTokens(request))
	}
	if index < rendezvousReplicas && !c.settings.Disabled.Has(featuregates.PrefixOwners) {
		cached = max(cached, expectedPrefixHit[index]*float64(sharedTokens(request)))
	}
	score := max(0, float64(request.Attributes.TokensIn)-cached) + float64(state.prefillTokens)
	active := float64(state.inFlight)
	if plan := engine.Plan; plan != nil && env.Now.Since(plan.Received) < c.settings.ReportMaxAge {
		since := max(0, state.inFlight-state.inFlightAtReport)
		active = max(active, float64(plan.Active+since))
		if plan.Memory > 0 && plan.MemoryUsed+int64(request.memoryTokens+since*request.memoryTokens) > plan.Memory {
			score += memoryOverflowCost * c.meanPromptTokens
		}
	}
	score += costPerRunning * active
	path := c.pathState(request)
	score += firstByteWeight * path.tokensIn(decayed(state.firstByteTime, state.firstByteAt, env.Now))
	if !c.settings.Disabled.Has(featuregates.FirstByteWait) {
		score += awaitedFirstByteWeight * path.tokensIn(state.longestAwaited(env.Now))
	}
	// An engine that has kept silent for long although it was asked is likely to go on so.
	score += path.tokensIn(state.unresponsiveFor(env.Now)-2*state.firstByteTime) / 2
	if one.warmingUp(env) && !c.settings.Disabled.Has(featuregates.SlowStart) {
		score = 2*score + warmupCost*c.meanPromptTokens
	}
	if env.HasIdleConnection != nil && !c.hasIdleConnection(request, engine, env) {
		score += connectTokenCost * c.meanPromptTokens
	}
	return score*(1+failureCostFactor*c.failureRate(state, env)) + c.zoneCost(engine, env, remoteZoneTokens*c.meanPromptTokens)
}

// slotCost is the share of an engine's places that are taken, as far as this daemon knows.
func (c *Core) slotCost(request *Request, one candidate, env Environment) float64 {
	score := float64(one.state.inFlight) / float64(max(one.engine.Slots, 1))
	if quiet := one.state.unresponsiveFor(env.Now) - 2*one.state.firstByteTime; quiet > 0 {
		score += float64(quiet) / float64(time.Second)
	}
	score = 4*c.failureRate(one.state, env) + score
	if one.warmingUp(env) && !c.settings.Disabled.Has(featuregates.SlowStart) {
		score = 2*score + 0.5
	}
	if env.HasIdleConnection != nil && !c.hasIdleConnection(request, one.engine, env) {
		score += connectSlotCost
	}
	// Among equals each request has an order of its own, so that not all go to the same.
	c.hashBuffer = append(append(c.hashBuffer[:0], request.Attributes.Attempt...), one.engine.ID...)
	drawn := xxhash.Sum64(c.hashBuffer)
	return score + c.zoneCost(one.engine, env, remoteZoneSlotCost) + 0.1*float64(drawn>>40)/(1<<24)
}

func (c candidate) warmingUp(env Environment) bool {
	return c.engine.SlowStartMs > 0 && c.engine.SlowStartMs > env.Now.Since(c.engine.LastHeartbeat).Milliseconds()
}

// failureRate is the smoothed share of an engine's failures that its choice goes by.
func (c *Core) failureRate(state *engineState, env Environment) float64 {
	if c.settings.Disabled.Has(featuregates.ErrorPenalty) {
		return 0
	}
	return state.decayedFailureRate(env.Now)
}

// zoneCost is the cost of an engine that stands in another zone.
func (c *Core) zoneCost(engine *registry.Engine, env Environment, cost float64) float64 {
	if c.settings.Disabled.Has(featuregates.ZoneCost) || env.Zone == "" || engine.Zone == env.Zone {
		return 0
	}
	return cost
}

// sharedTokens counts the tokens of all parts but the last.
func sharedTokens(request *Request) int {
	tokens := 0
	for index := range len(request.Attributes.Parts) - 1 {
		tokens += request.Attributes.Parts[index].Tokens
	}
	return tokens
}

// connectionShare is this daemon's part of the connections that an engine takes.
func connectionShare(pool *upstream.Pool, edges int) int {
	if pool == nil || pool.MaxConnections == 0 {
		return 0
	}
	return max(1, pool.MaxConnections/max(edges, 1))
}
