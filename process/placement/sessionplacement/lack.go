package sessionplacement

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Lack is something that is asked for, stands nowhere, and is not likely to be loaded before Wait has passed.
type Lack struct {
	Model, Adapter string
	Wait           time.Duration
}

// longestWait bounds an estimate; what no engine could ever hold is lacking for that long.
const longestWait = time.Minute

// lack notes how long something wanted will have to wait. Of all that could make way for it, the one that
// is soonest free counts; but each shortage that is served before it takes one of those.
func (p *Planner) lack(in Input, w shortage) {
	ahead := 0
	for _, other := range p.Lacks {
		if (other.Adapter == "") == (w.adapter == "") {
			ahead++
		}
	}
	ways := p.waysFor(in, w)
	slices.Sort(ways)
	wait := longestWait
	if ahead < len(ways) {
		wait = min(wait, ways[ahead])
	}
	p.Lacks = append(p.Lacks, Lack{w.model, w.adapter, wait})
}

// waysFor lists, for each thing that could make way, after how long it may.
func (p *Planner) waysFor(in Input, w shortage) []time.Duration {
	var out []time.Duration
	model, _ := in.Table.Model(w.model)
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		allowed, _ := in.Table.Engine(id)
		if !p.commandable(in, engine) {
			switch {
			case !in.Table.Open(id):
				// What an operator closed an operator may open, at any time.
				out = append(out, 0)
			case !engine.Draining:
				out = append(out, half(in.Now, engine.ConditionSince))
			}
			continue
		}
		held, present := find(engine, w.model)
		switch {
		case w.adapter == "" && present, w.adapter != "" && (!present || held.State != engineapi.Loaded):
		case w.adapter != "":
			if adapters(engine) < allowed.AdapterSlots {
				out = append(out, 0)
			}
			out = append(out, p.waysOfAdapters(in, engine, w)...)
		case allowed.Capacity < model.Size:
		case p.room(in, engine) >= model.Size || p.inFlight[id] != nil:
			// It waits for the store's pace, or for an order that is under way: that is soon.
			out = append(out, 0)
		default:
			for _, other := range engine.Report.Models {
				stayed := in.Now.Since(p.since[placed{engine: id, model: other.Model}])
				way := max(p.wayOf(in, w, id, other.Model, ""), minStay-stayed)
				if p.cost(in, item{model: other.Model}) == w.worth {
					way = max(way, turnStay-stayed, turnAfter-in.Now.Since(p.lackingSince[w.item]))
				}
				out = append(out, way)
			}
		}
	}
	return out
}

func (p *Planner) waysOfAdapters(in Input, engine *discovery.Engine, w shortage) []time.Duration {
	var out []time.Duration
	for _, held := range engine.Report.Models {
		for _, adapter := range held.Adapters {
			way := p.wayOf(in, w, engine.ID, held.Model, adapter)
			if p.cost(in, item{held.Model, adapter}) == w.worth {
				// Adapters of equal bids take no turns; the one there stays while it is asked for.
				way = max(way, half(in.Now, p.requestedSince[item{held.Model, adapter}]))
			}
			out = append(out, way)
		}
	}
	return out
}

// wayOf says for how long a higher bid or a session is likely to keep something where it is. What has lasted
// for a while is taken to last half as long again: then two in three do.
func (p *Planner) wayOf(in Input, w shortage, engine ident.EngineID, model, adapter string) time.Duration {
	way := time.Duration(0)
	if key := (item{model, adapter}); p.cost(in, key) > w.worth {
		way = half(in.Now, p.requestedSince[key])
	}
	if since, assigned := p.assignedSince[placed{engine, model, adapter}]; assigned {
		way = max(way, half(in.Now, since))
	}
	return way
}

func half(now, since clock.Mark) time.Duration { return now.Since(since) / 2 }
