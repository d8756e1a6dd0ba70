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

// serve finds the one order that brings what is wanted nearer.
func (p *Planner) serve(in Input, w shortage) (Directed, bool) {
	if w.adapter != "" {
		return p.serveAdapter(in, w)
	}
	model, _ := in.Table.Model(w.model)
	if target := p.loadTarget(in, w, model.Size); target != nil {
		if !p.storeAllows(in, w.idle) {
			return Directed{}, false
		}
		p.lastLoad, p.loaded = in.Now, true
		return p.issue(in, target, engineapi.Order{Kind: engineapi.Load, Model: w.model}), true
	}
	if w.idle || p.unloading(in) {
		return Directed{}, false
	}
	return p.evict(in, w, model.Size)
}

// loadTarget picks the engine that is to load a model: one in a zone with the fewest replicas, then the one with the
// most room. It gives nil where no engine has the room.
func (p *Planner) loadTarget(in Input, w shortage, size int64) *discovery.Engine {
	replicas := replicasByZone(in, w.model)
	var best *discovery.Engine
	var bestKey [2]int64
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if _, present := find(engine, w.model); present || !p.free(in, engine, w) {
			continue
		}
		room := p.room(in, engine)
		if room < size {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		key := [2]int64{int64(replicas[allowed.Zone]), -room}
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
		if _, present := find(engine, model); present {
			allowed, _ := in.Table.Engine(id)
			replicas[allowed.Zone]++
		}
	}
	return replicas
}

func sortedIDs(view *discovery.View) []ident.EngineID {
	ids := make([]ident.EngineID, 0, len(view.Engines))
	for id := range view.Engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// free says whether this engine could be given an order about what is wanted.
func (p *Planner) free(in Input, engine *discovery.Engine, w shortage) bool {
	_, resting := p.blockedUntil[placed{engine.ID, w.model, w.adapter}]
	_, inherited := p.inherited[engine.ID]
	return p.commandable(in, engine) && p.inFlight[engine.ID] == nil && !resting && !inherited
}

// room is what is left on an engine, counting all that is loaded, coming, or not yet surely gone.
func (p *Planner) room(in Input, engine *discovery.Engine) int64 {
	allowed, _ := in.Table.Engine(engine.ID)
	left := allowed.Capacity
	for _, held := range engine.Report.Models {
		if model, known := in.Table.Model(held.Model); known {
			left -= model.Size
		} else {
			// The size of what the catalogue no longer names is unknown, so the engine counts as full.
			return 0
		}
	}
	if inFlight := p.inFlight[engine.ID]; inFlight != nil && inFlight.Kind == engineapi.Load {
		if _, shown := find(engine, inFlight.Model); !shown {
			model, _ := in.Table.Model(inFlight.Model)
			left -= model.Size
		}
	}
	return left
}

// storeAllows keeps loads to the store's pace over the whole fleet.
// A load that nobody waits for leaves one place at the store for one that somebody will.
func (p *Planner) storeAllows(in Input, idle bool) bool {
	loading := 0
	for id, engine := range in.Engines.Engines {
		shown := ""
		for _, held := range engine.Report.Models {
			if held.State == engineapi.Loading {
				loading++
				shown = held.Model
			}
		}
		_, inherited := p.inherited[id]
		if inFlight := p.inFlight[id]; inFlight != nil && inFlight.Kind == engineapi.Load && inFlight.Model != shown || inherited && shown == "" {
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
