package poolplacement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// pool is a pool's catalogue, ready for the plan.
type pool struct {
	name      string
	catalogue *upstream.Catalogue
	models    map[string]*upstream.Model
	// maxLoads is how many loads may begin within a window, maxConcurrentLoads how many the store serves at full speed.
	maxLoads, maxConcurrentLoads int
	// topRank is the rank of the most urgent path that leads here.
	topRank int
	// targets are the shortest targets of the paths that lead here, by rank.
	targets map[int]time.Duration
}

// topRankOf is the lowest rank of the paths that lead to a pool.
func topRankOf(section *upstream.Section, pool string) int {
	urgent := math.MaxInt
	for i := range section.Paths {
		if slices.ContainsFunc(section.Paths[i].Shares, func(share upstream.Share) bool { return share.Pool == pool }) {
			urgent = min(urgent, section.Paths[i].Rank)
		}
	}
	return urgent
}

// targetsOf gives the shortest target of the paths of each rank that lead to a pool.
func targetsOf(section *upstream.Section, pool string) map[int]time.Duration {
	targets := map[int]time.Duration{}
	for i := range section.Paths {
		path := &section.Paths[i]
		if !slices.ContainsFunc(path.Shares, func(share upstream.Share) bool { return share.Pool == pool }) {
			continue
		}
		target := path.Target()
		if known, found := targets[path.Rank]; !found || target < known {
			targets[path.Rank] = target
		}
	}
	return targets
}

// adopt takes over a configuration's catalogues.
func (p *Planner) adopt(section *upstream.Section) {
	if p.section == section {
		return
	}
	p.section = section
	pools := map[string]*pool{}
	slowest := 0.0
	for i := range section.Pools {
		catalogue := section.Pools[i].Catalogue
		if catalogue == nil || len(catalogue.Models) == 0 {
			continue
		}
		made := &pool{name: section.Pools[i].Name, catalogue: catalogue, models: make(map[string]*upstream.Model, len(catalogue.Models))}
		total := 0.0
		for at := range catalogue.Models {
			model := &catalogue.Models[at]
			made.models[model.Name] = model
			total += model.LoadTime().Seconds()
		}
		// What the store keeps up with, by its rate limit and the time of a load, is what it serves at full speed.
		made.maxConcurrentLoads = max(1, int(catalogue.LoadsPerSecond*total/float64(len(catalogue.Models))+0.5))
		made.topRank, made.targets = topRankOf(section, made.name), targetsOf(section, made.name)
		pools[made.name] = made
		if slowest == 0 || catalogue.LoadsPerSecond < slowest {
			slowest = catalogue.LoadsPerSecond
		}
	}
	for _, made := range pools {
		// There may be one store behind all pools: its rate limit is that of the slowest.
		made.maxLoads = max(1, int(slowest*p.settings.Window.Seconds()))
	}
	p.pools = pools
	for _, e := range p.engines {
		made := pools[e.pool.name]
		if made == nil {
			delete(p.engines, e.id)
			continue
		}
		p.moveToPool(e, made)
	}
	p.forgetWithdrawnDemand()
}

// moveToPool puts an engine under a pool's newest catalogue. An intent for what the catalogue doesn't name is cancelled, and
// what is known of orders for it no longer holds should it come back.
func (p *Planner) moveToPool(e *engine, made *pool) {
	if e.pool == made {
		return
	}
	e.pool = made
	maps.DeleteFunc(e.backoffs, func(target registry.Target, _ clock.Mark) bool { return !made.names(target) })
	if e.intent != nil && !made.names(e.intent.Target) {
		p.Counters.Cancelled++
		e.intent = nil
	}
}

// forgetWithdrawnDemand forgets the demand for what the newest catalogues don't name.
func (p *Planner) forgetWithdrawnDemand() {
	for name, demand := range p.demand {
		made := p.pools[name]
		if made == nil {
			delete(p.demand, name)
			continue
		}
		maps.DeleteFunc(demand.models, func(model string, _ *itemDemand) bool { return !made.names(registry.Target{Model: model}) })
		maps.DeleteFunc(demand.adapters, func(target registry.Target, _ *itemDemand) bool { return !made.names(target) })
		for model, item := range demand.models {
			item.loadTime = made.loadTime(model)
		}
	}
}

// names reports whether the catalogue names a target.
func (p *pool) names(target registry.Target) bool {
	model := p.models[target.Model]
	return model != nil && (target.Adapter == "" || model.HasAdapter(target.Adapter))
}

// size is the capacity that a target takes, in MB; what the catalogue doesn't name fits nowhere.
func (p *pool) size(target registry.Target) float64 {
	model := p.models[target.Model]
	switch {
	case model == nil:
		return math.Inf(1)
	case target.Adapter == "":
		return model.SizeMb
	}
	return model.AdapterSizeMb
}

// loadTime is how long a model takes to load from the store at full speed; zero for what the catalogue doesn't name.
func (p *pool) loadTime(model string) time.Duration {
	if found := p.models[model]; found != nil {
		return found.LoadTime()
	}
	return 0
}
