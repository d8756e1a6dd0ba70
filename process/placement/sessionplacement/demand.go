package sessionplacement

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// lastRequest is when an item was last asked for, and for what worth.
type lastRequest struct {
	at    clock.Mark
	worth int64
}

// shortage is one model, or one adapter of it, that should stand on more engines than it does.
type shortage struct {
	item
	worth  int64
	queued int
	// idle says that nobody asks now: it may fill free room and push nothing out.
	idle bool
}

// requests is what the whole fleet asks for of one item.
type requests struct {
	queued, running int
	worth           int64
}

// itemsOf lists the model of a demand and, where it names one, the adapter.
func itemsOf(demand Demand) []item {
	model := item{model: demand.Model}
	if demand.Adapter == "" {
		return []item{model}
	}
	return []item{model, {demand.Model, demand.Adapter}}
}

// addUp sums the demand by item; a request for an adapter counts for its model too.
func addUp(demands []Demand) map[item]requests {
	sums := map[item]requests{}
	for _, demand := range demands {
		for _, key := range itemsOf(demand) {
			sum := sums[key]
			sum.queued += demand.Queued
			sum.running += demand.Running
			sum.worth = max(sum.worth, demand.Worth)
			sums[key] = sum
		}
	}
	return sums
}

// shortages lists what is lacking, the highest worth first.
func (p *Planner) shortages(in Input) []shortage {
	sums := addUp(in.Demand)
	out := p.requestedShortages(in, sums)
	out = append(out, p.idleShortages(in, sums)...)
	slices.SortFunc(out, compareShortages)
	return out
}

// requestedShortages lists what is asked for and stands on too few engines.
func (p *Planner) requestedShortages(in Input, sums map[item]requests) []shortage {
	var out []shortage
	for key, sum := range sums {
		if _, known := in.Table.Model(key.model); !known {
			continue
		}
		standing, slots := p.standing(in, key)
		p.noteLacking(in, key, sum.queued > 0 && standing == 0)
		// Where more waits than all who hold it can run at once, one more replica is needed.
		if sum.queued > 0 && (standing == 0 || sum.queued+sum.running > slots) {
			out = append(out, shortage{item: key, worth: sum.worth, queued: sum.queued})
		}
	}
	return out
}

// noteLacking keeps since when an item has been asked for that stands nowhere.
func (p *Planner) noteLacking(in Input, key item, lacking bool) {
	if !lacking {
		delete(p.lackingSince, key)
	} else if _, known := p.lackingSince[key]; !known {
		p.lackingSince[key] = in.Now
	}
}

// idleShortages lists the models of the spec's routes that nobody asks for and that stand nowhere.
func (p *Planner) idleShortages(in Input, sums map[item]requests) []shortage {
	best := map[string]int64{}
	for _, route := range in.Table.Configuration.Routes {
		for _, model := range route.Models {
			best[model] = max(best[model], route.Priority)
		}
	}
	var out []shortage
	for model, worth := range best {
		key := item{model: model}
		if standing, _ := p.standing(in, key); standing == 0 && sums[key].worth == 0 {
			out = append(out, shortage{item: key, worth: worth, idle: true})
		}
	}
	return out
}

// compareShortages puts what is asked for before what is idle, then the higher worth, then the longer queue.
func compareShortages(a, b shortage) int {
	return cmp.Or(cmp.Compare(idleRank(a), idleRank(b)), cmp.Compare(b.worth, a.worth), cmp.Compare(b.queued, a.queued),
		cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
}

func idleRank(s shortage) int {
	if s.idle {
		return 1
	}
	return 0
}

// standing counts the engines that have, or are getting, what is wanted, and the slots they offer.
func (p *Planner) standing(in Input, key item) (count, slots int) {
	for id, engine := range in.Engines.Engines {
		if !p.commandable(in, engine) {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		inFlight := p.inFlight[id]
		held, present := find(engine, key.model)
		has := present && held.State != engineapi.Unloading
		coming := inFlight != nil && inFlight.Model == key.model && inFlight.Kind == engineapi.Load
		if key.adapter != "" {
			has = has && slices.Contains(held.Adapters, key.adapter)
			coming = inFlight != nil && inFlight.Model == key.model && inFlight.Adapter == key.adapter && inFlight.Kind == engineapi.LoadAdapter
		}
		if leaving := inFlight != nil && inFlight.Kind == engineapi.Unload && inFlight.Model == key.model; has && !leaving || coming {
			count++
			slots += allowed.Slots
		}
	}
	return count, slots
}
