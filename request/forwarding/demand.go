package forwarding

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/placement/demand"
)

// Demand is what is asked of one pool for one model and adapter.
type Demand struct {
	Pool, Model, Adapter string
	Queued, Running      int
	// Tokens and Arrivals are smoothed numbers a second.
	TokensPerSecond, ArrivalsPerSecond float64
	// Oldest is how long the one held longest has waited, Rank the most urgent rank among those asked for.
	OldestQueuedFor time.Duration
	Rank            int
}

type demandKey struct{ pool, model, adapter string }

type demandState struct {
	queued, running                    int
	tokensPerSecond, arrivalsPerSecond float64
	decayedAt                          clock.Mark
	rank                               int
	// missingSince is since when no engine holds it, readyAt when the planner last said that one would, load how long
	// a load was to take.
	missingSince, readyAt clock.Mark
	expectedLoadTime      time.Duration
	// expectedReturns is when clients come back that were refused because something is not loaded yet.
	expectedReturns []clock.Mark
}

// expectReturn notes a client that was told to come back.
func (d *demandState) expectReturn(at clock.Mark) {
	if len(d.expectedReturns) < maxExpectedReturns {
		d.expectedReturns = append(d.expectedReturns, at)
	}
}

const (
	maxExpectedReturns = 100
	// returnGracePeriod is how much later than told a client may be back.
	returnGracePeriod = 300 * time.Millisecond
)

// countExpectedReturns counts those that are not back yet.
func (d *demandState) countExpectedReturns(now clock.Mark) int {
	d.expectedReturns = slices.DeleteFunc(d.expectedReturns, func(at clock.Mark) bool { return now > at+clock.Mark(returnGracePeriod) })
	return len(d.expectedReturns)
}

// demandHalf is the time after which an arrival counts half. Whoever plans lets rates fade alike.
const demandHalfLife = demand.HalfLife

func (c *Core) demandState(request *Request) *demandState {
	key := demandKey{request.pool, request.Attributes.Model, request.Attributes.Adapter}
	if c.demands[key] == nil {
		c.demands[key] = &demandState{rank: math.MaxInt}
	}
	return c.demands[key]
}

// decay lets what was noted before count less.
func (d *demandState) decay(now clock.Mark) {
	share := math.Exp2(-float64(now.Since(d.decayedAt)) / float64(demandHalfLife))
	d.tokensPerSecond *= share
	d.arrivalsPerSecond *= share
	d.decayedAt = now
}

// recordArrival notes a request.
func (c *Core) recordArrival(request *Request, now clock.Mark) {
	state := c.demandState(request)
	state.decay(now)
	// The sum of what fades away, times this, is a number a second.
	const perSecond = math.Ln2 / float64(demandHalfLife/time.Second)
	state.tokensPerSecond += perSecond * float64(request.Attributes.TokensIn+10*request.Attributes.TokensOut)
	state.arrivalsPerSecond += perSecond
	state.rank = min(state.rank, request.Path.Rank)
	if request.Attributes.TokensIn > 0 {
		c.meanPromptTokens += (float64(request.Attributes.TokensIn) - c.meanPromptTokens) / 32
	}
}

// Demands lists what is asked for now, and forgets what has not been for long.
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
		one := Demand{Pool: key.pool, Model: key.model, Adapter: key.adapter, Queued: state.queued + expecting, Running: state.running, TokensPerSecond: state.tokensPerSecond, ArrivalsPerSecond: state.arrivalsPerSecond, Rank: state.rank}
		if at, known := oldest[key]; known {
			one.OldestQueuedFor = now.Since(at)
		}
		out = append(out, one)
	}
	return out
}
