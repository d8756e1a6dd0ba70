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
	// slowSpan is the smoothing time of the rate that decides what stays loaded.
	slowSpan = 20 * time.Second
	// rankWeight is how much more one rank counts than the next, for no more than maxRanksBehind ranks.
	rankWeight     = 1.5
	maxRanksBehind = 3
	// queuedSpan is the smoothing time of queued requests that some engine could serve.
	queuedSpan = 700 * time.Millisecond
	// forgetAfter is how long after the last request something is forgotten.
	forgetAfter = 10 * time.Minute
)

// poolDemand is what the fleet requests of one pool.
type poolDemand struct {
	models   map[string]*itemDemand
	adapters map[registry.Target]*itemDemand
	// tokens is the tokens a second of the whole pool, arrivals its requests a second.
	tokens, arrivals float64
}

// itemDemand is what is requested of one model, or of one adapter.
type itemDemand struct {
	queued, running int
	// queuedForAdapter counts those of the queued that request an adapter of this model.
	queuedForAdapter int
	tokens, arrivals float64
	oldestWait       time.Duration
	rank             int
	// ranksBehind is by how many ranks it is less urgent than the most urgent path of the pool, inNewest that the newest
	// demand named it.
	ranksBehind int
	inNewest    bool
	// loadTime is how long it takes to load, latencyTarget the latency target of its path; zero for an adapter.
	loadTime, latencyTarget time.Duration
	// slowRate is the rate of requests over a longer time, slowQueued the smoothed number queued.
	slowRate, slowQueued float64
	// slope is by how much arrivals grow in a second, smoothed, previousArrivals the arrivals that it was last computed from.
	slope, previousArrivals float64
	// unmet is how many requests came while it had no replica.
	unmet         float64
	lastRequested clock.Mark
}

// rate is how often it is requested, now or over the longer past; what is more urgent counts for more.
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

// updateDemand takes over the newest demand of the fleet, and updates the smoothed rates.
func (p *Planner) updateDemand(in Input) {
	for _, pool := range p.demand {
		pool.reset()
	}
	for _, demand := range in.Demand {
		p.addDemand(demand)
	}
	p.smoothDemand(in.Now, in.Now.Since(p.lastStep))
}

// reset clears what the newest demand names anew.
func (pool *poolDemand) reset() {
	pool.tokens, pool.arrivals = 0, 0
	for _, model := range pool.models {
		model.queuedForAdapter = 0
		model.reset()
	}
	for _, adapter := range pool.adapters {
		adapter.reset()
	}
}

func (item *itemDemand) reset() {
	item.inNewest, item.queued, item.running, item.tokens, item.arrivals, item.oldestWait = false, 0, 0, 0, 0, 0
}

// addDemand adds one row of the newest demand to its model, and to its adapter if it names one.
func (p *Planner) addDemand(demand Demand) {
	catalogue := p.pools[demand.Pool]
	if catalogue == nil || !catalogue.names(registry.Target{Model: demand.Model}) {
		return
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
	model.ranksBehind = p.ranksBehind(model.rank, catalogue)
	model.loadTime = catalogue.loadTime(demand.Model)
	model.latencyTarget = catalogue.targets[model.rank]
	target := registry.Target{Model: demand.Model, Adapter: demand.Adapter}
	if demand.Adapter == "" || !catalogue.names(target) {
		return
	}
	adapter := pool.adapters[target]
	if adapter == nil {
		adapter = &itemDemand{}
		pool.adapters[target] = adapter
	}
	adapter.add(demand)
	adapter.ranksBehind = p.ranksBehind(adapter.rank, catalogue)
}

// smoothDemand updates the smoothed rates after a time since the last step, forecasts the demand for models, and forgets
// what was not requested for long.
func (p *Planner) smoothDemand(now clock.Mark, since time.Duration) {
	slow, quick := smoothing(since, slowSpan), smoothing(since, queuedSpan)
	for _, pool := range p.demand {
		for name, model := range pool.models {
			model.updateSlope(since)
			if model.smooth(now, slow, quick) {
				delete(pool.models, name)
			}
		}
		if !p.settings.Off.Has(featuregates.DemandTrend) {
			pool.forecast()
		}
		for target, adapter := range pool.adapters {
			if adapter.smooth(now, slow, quick) {
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

// smoothing is the weight of the newest value in an exponentially smoothed one, after a time since the last update.
func smoothing(since, span time.Duration) float64 { return 1 - math.Exp(-float64(since)/float64(span)) }

const (
	// slopeSpan is over how long the growth of arrivals is smoothed.
	slopeSpan = 1500 * time.Millisecond
	// maxGrowth is by how many times more, or less, than now may be forecast to be requested.
	maxGrowth = 3
	// trendNoise is how many times the square root of arrivals a change must be to be significant: two standard
	// deviations of the forecast, for independent arrivals.
	trendNoise = 1.85
)

// updateSlope updates the smoothed growth of arrivals.
func (item *itemDemand) updateSlope(since time.Duration) {
	if since <= 0 {
		return
	}
	item.slope += ((item.arrivals-item.previousArrivals)/since.Seconds() - item.slope) * smoothing(since, slopeSpan)
	item.previousArrivals = item.arrivals
}

// growth is by how many times more will be requested once a load that begins now has ended. Arrivals are smoothed and
// so lag by the smoothing's time constant, which is compensated too.
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

// forecast replaces what is requested now by what is likely to be once a load that begins now has ended.
func (pool *poolDemand) forecast() {
	pool.tokens = 0
	for _, model := range pool.models {
		model.tokens *= model.growth()
		pool.tokens += model.tokens
	}
}

// demandOnReplicas is how many requests keep the replicas of something busy, or wait for one of them. Those that wait for an
// adapter would not be served by a further replica of the model.
func (item *itemDemand) demandOnReplicas() float64 {
	return float64(item.running + item.queued - item.queuedForAdapter)
}

// smooth updates the smoothed values, and says whether the item is to be forgotten.
func (item *itemDemand) smooth(now clock.Mark, slow, quick float64) bool {
	item.slowRate += (item.arrivals - item.slowRate) * slow
	item.slowQueued += (float64(item.queued-item.queuedForAdapter) - item.slowQueued) * quick
	if item.queued+item.running > 0 || item.arrivals > 0.01 {
		item.lastRequested = now
	}
	return now.Since(item.lastRequested) > forgetAfter
}

// countUnmet counts the requests that come while the item has no replica; with one the count is zero.
func (item *itemDemand) countUnmet(stands bool, since time.Duration) {
	if stands {
		item.unmet = 0
		return
	}
	item.unmet += item.arrivals * since.Seconds()
}
