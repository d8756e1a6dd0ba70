package placement

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/wire/engineapi"
)

type wish struct {
	at    clock.Mark
	worth int64
}

// wanted is one model, or one adapter of it, that should stand on more engines than it does.
type wanted struct {
	want
	worth int64
	held  int
	// idle says that nobody asks now: it may fill free room and push nothing out.
	idle bool
}

// wants lists what is lacking, the highest worth first.
func (p *Planner) wants(in Input) []wanted {
	held, running, worth := map[want]int{}, map[want]int{}, map[want]int64{}
	for _, demand := range in.Demand {
		for _, key := range []want{{demand.Model, ""}, {demand.Model, demand.Adapter}} {
			if key.adapter == "" && demand.Adapter == "" && key != (want{demand.Model, demand.Adapter}) {
				continue
			}
			held[key] += demand.Queued
			running[key] += demand.Running
			worth[key] = max(worth[key], demand.Worth)
			if demand.Adapter == "" {
				break
			}
		}
	}
	var out []wanted
	for key := range worth {
		if _, known := in.Table.Model(key.model); !known {
			continue
		}
		standing, slots := p.standing(in, key)
		need := 0
		switch {
		case held[key] > 0 && standing == 0:
			need = 1
		case held[key] > 0 && held[key]+running[key] > slots:
			// More waits than all who hold it can run at once: one more replica.
			need = standing + 1
		}
		if standing > 0 || held[key] == 0 {
			delete(p.lackSince, key)
		} else if _, known := p.lackSince[key]; !known {
			p.lackSince[key] = in.Now
		}
		if need > standing {
			out = append(out, wanted{want: key, worth: worth[key], held: held[key]})
		}
	}
	best := map[string]int64{}
	for _, route := range in.Table.Spec.Routes {
		for _, model := range route.Models {
			best[model] = max(best[model], route.Worth)
		}
	}
	for model, bid := range best {
		key := want{model: model}
		if standing, _ := p.standing(in, key); standing == 0 && worth[key] == 0 {
			out = append(out, wanted{want: key, worth: bid, idle: true})
		}
	}
	slices.SortFunc(out, func(a, b wanted) int {
		idle := func(w wanted) int {
			if w.idle {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(idle(a), idle(b)), cmp.Compare(b.worth, a.worth), cmp.Compare(b.held, a.held),
			cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
	})
	return out
}

// standing counts the engines that have, or are getting, what is wanted, and the slots they offer.
func (p *Planner) standing(in Input, key want) (count, slots int) {
	for id, engine := range in.Engines.Engines {
		if !p.commandable(in, engine) {
			continue
		}
		allowed, _ := in.Table.Engine(id)
		flight := p.inFlight[id]
		held, present := find(engine, key.model)
		has := present && held.State != engineapi.Unloading
		coming := flight != nil && flight.Model == key.model && flight.Kind == engineapi.Load
		if key.adapter != "" {
			has = has && slices.Contains(held.Adapters, key.adapter)
			coming = flight != nil && flight.Model == key.model && flight.Adapter == key.adapter && flight.Kind == engineapi.LoadAdapter
		}
		if leaving := flight != nil && flight.Kind == engineapi.Unload && flight.Model == key.model; has && !leaving || coming {
			count++
			slots += allowed.Slots
		}
	}
	return count, slots
}
