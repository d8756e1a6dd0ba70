package sessionplacement

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// commandable says whether an engine may be given orders.
func (p *Planner) commandable(in Input, engine *discovery.Engine) bool {
	return engine.Usable() && in.Table.Open(engine.ID)
}

// nextOrder finds the one order that brings what is wanted closer.
func (p *Planner) nextOrder(in Input, wanted shortage) (Directed, bool) {
	if wanted.adapter != "" {
		return p.serveAdapter(in, wanted)
	}
	model, _ := in.Table.Model(wanted.model)
	if target := p.loadTarget(in, wanted, model.Size); target != nil {
		if !p.storeAllows(in, wanted.idle) {
			return Directed{}, false
		}
		p.lastLoad, p.loaded = in.Now, true
		return p.issue(in, target, engineapi.Order{Kind: engineapi.Load, Model: wanted.model}), true
	}
	if wanted.idle || p.unloading(in) {
		return Directed{}, false
	}
	return p.evict(in, wanted, model.Size)
}

// loadTarget picks the engine that is to load a model: one in a zone with the fewest replicas, then the one with the
// most free capacity. It gives nil where no engine has enough.
func (p *Planner) loadTarget(in Input, wanted shortage, size int64) *discovery.Engine {
	replicas := replicasByZone(in, wanted.model)
	var best *discovery.Engine
	var bestKey [2]int64
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if _, present := reportedModel(engine, wanted.model); present || !p.acceptsOrder(in, engine, wanted) {
			continue
		}
		capacity := p.freeCapacity(in, engine)
		if capacity < size {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		key := [2]int64{int64(replicas[allowed.Zone]), -capacity}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = engine, key
		}
	}
	return best
}

// replicasByZone counts the engines of each zone that hold a model.
func replicasByZone(in Input, model string) map[ident.ZoneID]int {
	replicas := map[ident.ZoneID]int{}
	for id, engine := range in.Engines.Engines {
		if _, present := reportedModel(engine, model); present {
			allowed, _ := in.Table.Engine(id)
			replicas[allowed.Zone]++
		}
	}
	return replicas
}

// sortedIDs lists the engines in a fixed order, so that a plan does not depend on the order of a map.
func sortedIDs(view *discovery.View) []ident.EngineID {
	ids := make([]ident.EngineID, 0, len(view.Engines))
	for id := range view.Engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// acceptsOrder says whether an engine could be given an order for what is wanted.
func (p *Planner) acceptsOrder(in Input, engine *discovery.Engine, wanted shortage) bool {
	_, resting := p.blockedUntil[placement{engine.ID, wanted.model, wanted.adapter}]
	_, inherited := p.inherited[engine.ID]
	return p.commandable(in, engine) && p.pending[engine.ID] == nil && !resting && !inherited
}

// freeCapacity is what is left on an engine, in the configuration's unit, counting all that is loaded, loading, or not
// surely gone.
func (p *Planner) freeCapacity(in Input, engine *discovery.Engine) int64 {
	allowed, _ := in.Table.Engine(engine.ID)
	left := allowed.Capacity
	for _, reported := range engine.Report.Models {
		if model, known := in.Table.Model(reported.Model); known {
			left -= model.Size
		} else {
			// The size of what the catalogue no longer names is unknown, so the engine counts as full.
			return 0
		}
	}
	if pending := p.pending[engine.ID]; pending != nil && pending.Kind == engineapi.Load {
		if _, shown := reportedModel(engine, pending.Model); !shown {
			model, _ := in.Table.Model(pending.Model)
			left -= model.Size
		}
	}
	return left
}

// storeAllows keeps loads to the store's rate limit over the whole fleet. An idle load leaves one of the concurrent loads
// for one with demand.
func (p *Planner) storeAllows(in Input, idle bool) bool {
	loading := 0
	for id, engine := range in.Engines.Engines {
		shown := ""
		for _, reported := range engine.Report.Models {
			if reported.State == engineapi.Loading {
				loading++
				shown = reported.Model
			}
		}
		_, inherited := p.inherited[id]
		if pending := p.pending[id]; pending != nil && pending.Kind == engineapi.Load && pending.Model != shown || inherited && shown == "" {
			loading++
		}
	}
	gap := time.Duration(in.Table.Configuration.Store.LoadIntervalMs) * time.Millisecond
	most := in.Table.Configuration.Store.MaxConcurrentLoads
	if idle && most > 1 {
		most--
	}
	return loading < most && (!p.loaded || in.Now.Since(p.lastLoad) >= gap)
}
