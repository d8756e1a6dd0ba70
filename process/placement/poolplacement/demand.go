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
	rankWeight     = 1.5
	maxRanksBehind = 3
	// queuedSpan is over how long held requests are smoothed where some engine could serve them.
	queuedSpan = 700 * time.Millisecond
	// forgetAfter is how long after the last request something is forgotten.
	forgetAfter = 10 * time.Minute
)

// poolDemand is what the fleet asks for of one pool.
type poolDemand struct {
	models   map[string]*itemDemand
	adapters map[registry.Target]*itemDemand
	// tokens is the whole pool's tokens a second, arrivals its requests.
	tokens, arrivals float64
}

// itemDemand is what is asked for of one model, or of one adapter.
type itemDemand struct {
	queued, running int
	// queuedForAdapter counts those of the held that ask for an adapter of this model.
	queuedForAdapter int
	tokens, arrivals float64
	oldestWait       time.Duration
	rank             int
	// ranksBehind is by how many ranks it is less urgent than the most urgent path of the pool, heard that the newest
	// demand named it.
	ranksBehind int
	inNewest    bool
	// loadTime is how long it takes to load, target the longest time within which its path's requests earn most; zero of an
	// adapter.
	loadTime, latencyTarget time.Duration
	// slowRate is the rate of requests over a longer time, slowQueued the smoothed number held.
	slowRate, slowQueued float64
	// slope is by how much arrivals grow in a second, smoothed, before the arrivals that it was last told by.
	slope, previousArrivals float64
	// unmet is how many requests came while it stood nowhere.
	unmet         float64
	lastRequested clock.Mark
}

// rate is how often it is asked for, by the present or by the longer past; what is more urgent counts for more.
func (item *itemDemand) rate() float64 {
	if item == nil {
		return 0
	}
	return max(item.slowRate, item.arrivals) * math.Pow(rankWeight, float64(1-min(item.ranksBehind, maxRanksBehind)))
}

func (item *itemDemand) add(d Demand) {
	if !item.inNewest || d.Rank < item.rank {
		item.rank = d.Rank
	}
	item.inNewest = true
	item.queued += d.Queued
	item.running += d.Running
	item.tokens += d.Tokens
	item.arrivals += d.Arrivals
	item.oldestWait = max(item.oldestWait, d.OldestWait)
}

// updateDemand takes up the newest demand of the fleet, and carries the longer past on.
func (p *Planner) updateDemand(in Input) {
	for _, pool := range p.demand {
		pool.tokens, pool.arrivals = 0, 0
		for _, item := range pool.models {
			item.queuedForAdapter = 0
			item.inNewest, item.queued, item.running, item.tokens, item.arrivals, item.oldestWait = false, 0, 0, 0, 0, 0
		}
		for _, item := range pool.adapters {
			item.inNewest, item.queued, item.running, item.tokens, item.arrivals, item.oldestWait = false, 0, 0, 0, 0, 0
		}
	}
	for _, demand := range in.Demand {
		made := p.pools[demand.Pool]
		if made == nil || made.models[demand.Model] == nil {
			continue
		}
		pool := p.demand[demand.Pool]
		if pool == nil {
			pool = &poolDemand{models: map[string]*itemDemand{}, adapters: map[registry.Target]*itemDemand{}}
			p.demand[demand.Pool] = pool
		}
		pool.tokens += demand.Tokens
		pool.arrivals += demand.Arrivals
		model := pool.models[demand.Model]
		if model == nil {
			model = &itemDemand{}
			pool.models[demand.Model] = model
		}
		model.add(demand)
		if demand.Adapter != "" {
			model.queuedForAdapter += demand.Queued
		}
		model.ranksBehind = p.ranksBehind(model.rank, made)
		model.loadTime, model.latencyTarget = time.Duration(made.models[demand.Model].LoadMs)*time.Millisecond, made.targets[model.rank]
		if demand.Adapter == "" {
			continue
		}
		target := registry.Target{Model: demand.Model, Adapter: demand.Adapter}
		adapter := pool.adapters[target]
		if adapter == nil {
			adapter = &itemDemand{}
			pool.adapters[target] = adapter
		}
		adapter.add(demand)
		adapter.ranksBehind = p.ranksBehind(adapter.rank, made)
	}
	since := in.Now.Since(p.lastStep)
	slow, quick := smoothing(since, slowSpan), smoothing(since, queuedSpan)
	for _, pool := range p.demand {
		for name, item := range pool.models {
			item.updateSlope(since)
			if item.smooth(in.Now, slow, quick) {
				delete(pool.models, name)
			}
		}
		if !p.settings.Off.Has(featuregates.DemandTrend) {
			pool.forecast()
		}
		for target, item := range pool.adapters {
			if item.smooth(in.Now, slow, quick) {
				delete(pool.adapters, target)
			}
		}
	}
}

