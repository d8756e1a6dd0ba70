package sessionplacement

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Unplaced is a model or adapter that is requested, has no replica, and is not likely to be loaded before Wait has passed.
type Unplaced struct {
	Model, Adapter string
	Wait           time.Duration
}

// maxWait bounds an estimate, and is the estimate for what no engine could ever load.
const maxWait = time.Minute

// recordUnplaced estimates how long something wanted has to wait. Of all that could be evicted for it, the one that is
// free soonest counts; but each shortage that is served before it uses up one of those.
func (p *Planner) recordUnplaced(in Input, wanted shortage) {
	ahead := 0
	for _, other := range p.Unplaced {
		if (other.Adapter == "") == (wanted.adapter == "") {
			ahead++
		}
	}
	waits := p.evictionWaits(in, wanted)
	slices.Sort(waits)
	wait := maxWait
	if ahead < len(waits) {
		wait = min(wait, waits[ahead])
	}
	p.Unplaced = append(p.Unplaced, Unplaced{wanted.model, wanted.adapter, wait})
}

// evictionWaits lists, for each model or adapter that could be evicted, after how long it may be.
func (p *Planner) evictionWaits(in Input, wanted shortage) []time.Duration {
	var out []time.Duration
	model, _ := in.Table.Model(wanted.model)
	for _, id := range sortedIDs(in.Engines) {
		engine := in.Engines.Engines[id]
		allowed, _ := in.Table.Engine(id)
		if !p.commandable(in, engine) {
			switch {
			case !in.Table.Open(id):
				// An operator may reopen at any time what an operator closed.
				out = append(out, 0)
			case !engine.Draining:
				out = append(out, half(in.Now, engine.ConditionSince))
			}
			continue
		}
		reported, present := reportedModel(engine, wanted.model)
		switch {
		case wanted.adapter == "" && present, wanted.adapter != "" && (!present || reported.State != engineapi.Loaded):
		case wanted.adapter != "":
			if loadedAdapterCount(engine) < allowed.AdapterSlots {
				out = append(out, 0)
			}
			out = append(out, p.adapterEvictionWaits(in, engine, wanted)...)
		case allowed.Capacity < model.Size:
		case p.freeCapacity(in, engine) >= model.Size || p.pending[id] != nil:
			// It waits for the store's rate limit or for a pending order: that is soon.
			out = append(out, 0)
		default:
			for _, other := range engine.Report.Models {
				stayed := in.Now.Since(p.loadedSince[placement{engine: id, model: other.Model}])
				wait := max(p.evictionWait(in, wanted, id, other.Model, ""), minResidence-stayed)
				if p.cost(in, item{model: other.Model}) == wanted.value {
					wait = max(wait, rotateMinResidence-stayed, rotateAfter-in.Now.Since(p.unplacedSince[wanted.item]))
				}
				out = append(out, wait)
			}
		}
	}
	return out
}

// adapterEvictionWaits is evictionWaits for the adapters of one engine.
func (p *Planner) adapterEvictionWaits(in Input, engine *discovery.Engine, wanted shortage) []time.Duration {
	var out []time.Duration
	for _, reported := range engine.Report.Models {
		for _, adapter := range reported.Adapters {
			wait := p.evictionWait(in, wanted, engine.ID, reported.Model, adapter)
			if p.cost(in, item{reported.Model, adapter}) == wanted.value {
				// Adapters of equal value don't rotate; the loaded one stays while it is requested.
				wait = max(wait, half(in.Now, p.requestedSince[item{reported.Model, adapter}]))
			}
			out = append(out, wait)
		}
	}
	return out
}

// evictionWait estimates for how long demand of a higher value or a session is likely to keep something loaded. What has
// lasted for a while is estimated to last half as long again, which holds for two in three.
func (p *Planner) evictionWait(in Input, wanted shortage, engine ident.EngineID, model, adapter string) time.Duration {
	wait := time.Duration(0)
	if key := (item{model, adapter}); p.cost(in, key) > wanted.value {
		wait = half(in.Now, p.requestedSince[key])
	}
	if since, assigned := p.assignedSince[placement{engine, model, adapter}]; assigned {
		wait = max(wait, half(in.Now, since))
	}
	return wait
}

// half is half of the time since a moment.
func half(now, since clock.Mark) time.Duration { return now.Since(since) / 2 }
