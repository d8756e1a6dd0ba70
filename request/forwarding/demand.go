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
	Held, Running        int
	// Tokens and Arrivals are smoothed numbers a second.
	Tokens, Arrivals float64
	// Oldest is how long the one held longest has waited, Rank the most urgent rank among those asked for.
	Oldest time.Duration
	Rank   int
}

type demandKey struct{ pool, model, adapter string }

type demandState struct {
	held, running    int
	tokens, arrivals float64
	noted            clock.Mark
	rank             int
	// lackedAt is since when no engine holds it, readyAt when the planner last said that one would, load how long
	// a load was to take.
	lackedAt, readyAt clock.Mark
	load              time.Duration
	// back is when clients come back that were refused because something is not loaded yet.
	back []clock.Mark
}

// returning notes a client that was told to come back.
func (d *demandState) returning(at clock.Mark) {
	if len(d.back) < mostReturning {
		d.back = append(d.back, at)
	}
}

const (
	mostReturning = 100
	// returnSlack is how much later than told a client may be back.
	returnSlack = 300 * time.Millisecond
)

// expecting counts those that are not back yet.
func (d *demandState) expecting(now clock.Mark) int {
	d.back = slices.DeleteFunc(d.back, func(at clock.Mark) bool { return now > at+clock.Mark(returnSlack) })
	return len(d.back)
}

// demandHalf is the time after which an arrival counts half. Whoever plans lets rates fade alike.
const demandHalf = demand.Half

func (c *Core) demand(r *Record) *demandState {
	key := demandKey{r.pool, r.Ask.Model, r.Ask.Adapter}
	if c.demands[key] == nil {
		c.demands[key] = &demandState{rank: math.MaxInt}
	}
	return c.demands[key]
}

// fade lets what was noted before count less.
func (d *demandState) fade(now clock.Mark) {
	share := math.Exp2(-float64(now.Since(d.noted)) / float64(demandHalf))
	d.tokens *= share
	d.arrivals *= share
	d.noted = now
}

// arrived notes a request.
func (c *Core) arrived(r *Record, now clock.Mark) {
	d := c.demand(r)
	d.fade(now)
	// The sum of what fades away, times this, is a number a second.
	const perSecond = math.Ln2 / float64(demandHalf/time.Second)
	d.tokens += perSecond * float64(r.Ask.TokensIn+10*r.Ask.TokensOut)
	d.arrivals += perSecond
	d.rank = min(d.rank, r.Path.Rank)
	if r.Ask.TokensIn > 0 {
		c.meanTokens += (float64(r.Ask.TokensIn) - c.meanTokens) / 32
	}
}

// Demands lists what is asked for now, and forgets what has not been for long.
func (c *Core) Demands(now clock.Mark) []Demand {
	oldest := map[demandKey]clock.Mark{}
	for _, r := range c.held {
		key := demandKey{r.pool, r.Ask.Model, r.Ask.Adapter}
		if at, known := oldest[key]; !known || r.Arrived < at {
			oldest[key] = r.Arrived
		}
	}
	out := make([]Demand, 0, len(c.demands))
	for key, d := range c.demands {
		d.fade(now)
		expecting := d.expecting(now)
		if d.held+expecting == 0 && d.running == 0 && d.arrivals < 0.002 {
			delete(c.demands, key)
			continue
		}
		one := Demand{Pool: key.pool, Model: key.model, Adapter: key.adapter, Held: d.held + expecting, Running: d.running, Tokens: d.tokens, Arrivals: d.arrivals, Rank: d.rank}
		if at, known := oldest[key]; known {
			one.Oldest = now.Since(at)
		}
		out = append(out, one)
	}
	return out
}
