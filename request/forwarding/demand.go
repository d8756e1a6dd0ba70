package forwarding

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/placement/demand"
)

// Demand is the demand that this daemon sees for one pool, model and adapter. The planner places models by it.
type Demand struct {
	Pool, Model, Adapter string
	Queued, Running      int
	// TokensPerSecond and ArrivalsPerSecond are decayed means; an output token counts as ten.
	TokensPerSecond, ArrivalsPerSecond float64
	// OldestQueuedFor is the longest time that a queued request has waited, Rank the most urgent rank that asked for it.
	OldestQueuedFor time.Duration
	Rank            int
}

type demandKey struct{ pool, model, adapter string }

// demandState is what is kept for a demandKey. queued and running count requests, the rates decay from decayedAt on.
type demandState struct {
	queued, running                    int
	tokensPerSecond, arrivalsPerSecond float64
	decayedAt                          clock.Mark
	rank                               int
	// missingSince is since when no engine has it loaded, readyAt when the planner last announced that one will,
	// expectedLoadTime how long the load was to take.
	missingSince, readyAt clock.Mark
	expectedLoadTime      time.Duration
	// expectedReturns is when clients are expected to retry that were rejected because it is not loaded yet.
	expectedReturns []clock.Mark
}

// expectReturn records a client that was asked to retry.
func (d *demandState) expectReturn(at clock.Mark) {
	if len(d.expectedReturns) < maxExpectedReturns {
		d.expectedReturns = append(d.expectedReturns, at)
	}
}

const (
	// maxExpectedReturns bounds the returns remembered.
	maxExpectedReturns = 100
	// returnGracePeriod is how much later than asked a client may retry.
	returnGracePeriod = 300 * time.Millisecond
)

// countExpectedReturns counts the clients that have yet to retry.
func (d *demandState) countExpectedReturns(now clock.Mark) int {
	d.expectedReturns = slices.DeleteFunc(d.expectedReturns, func(at clock.Mark) bool { return now > at+clock.Mark(returnGracePeriod) })
	return len(d.expectedReturns)
}

// demandHalfLife is the half-life of rates; the planner lets them decay alike.
const demandHalfLife = demand.HalfLife

// demandState gives the state for a request's pool, model and adapter.
func (c *Core) demandState(request *Request) *demandState {
	key := demandKey{request.pool, request.Attributes.Model, request.Attributes.Adapter}
	if c.demands[key] == nil {
		c.demands[key] = &demandState{rank: math.MaxInt}
	}
	return c.demands[key]
}

// decay lets rates decay until now.
func (d *demandState) decay(now clock.Mark) {
	share := math.Exp2(-float64(now.Since(d.decayedAt)) / float64(demandHalfLife))
	d.tokensPerSecond *= share
	d.arrivalsPerSecond *= share
	d.decayedAt = now
}

// recordArrival counts a request in the rates.
func (c *Core) recordArrival(request *Request, now clock.Mark) {
	state := c.demandState(request)
	state.decay(now)
	// The sum of what fades away, times this, is a number a second.
	const perSecond = math.Ln2 / float64(demandHalfLife/time.Second)
	state.tokensPerSecond += perSecond * float64(request.Attributes.TokensIn+10*request.Attributes.TokensOut)
	state.arrivalsPerSecond += perSecond
	// Models are placed by kinds of requests, whoever sends them.
	state.rank = min(state.rank, request.Path.Rank)
	if request.Attributes.TokensIn > 0 {
		c.meanPromptTokens += (float64(request.Attributes.TokensIn) - c.meanPromptTokens) / 32
	}
}

// Demands lists the demand now, and forgets what has not been asked for in a long time.
func (c *Core) Demands(now clock.Mark) []Demand {
	oldest := map[demandKey]clock.Mark{}
	for _, request := range c.queue {
		key := demandKey{request.pool, request.Attributes.Model, request.Attributes.Adapter}
		if at, known := oldest[key]; !known || request.ArrivedAt < at {
			oldest[key] = request.ArrivedAt
		}
	}
	out := make([]Demand, 0, len(c.demands))
	for key, state := range c.demands {
		state.decay(now)
		expecting := state.countExpectedReturns(now)
		if state.queued+expecting == 0 && state.running == 0 && state.arrivalsPerSecond < 0.002 {
			delete(c.demands, key)
			continue
		}
		option := Demand{Pool: key.pool, Model: key.model, Adapter: key.adapter, Queued: state.queued + expecting, Running: state.running, TokensPerSecond: state.tokensPerSecond, ArrivalsPerSecond: state.arrivalsPerSecond, Rank: state.rank}
		if at, known := oldest[key]; known {
			option.OldestQueuedFor = now.Since(at)
		}
		out = append(out, option)
	}
	return out
}
