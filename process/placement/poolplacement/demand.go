package poolplacement

import (
	"math"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
	"github.com/cresspond/cresspond/process/placement/demand"
)

const (
	// slowSpan is over how long the rate is smoothed by which something stays where it is.
	slowSpan = 20 * time.Second
	// rankWeight is how much more one rank counts than the next, for no more than mostBehind ranks.
	rankWeight = 1.5
	mostBehind = 3
	// heldSpan is over how long held requests are smoothed where some engine could serve them.
	heldSpan = 700 * time.Millisecond
	// forgetAfter is how long after the last request something is forgotten.
	forgetAfter = 10 * time.Minute
)

// asks is what the fleet asks for of one pool.
type asks struct {
	models   map[string]*ask
	adapters map[registry.Target]*ask
	// tokens is the whole pool's tokens a second, arrivals its requests.
	tokens, arrivals float64
}

// ask is what is asked for of one model, or of one adapter.
type ask struct {
	held, running int
	// heldForAdapter counts those of the held that ask for an adapter of this model.
	heldForAdapter   int
	tokens, arrivals float64
	oldest           time.Duration
	rank             int
	// behind is by how many ranks it is less urgent than the most urgent path of the pool, heard that the newest
	// demand named it.
	behind int
	heard  bool
	// load is how long it takes to load, target the longest time within which its path's requests earn most; zero of an
	// adapter.
	load, target time.Duration
	// slow is the rate of requests over a longer time, heldSlow the smoothed number held.
	slow, heldSlow float64
	// slope is by how much arrivals grow in a second, smoothed, before the arrivals that it was last told by.
	slope, before float64
	// debt is how many requests came while it stood nowhere.
	debt float64
	last clock.Mark
}

// rate is how often it is asked for, by the present or by the longer past; what is more urgent counts for more.
func (a *ask) rate() float64 {
	if a == nil {
		return 0
	}
	return max(a.slow, a.arrivals) * math.Pow(rankWeight, float64(1-min(a.behind, mostBehind)))
}

func (a *ask) add(d Demand) {
	if !a.heard || d.Rank < a.rank {
		a.rank = d.Rank
	}
	a.heard = true
	a.held += d.Held
	a.running += d.Running
	a.tokens += d.Tokens
	a.arrivals += d.Arrivals
	a.oldest = max(a.oldest, d.Oldest)
}

// hear takes up the newest demand of the fleet, and carries the longer past on.
func (p *Planner) hear(in Input) {
	for _, pool := range p.asks {
		pool.tokens, pool.arrivals = 0, 0
		for _, a := range pool.models {
			a.heldForAdapter = 0
			a.heard, a.held, a.running, a.tokens, a.arrivals, a.oldest = false, 0, 0, 0, 0, 0
		}
		for _, a := range pool.adapters {
			a.heard, a.held, a.running, a.tokens, a.arrivals, a.oldest = false, 0, 0, 0, 0, 0
		}
	}
	for _, demand := range in.Demand {
		made := p.pools[demand.Pool]
		if made == nil || made.models[demand.Model] == nil {
			continue
		}
		pool := p.asks[demand.Pool]
		if pool == nil {
			pool = &asks{models: map[string]*ask{}, adapters: map[registry.Target]*ask{}}
			p.asks[demand.Pool] = pool
		}
		pool.tokens += demand.Tokens
		pool.arrivals += demand.Arrivals
		model := pool.models[demand.Model]
		if model == nil {
			model = &ask{}
			pool.models[demand.Model] = model
		}
		model.add(demand)
		if demand.Adapter != "" {
			model.heldForAdapter += demand.Held
		}
		model.behind = p.behind(model.rank, made)
		model.load, model.target = time.Duration(made.models[demand.Model].LoadMs)*time.Millisecond, made.targets[model.rank]
		if demand.Adapter == "" {
			continue
		}
		target := registry.Target{Model: demand.Model, Adapter: demand.Adapter}
		adapter := pool.adapters[target]
		if adapter == nil {
			adapter = &ask{}
			pool.adapters[target] = adapter
		}
		adapter.add(demand)
		adapter.behind = p.behind(adapter.rank, made)
	}
	since := in.Now.Since(p.stepped)
	slow, quick := share(since, slowSpan), share(since, heldSpan)
	for _, pool := range p.asks {
		for name, a := range pool.models {
			a.follow(since)
			if a.carry(in.Now, slow, quick) {
				delete(pool.models, name)
			}
		}
		if !p.settings.Off.Has(featuregates.DemandTrend) {
			pool.foresee()
		}
		for target, a := range pool.adapters {
			if a.carry(in.Now, slow, quick) {
				delete(pool.adapters, target)
			}
		}
	}
}

// behind is by how many ranks something is less urgent than the most urgent path of its pool.
func (p *Planner) behind(rank int, made *pool) int {
	if p.settings.Off.Has(featuregates.RankWeight) {
		return 0
	}
	return rank - min(rank, made.urgent)
}

// share is how much of the newest value a smoothed one takes up after a while.
func share(since, span time.Duration) float64 { return 1 - math.Exp(-float64(since)/float64(span)) }

const (
	// slopeSpan is over how long the growth of arrivals is smoothed.
	slopeSpan = 1500 * time.Millisecond
	// mostGrowth is by how many times more, or less, than now may be foreseen to be asked for.
	mostGrowth = 3
	// trendNoise is how many times the square root of arrivals a change must be to be no chance: two standard deviations
	// of what is foreseen, for arrivals that are independent.
	trendNoise = 1.85
)

// follow takes up how arrivals grow.
func (a *ask) follow(since time.Duration) {
	if since <= 0 {
		return
	}
	a.slope += ((a.arrivals-a.before)/since.Seconds() - a.slope) * share(since, slopeSpan)
	a.before = a.arrivals
}

// growth is by how many times more will be asked for once a load that begins now has ended. Arrivals are smoothed and
// so lag by the smoothing's time constant, which is made up for too.
func (a *ask) growth() float64 {
	lag := demand.HalfLife.Seconds() / math.Ln2
	change := a.slope * (lag + a.load.Seconds())
	noise := trendNoise * math.Sqrt(a.arrivals)
	switch {
	case a.arrivals <= 0 || math.Abs(change) <= noise:
		return 1
	case change > 0:
		return min(mostGrowth, 1+(change-noise)/a.arrivals)
	}
	return max(1/float64(mostGrowth), 1+(change+noise)/a.arrivals)
}

// foresee replaces what is asked for now by what is likely to be once a load that begins now has ended.
func (a *asks) foresee() {
	a.tokens = 0
	for _, model := range a.models {
		model.tokens *= model.growth()
		a.tokens += model.tokens
	}
}

// pressing is how many requests keep the copies of something busy, or wait for one of them: those that wait for an adapter
// would not be served by a further copy of the model.
func (a *ask) pressing() float64 { return float64(a.running + a.held - a.heldForAdapter) }

// carry says whether it is forgotten.
func (a *ask) carry(now clock.Mark, slow, quick float64) bool {
	a.slow += (a.arrivals - a.slow) * slow
	a.heldSlow += (float64(a.held-a.heldForAdapter) - a.heldSlow) * quick
	if a.held+a.running > 0 || a.arrivals > 0.01 {
		a.last = now
	}
	return now.Since(a.last) > forgetAfter
}

// owe counts the requests that come while what they ask for stands nowhere; once it stands, nothing is owed.
func (a *ask) owe(stands bool, since time.Duration) {
	if stands {
		a.debt = 0
		return
	}
	a.debt += a.arrivals * since.Seconds()
}
