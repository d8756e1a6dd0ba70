package forwarding

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

const (
	// costPerRunning is the cost of one running request, in prompt tokens that the engine could read meanwhile.
	costPerRunning = 24
	// firstByteWeight weighs the engine's recent first-byte time against what is known to be there now.
	firstByteWeight = 0.2
	// awaitedFirstByteWeight weighs the longest time that a first byte is awaited there. It grows with a queue at once,
	// while measured first bytes reveal the queue only after they have passed through it.
	awaitedFirstByteWeight = 0.7
	// memoryOverflowCost, warmupCost, remoteZoneTokens and connectTokenCost are multiples of a mean prompt: for a
	// request that does not fit into the KV memory left, an engine in slow start, another zone, and a connection to be
	// opened.
	memoryOverflowCost = 2.0
	warmupCost         = 0.25
	remoteZoneTokens   = 0.3
	connectTokenCost   = 0.3
	// connectSlotCost and remoteZoneSlotCost are the same in pools that do not batch, as shares of an engine's slots.
	connectSlotCost    = 0.15
	remoteZoneSlotCost = 0.1
	// failureCostFactor is by how much the cost of an engine grows that fails all requests.
	failureCostFactor = 6
)

// expectedPrefixHit is the share of a prompt's shared parts that its rendezvous engines are expected to have cached, by
// rank.
var expectedPrefixHit = [rendezvousReplicas]float64{0.8, 0.3}

// batchCost is the expected cost of a batching engine, in prompt tokens to be read before this request's first byte.
// Reported queue lengths are left out: reports are about a second old, and routers that go by the same report all choose
// the same engine (measured at 80 % load: 0.90 of requests in time without, 0.80 with them).
func (c *Core) batchCost(request *Request, option candidate, env Environment, index int) float64 {
	state, engine := option.state, option.engine
	state.observeReport(engine.Plan)
	cached := 0.0
	if !c.settings.Disabled.Has(featuregates.PrefixCacheAffinity) {
		cached = float64(state.prefixes.cachedTokens(request))
	}
	if index < rendezvousReplicas && !c.settings.Disabled.Has(featuregates.PrefixOwners) {
		cached = max(cached, expectedPrefixHit[index]*float64(sharedTokens(request)))
	}
	cost := max(0, float64(request.Attributes.TokensIn)-cached) + float64(state.prefillTokens)
	active := float64(state.inFlight)
	if plan := engine.Plan; plan != nil && env.Now.Since(plan.Received) < c.settings.ReportMaxAge {
		since := max(0, state.inFlight-state.inFlightAtReport)
		active = max(active, float64(plan.Active+since))
		if plan.Memory > 0 && plan.MemoryUsed+int64(request.memoryTokens+since*request.memoryTokens) > plan.Memory {
			cost += memoryOverflowCost * c.meanPromptTokens
		}
	}
	cost += costPerRunning * active
	path := c.pathState(request)
	cost += firstByteWeight * path.tokensIn(decayed(state.firstByteTime, state.firstByteAt, env.Now))
	if !c.settings.Disabled.Has(featuregates.FirstByteWait) {
		cost += awaitedFirstByteWeight * path.tokensIn(state.longestAwaited(env.Now))
	}
	// An engine that has not responded for long is likely not to respond soon.
	cost += path.tokensIn(state.unresponsiveFor(env.Now)-2*state.firstByteTime) / 2
	if option.warmingUp(env) && !c.settings.Disabled.Has(featuregates.SlowStart) {
		cost = 2*cost + warmupCost*c.meanPromptTokens
	}
	if env.HasIdleConnection != nil && !c.hasIdleConnection(request, engine, env) {
		cost += connectTokenCost * c.meanPromptTokens
	}
	return cost*(1+failureCostFactor*c.failureRate(state, env)) + c.zoneCost(engine, env, remoteZoneTokens*c.meanPromptTokens)
}

// slotCost is the expected cost of an engine in a pool that does not batch: the share of its slots in use as far as this
// daemon knows, with penalties.
func (c *Core) slotCost(request *Request, option candidate, env Environment) float64 {
	cost := float64(option.state.inFlight) / float64(max(option.engine.Slots, 1))
	if excess := option.state.unresponsiveFor(env.Now) - 2*option.state.firstByteTime; excess > 0 {
		cost += float64(excess) / float64(time.Second)
	}
	cost = 4*c.failureRate(option.state, env) + cost
	if option.warmingUp(env) && !c.settings.Disabled.Has(featuregates.SlowStart) {
		cost = 2*cost + 0.5
	}
	if env.HasIdleConnection != nil && !c.hasIdleConnection(request, option.engine, env) {
		cost += connectSlotCost
	}
	// Each request orders equals differently, so that they don't all go to the same engine.
	c.hashBuffer = append(append(c.hashBuffer[:0], request.Attributes.Attempt...), option.engine.ID...)
	draw := xxhash.Sum64(c.hashBuffer)
	return cost + c.zoneCost(option.engine, env, remoteZoneSlotCost) + 0.1*float64(draw>>40)/(1<<24)
}

// warmingUp reports whether an engine announced a slow start that is not over.
func (c candidate) warmingUp(env Environment) bool {
	return c.engine.SlowStartMs > 0 && c.engine.SlowStartMs > env.Now.Since(c.engine.LastHeartbeat).Milliseconds()
}

// failureRate is the decayed share of an engine's attempts that failed.
func (c *Core) failureRate(state *engineState, env Environment) float64 {
	if c.settings.Disabled.Has(featuregates.ErrorPenalty) {
		return 0
	}
	return state.decayedFailureRate(env.Now)
}

// zoneCost is the cost of an engine in another zone than this daemon's.
func (c *Core) zoneCost(engine *registry.Engine, env Environment, cost float64) float64 {
	if c.settings.Disabled.Has(featuregates.ZoneCost) || env.Zone == "" || engine.Zone == env.Zone {
		return 0
	}
	return cost
}
