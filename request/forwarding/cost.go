package forwarding

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

const (
	// perRunning is what one more running request costs, in tokens that could be read meanwhile.
	costPerRunning = 24
	// lately is how much the time that an engine took lately counts against what is known to be there now.
	firstByteWeight = 0.2
	// awaited is the same of the time for which a first byte is awaited there already. That grows with a queue at
	// once; first bytes tell of it only when they have come through it.
	awaitedFirstByteWeight = 0.7
	// crowded, coldCost and farTokens are costs as shares of a usual prompt: of one that does not fit into the
	// memory left, of an engine that is slow from its start, of another zone.
	memoryOverflowCost = 2.0
	warmupCost         = 0.25
	remoteZoneTokens   = 0.3
	// connectTokens is the same of a connection that must be made, connectPlaces its cost as a share of an engine's places.
	connectTokenCost = 0.3
	connectSlotCost  = 0.15
	// farPlaces is another zone's cost as a share of an engine's places.
	remoteZoneSlotCost = 0.1
	// perBadness is how many times dearer an engine is that fails all it gets.
	failureCostFactor = 6
)

// keptAtHome is how much of the shared parts the homes of a prompt are expected to have kept, by place.
var expectedPrefixHit = [rendezvousReplicas]float64{0.8, 0.3}

// batchScore is the expected cost of a batching engine, in tokens to be read before this request's first.
// Queues that reports tell of are left out: they are a second old, and daemons that all go by the same old
// word run to the same engine (0.90 of requests in time without, 0.80 with them, at four fifths of the load).
func (c *Core) batchCost(request *Request, one candidate, env Environment, index int) float64 {
	state, engine := one.state, one.engine
	state.observeReport(engine.Plan)
	cached := 0.0
	if !c.settings.Disabled.Has(featuregates.KeptPrefixes) {
		cached = float64(state.prefixes.cachedTokens(request))
	}
	if index < rendezvousReplicas && !c.settings.Disabled.Has(featuregates.Homes) {
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
	if !c.settings.Disabled.Has(featuregates.Awaiting) {
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

// plainScore is the share of an engine's places that are taken, as far as this daemon knows.
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

// worse is the smoothed share of an engine's failures that its choice goes by.
func (c *Core) failureRate(state *engineState, env Environment) float64 {
	if c.settings.Disabled.Has(featuregates.Badness) {
		return 0
	}
	return state.decayedFailureRate(env.Now)
}

// far is the cost of an engine that stands in another zone.
func (c *Core) zoneCost(engine *registry.Engine, env Environment, cost float64) float64 {
	if c.settings.Disabled.Has(featuregates.ZoneCost) || env.Zone == "" || engine.Zone == env.Zone {
		return 0
	}
	return cost
}
