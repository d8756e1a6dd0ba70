package placement

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// commandable says whether an engine may be given orders.
func (p *Planner) commandable(in Input, engine *engines.Engine) bool {
	return engine.Usable() && in.Table.Open(engine.ID)
}

// serve finds the one order that brings what is wanted nearer.
func (p *Planner) serve(in Input, w wanted) (Directed, bool) {
	if w.adapter != "" {
		return p.serveAdapter(in, w)
	}
	model, _ := in.Table.Model(w.model)
	zones := map[ident.ZoneID]int{}
	for id, engine := range in.Engines.Engines {
		if _, present := find(engine, w.model); present {
			allowed, _ := in.Table.Engine(id)
			zones[allowed.Zone]++
		}
	}
	var best *engines.Engine
	var bestKey [3]int64
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		if !p.free(in, engine, w) {
			continue
		}
		if _, present := find(engine, w.model); present {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		room := p.room(in, engine)
		// A zone that has no replica yet goes first, then the engine with the most room.
		key := [3]int64{int64(zones[allowed.Zone]), -room, 0}
		if room < model.Size {
			continue
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = engine, key
		}
	}
	if best != nil {
		if !p.storeAllows(in, w.idle) {
			return Directed{}, false
		}
		p.lastLoad, p.loaded = in.Now, true
		return p.give(in, best, engineapi.Order{Kind: engineapi.Load, Model: w.model}), true
	}
	if w.idle || p.unloading(in) {
		return Directed{}, false
	}
	return p.evict(in, w, model.Size)
}

func sortedIDs(view *engines.View) []ident.EngineID {
	ids := make([]ident.EngineID, 0, len(view.Engines))
	for id := range view.Engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// free says whether this engine could be given an order about what is wanted.
func (p *Planner) free(in Input, engine *engines.Engine, w wanted) bool {
	_, resting := p.restful[place{engine.ID, w.model, w.adapter}]
	_, untold := p.inherited[engine.ID]
	return p.commandable(in, engine) && p.inFlight[engine.ID] == nil && !resting && !untold
}

// room is what is left on an engine, counting all that is loaded, coming, or not yet surely gone.
func (p *Planner) room(in Input, engine *engines.Engine) int64 {
	allowed, _ := in.Table.Engine(engine.ID)
	left := allowed.Room
	for _, held := range engine.Report.Models {
		if model, known := in.Table.Model(held.Model); known {
			left -= model.Size
		} else {
			// The size of what the catalogue no longer names is unknown, so the engine counts as full.
			return 0
		}
	}
	if flight := p.inFlight[engine.ID]; flight != nil && flight.Kind == engineapi.Load {
		if _, shown := find(engine, flight.Model); !shown {
			model, _ := in.Table.Model(flight.Model)
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
		_, untold := p.inherited[id]
		if flight := p.inFlight[id]; flight != nil && flight.Kind == engineapi.Load && flight.Model != shown || untold && shown == "" {
			loading++
		}
	}
	gap := time.Duration(in.Table.Spec.Store.LoadGapMs) * time.Millisecond
	most := in.Table.Spec.Store.LoadsAtOnce
	if idle && most > 1 {
		most--
	}
	return loading < most && (!p.loaded || in.Now.Since(p.lastLoad) >= gap)
}
