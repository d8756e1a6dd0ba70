package sessionplacement

import (
	"slices"

	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// serveAdapter loads an adapter on an engine that has its model and a free slot, or evicts a less valuable one.
func (p *Planner) serveAdapter(in Input, wanted shortage) (Directed, bool) {
	var full *discovery.Engine
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		reported, present := reportedModel(engine, wanted.model)
		if !p.acceptsOrder(in, engine, wanted) || !present || reported.State != engineapi.Loaded || slices.Contains(reported.Adapters, wanted.adapter) {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		if loadedAdapterCount(engine) < allowed.AdapterSlots {
			return p.issue(in, engine, engineapi.Order{Kind: engineapi.LoadAdapter, Model: wanted.model, Adapter: wanted.adapter}), true
		}
		if full == nil {
			full = engine
		}
	}
	if full == nil {
		return Directed{}, false
	}
	// All slots are used: evict the adapter of the lowest value that no session is assigned to.
	var bestModel, bestAdapter string
	var bestCost int64 = -1
	for _, reported := range full.Report.Models {
		for _, adapter := range reported.Adapters {
			cost := p.cost(in, item{reported.Model, adapter})
			if p.assigned(in, full.ID, reported.Model, adapter) || cost >= wanted.value || bestCost >= 0 && cost >= bestCost {
				continue
			}
			bestModel, bestAdapter, bestCost = reported.Model, adapter, cost
		}
	}
	if bestCost < 0 {
		return Directed{}, false
	}
	return p.issue(in, full, engineapi.Order{Kind: engineapi.UnloadAdapter, Model: bestModel, Adapter: bestAdapter}), true
}

// loadedAdapterCount counts the adapters that an engine reports, of all its models.
func loadedAdapterCount(engine *discovery.Engine) int {
	count := 0
	for _, reported := range engine.Report.Models {
		count += len(reported.Adapters)
	}
	return count
}
