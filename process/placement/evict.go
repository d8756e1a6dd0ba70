package placement

import (
	"slices"

	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// unloading says whether room is being made anywhere already, so that it isn't made twice.
func (p *Planner) unloading(in Input) bool {
	for _, flight := range p.inFlight {
		if flight.Kind == engineapi.Unload {
			return true
		}
	}
	return false
}

// evict unloads what is worth least, if that is less than what is wanted and nobody sits under it.
func (p *Planner) evict(in Input, w wanted, size int64) (Directed, bool) {
	var best *engines.Engine
	var bestModel string
	var bestCost int64 = -1
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if !p.free(in, engine, w) {
			continue
		}
		if _, present := find(engine, w.model); present {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		if allowed.Room < size {
			continue
		}
		for _, held := range engine.Report.Models {
			if held.State != engineapi.Loaded || p.seated(in, id, held.Model, "") {
				continue
			}
			stayed := in.Now.Since(p.since[place{engine: id, model: held.Model}])
			if stayed < minStay {
				continue
			}
			cost := p.cost(in, want{model: held.Model})
			// Equal bids take turns, so that whoever came first does not keep a rival out for good.
			lacking, lacks := p.lackSince[w.want]
			turn := cost == w.worth && stayed >= turnStay && lacks && in.Now.Since(lacking) >= turnAfter
			if cost >= w.worth && !turn || bestCost >= 0 && cost >= bestCost {
				continue
			}
			best, bestModel, bestCost = engine, held.Model, cost
		}
	}
	if best == nil {
		return Directed{}, false
	}
	return p.give(in, best, engineapi.Order{Kind: engineapi.Unload, Model: bestModel}), true
}

// cost is what a model or adapter is worth where it stands: its bid while it is asked for, nothing once it is quiet.
func (p *Planner) cost(in Input, key want) int64 {
	last, known := p.wantedAt[key]
	if !known || in.Now.Since(last.at) >= quietFor {
		return 0
	}
	return last.worth
}

func (p *Planner) seated(in Input, engine ident.EngineID, model, adapter string) bool {
	return slices.ContainsFunc(in.Seats, func(s Seats) bool {
		return s.Engine == engine && s.Model == model && (adapter == "" || s.Adapter == adapter) && s.Sessions > 0
	})
}
