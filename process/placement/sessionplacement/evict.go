package sessionplacement

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// unloading says whether a model is being unloaded anywhere already, so that capacity isn't freed twice for one demand.
func (p *Planner) unloading(in Input) bool {
	for _, pending := range p.pending {
		if pending.Kind == engineapi.Unload {
			return true
		}
	}
	return false
}

// evict unloads the model of the lowest value, if that is lower than what is wanted and no session is assigned to it.
func (p *Planner) evict(in Input, wanted shortage, size int64) (Directed, bool) {
	var best *discovery.Engine
	var bestModel string
	var bestCost int64 = -1
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if !p.mayEvictFor(in, engine, wanted, size) {
			continue
		}
		for _, model := range engine.Report.Models {
			cost := p.cost(in, item{model: model.Model})
			if p.evictable(in, engine, model, wanted) && (bestCost < 0 || cost < bestCost) {
				best, bestModel, bestCost = engine, model.Model, cost
			}
		}
	}
	if best == nil {
		return Directed{}, false
	}
	return p.issue(in, best, engineapi.Order{Kind: engineapi.Unload, Model: bestModel}), true
}

// mayEvictFor says whether an engine could load what is wanted once it had unloaded something.
func (p *Planner) mayEvictFor(in Input, engine *discovery.Engine, wanted shortage, size int64) bool {
	allowed, _ := in.Table.Engine(engine.ID)
	_, present := reportedModel(engine, wanted.model)
	return p.acceptsOrder(in, engine, wanted) && !present && allowed.Capacity >= size
}

// evictable says whether a model may be unloaded for what is wanted.
func (p *Planner) evictable(in Input, engine *discovery.Engine, model engineapi.ModelReport, wanted shortage) bool {
	if model.State != engineapi.Loaded || p.assigned(in, engine.ID, model.Model, "") {
		return false
	}
	stayed := in.Now.Since(p.loadedSince[placement{engine: engine.ID, model: model.Model}])
	if stayed < minResidence {
		return false
	}
	cost := p.cost(in, item{model: model.Model})
	// Models of equal value rotate, so that the first one loaded does not keep the other out for good.
	unplacedSince, unplaced := p.unplacedSince[wanted.item]
	takesTurn := cost == wanted.value && stayed >= rotateMinResidence && unplaced && in.Now.Since(unplacedSince) >= rotateAfter
	return cost < wanted.value || takesTurn
}

// cost is the value lost by unloading a model or adapter: that of its requests, and zero once there was no demand for a
// while.
func (p *Planner) cost(in Input, key item) int64 {
	last, known := p.requestedAt[key]
	if !known || in.Now.Since(last.at) >= demandIdleAfter {
		return 0
	}
	return last.value
}

// assigned says whether a session is assigned to a model, or to its adapter, on an engine.
func (p *Planner) assigned(in Input, engine ident.EngineID, model, adapter string) bool {
	return slices.ContainsFunc(in.Assignments, func(s Assignments) bool {
		return s.Engine == engine && s.Model == model && (adapter == "" || s.Adapter == adapter) && s.Sessions > 0
	})
}
