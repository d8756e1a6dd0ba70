package sessionplacement

import (
	"slices"

	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

func (p *Planner) serveAdapter(in Input, w shortage) (Directed, bool) {
	var full *discovery.Engine
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		held, present := find(engine, w.model)
		if !p.free(in, engine, w) || !present || held.State != engineapi.Loaded || slices.Contains(held.Adapters, w.adapter) {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		if adapters(engine) < allowed.AdapterSlots {
			return p.issue(in, engine, engineapi.Order{Kind: engineapi.LoadAdapter, Model: w.model, Adapter: w.adapter}), true
		}
		if full == nil {
			full = engine
		}
	}
	if full == nil {
		return Directed{}, false
	}
	// All places are taken: the adapter that is worth least makes way, unless a session is assigned to it.
	var bestModel, bestAdapter string
	var bestCost int64 = -1
	for _, held := range full.Report.Models {
		for _, adapter := range held.Adapters {
			cost := p.cost(in, item{held.Model, adapter})
			if p.assigned(in, full.ID, held.Model, adapter) || cost >= w.worth || bestCost >= 0 && cost >= bestCost {
				continue
			}
			bestModel, bestAdapter, bestCost = held.Model, adapter, cost
		}
	}
	if bestCost < 0 {
		return Directed{}, false
	}
	return p.issue(in, full, engineapi.Order{Kind: engineapi.UnloadAdapter, Model: bestModel, Adapter: bestAdapter}), true
}

func adapters(engine *discovery.Engine) int {
	count := 0
	for _, held := range engine.Report.Models {
		count += len(held.Adapters)
	}
	return count
}
