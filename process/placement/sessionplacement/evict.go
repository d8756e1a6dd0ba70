package sessionplacement

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// unloading says whether room is being made anywhere already, so that it isn't made twice.
func (p *Planner) unloading(in Input) bool {
	for _, inFlight := range p.inFlight {
		if inFlight.Kind == engineapi.Unload {
			return true
		}
	}
	return false
}

// evict unloads what is worth least, if that is less than what is wanted and no session is assigned to it.
func (p *Planner) evict(in Input, w shortage, size int64) (Directed, bool) {
	var best *discovery.Engine
	var bestModel string
	var bestCost int64 = -1
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if !p.mayMakeRoom(in, engine, w, size) {
			continue
		}
		for _, held := range engine.Report.Models {
			cost := p.cost(in, item{model: held.Model})
			if p.evictable(in, engine, held, w) && (bestCost < 0 || cost < bestCost) {
				best, bestModel, bestCost = engine, held.Model, cost
			}
		}
	}
	if best == nil {
		return Directed{}, false
	}
	return p.issue(in, best, engineapi.Order{Kind: engineapi.Unload, Model: bestModel}), true
}

// mayMakeRoom says whether an engine could hold what is wanted once it had unloaded something.
func (p *Planner) mayMakeRoom(in Input, engine *discovery.Engine, w shortage, size int64) bool {
	allowed, _ := in.Table.Engine(engine.ID)
	_, present := find(engine, w.model)
	return p.free(in, engine, w) && !present && allowed.Capacity >= size
}

// evictable says whether a model may be unloaded for what is wanted.
func (p *Planner) evictable(in Input, engine *discovery.Engine, held engineapi.ModelReport, w shortage) bool {
	if held.State != engineapi.Loaded || p.assigned(in, engine.ID, held.Model, "") {
		return false
	}
	stayed := in.Now.Since(p.since[placed{engine: engine.ID, model: held.Model}])
	if stayed < minStay {
		return false
	}
	cost := p.cost(in, item{model: held.Model})
	// Equal bids take turns, so that whoever came first does not keep a rival out for good.
	lacking, lacks := p.lackingSince[w.item]
	turn := cost == w.worth && stayed >= turnStay && lacks && in.Now.Since(lacking) >= turnAfter
	return cost < w.worth || turn
}

// cost is what a model or adapter is worth where it stands: its bid while it is asked for, nothing once it is quiet.
func (p *Planner) cost(in Input, key item) int64 {
	last, known := p.requestedAt[key]
	if !known || in.Now.Since(last.at) >= quietFor {
		return 0
	}
	return last.worth
}

func (p *Planner) assigned(in Input, engine ident.EngineID, model, adapter string) bool {
	return slices.ContainsFunc(in.Assignments, func(s Assignments) bool {
		return s.Engine == engine && s.Model == model && (adapter == "" || s.Adapter == adapter) && s.Sessions > 0
	})
}