// ranksBehind is by how many ranks something is less urgent than the most urgent path of its pool.
func (p *Planner) ranksBehind(rank int, made *pool) int {
	if p.settings.Off.Has(featuregates.RankWeight) {
		return 0
	}
	return rank - min(rank, made.topRank)
}

// smoothing is how much of the newest value a smoothed one takes up after a while.
func smoothing(since, span time.Duration) float64 { return 1 - math.Exp(-float64(since)/float64(span)) }

const (
	// slopeSpan is over how long the growth of arrivals is smoothed.
	slopeSpan = 1500 * time.Millisecond
	// maxGrowth is by how many times more, or less, than now may be foreseen to be asked for.
	maxGrowth = 3
	// trendNoise is how many times the square root of arrivals a change must be to be no chance: two standard deviations
	// of what is foreseen, for arrivals that are independent.
	trendNoise = 1.85
)

// updateSlope takes up how arrivals grow.
func (item *itemDemand) updateSlope(since time.Duration) {
	if since <= 0 {
		return
	}
	item.slope += ((item.arrivals-item.previousArrivals)/since.Seconds() - item.slope) * smoothing(since, slopeSpan)
	item.previousArrivals = item.arrivals
}

// growth is by how many times more will be asked for once a load that begins now has ended. Arrivals are smoothed and
// so lag by the smoothing's time constant, which is made up for too.
func (item *itemDemand) growth() float64 {
	lag := demand.HalfLife.Seconds() / math.Ln2
	change := item.slope * (lag + item.loadTime.Seconds())
	noise := trendNoise * math.Sqrt(item.arrivals)
	switch {
	case item.arrivals <= 0 || math.Abs(change) <= noise:
		return 1
	case change > 0:
		return min(maxGrowth, 1+(change-noise)/item.arrivals)
	}
	return max(1/float64(maxGrowth), 1+(change+noise)/item.arrivals)
}

// forecast replaces what is asked for now by what is likely to be once a load that begins now has ended.
func (item *poolDemand) forecast() {
	item.tokens = 0
	for _, model := range item.models {
		model.tokens *= model.growth()
		item.tokens += model.tokens
	}
}

// demandOnReplicas is how many requests keep the copies of something busy, or wait for one of them: those that wait for an adapter
// would not be served by a further copy of the model.
func (item *itemDemand) demandOnReplicas() float64 {
	return float64(item.running + item.queued - item.queuedForAdapter)
}

// smooth says whether it is forgotten.
func (item *itemDemand) smooth(now clock.Mark, slow, quick float64) bool {
	item.slowRate += (item.arrivals - item.slowRate) * slow
	item.slowQueued += (float64(item.queued-item.queuedForAdapter) - item.slowQueued) * quick
	if item.queued+item.running > 0 || item.arrivals > 0.01 {
		item.lastRequested = now
	}
	return now.Since(item.lastRequested) > forgetAfter
}

// countUnmet counts the requests that come while what they ask for stands nowhere; once it stands, nothing is owed.
func (item *itemDemand) countUnmet(stands bool, since time.Duration) {
	if stands {
		item.unmet = 0
		return
	}
	item.unmet += item.arrivals * since.Seconds()
}
