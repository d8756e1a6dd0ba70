package sessionplacement

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// lastRequest is when an item was last requested, and at what value.
type lastRequest struct {
	at    clock.Mark
	value int64
}

// shortage is a model, or an adapter of it, that should be loaded on more engines than it is.
type shortage struct {
	item
	value  int64
	queued int
	// idle says that there is no demand now: it may use free capacity and must not evict anything.
	idle bool
}

// requests is the demand of the whole fleet for one item.
type requests struct {
	queued, running int
	value           int64
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
			sum.value = max(sum.value, demand.Value)
			sums[key] = sum
		}
	}
	return sums
}

// shortages lists what is short of replicas, the highest value first.
func (p *Planner) shortages(in Input) []shortage {
	sums := addUp(in.Demand)
	out := p.requestedShortages(in, sums)
	out = append(out, p.idleShortages(in, sums)...)
	slices.SortFunc(out, compareShortages)
	return out
}

// requestedShortages lists what is requested and loaded on too few engines.
func (p *Planner) requestedShortages(in Input, sums map[item]requests) []shortage {
	var out []shortage
	for key, sum := range sums {
		if _, known := in.Table.Model(key.model); !known {
			continue
		}
		standing, slots := p.standing(in, key)
		p.recordUnplacedSince(in, key, sum.queued > 0 && standing == 0)
		// Where more is queued than the slots of all its replicas can run at once, one more replica is needed.
		if sum.queued > 0 && (standing == 0 || sum.queued+sum.running > slots) {
			out = append(out, shortage{item: key, value: sum.value, queued: sum.queued})
		}
	}
	return out
}

// recordUnplacedSince keeps since when an item has been requested without any replica.
func (p *Planner) recordUnplacedSince(in Input, key item, lacking bool) {
	if !lacking {
		delete(p.unplacedSince, key)
	} else if _, known := p.unplacedSince[key]; !known {
		p.unplacedSince[key] = in.Now
	}
}

// idleShortages lists the models of the configuration's routes that have neither demand nor a replica.
func (p *Planner) idleShortages(in Input, sums map[item]requests) []shortage {
	best := map[string]int64{}
	for _, route := range in.Table.Configuration.Routes {
		for _, model := range route.Models {
			best[model] = max(best[model], route.Priority)
		}
	}
	var out []shortage
	for model, value := range best {
		key := item{model: model}
		if standing, _ := p.standing(in, key); standing == 0 && sums[key].value == 0 {
			out = append(out, shortage{item: key, value: value, idle: true})
		}
	}
	return out
}

// compareShortages orders by demand before idleness, then by the higher value, then by the longer queue. The names come
// last, so that a plan does not depend on the order of a map.
func compareShortages(a, b shortage) int {
	return cmp.Or(cmp.Compare(idleRank(a), idleRank(b)), cmp.Compare(b.value, a.value), cmp.Compare(b.queued, a.queued),
		cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
}

func idleRank(s shortage) int {
	if s.idle {
		return 1
	}
	return 0
}

// standing counts the engines that have loaded an item or are loading it, and the slots that they offer.
func (p *Planner) standing(in Input, key item) (count, slots int) {
	for id, engine := range in.Engines.Engines {
		if !p.commandable(in, engine) {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		pending := p.pending[id]
		reported, present := reportedModel(engine, key.model)
		has := present && reported.State != engineapi.Unloading
		coming := pending != nil && pending.Model == key.model && pending.Kind == engineapi.Load
		if key.adapter != "" {
			has = has && slices.Contains(reported.Adapters, key.adapter)
			coming = pending != nil && pending.Model == key.model && pending.Adapter == key.adapter && pending.Kind == engineapi.LoadAdapter
		}
		if unloading := pending != nil && pending.Kind == engineapi.Unload && pending.Model == key.model; has && !unloading || coming {
			count++
			slots += allowed.Slots
		}
	}
	return count, slots
}
