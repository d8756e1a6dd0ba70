package poolplacement

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// serveAdapters places the adapters that should stand on one more engine.
func (s *survey) serveAdapters() []Order {
	var wants []want
	for target, a := range s.asks.adapters {
		if target.Adapter == "" || len(s.copies[target.Model]) == 0 {
			continue
		}
		a.owe(len(s.adapterCopies[target]) > 0, s.since)
		gain, urgent := s.gain(a, s.adapterCopies[target])
		if gain < leastAdapterGain || len(s.adapterCopies[target]) >= len(s.copies[target.Model]) {
			continue
		}
		wants = append(wants, want{target, gain, urgent, a})
	}
	sortWants(wants)
	var orders []Order
	for _, w := range wants {
		order, ordered, placed := s.placeAdapter(w)
		switch {
		case ordered:
			orders = append(orders, order)
		case !placed && len(s.adapterCopies[w.Target]) == 0 && w.ask.oldest > time.Second:
			s.lack(w.Target, time.Second)
		}
	}
	return orders
}

// placeAdapter finds the engine on which one more copy of an adapter costs least.
func (s *survey) placeAdapter(w want) (order Order, ordered, placed bool) {
	var best *engine
	var bestVictims []registry.Target
	bestCost := math.Inf(1)
	for _, e := range s.copies[w.Model] {
		if !e.ready(s.now) || e.intent != nil || !e.holds(registry.Target{Model: w.Model}) || e.holds(w.Target) || s.now < e.rests[w.Target] {
			continue
		}
		victims, cost, ok := s.wayForAdapter(e, w)
		if !ok {
			continue
		}
		// A free place comes first, also on a warmer engine: what goes for another has to come back.
		if len(victims) > 0 {
			cost += tradeCost
		}
		if cost += e.heat; cost < bestCost {
			best, bestVictims, bestCost = e, victims, cost
		}
	}
	if best == nil {
		return Order{}, false, false
	}
	s.adapterCopies[w.Target] = append(s.adapterCopies[w.Target], best)
	if len(bestVictims) == 0 {
		return s.load(best, w.Target), true, true
	}
	best.intent = &intent{Target: w.Target, victims: bestVictims, told: s.now, urgent: w.urgent}
	for _, victim := range bestVictims {
		if s.inUse(victim) {
			best.traded = s.now
		}
		s.adapterCopies[victim] = slices.DeleteFunc(slices.Clone(s.adapterCopies[victim]), func(e *engine) bool { return e == best })
	}
	if order, ok := s.next(best); ok {
		return order, true, true
	}
	return Order{}, false, true
}

// inUse says whether an adapter is asked for by more than a chance request.
func (s *survey) inUse(adapter registry.Target) bool {
	return s.cost(s.asks.adapters[adapter], nil) >= leastAdapterGain
}

// wayForAdapter finds the adapter that makes way for another on an engine, if none of its places is free. Where
// more are asked for than there are places they take turns: each trade of one in use for another costs two orders
// and gains nobody more than the other loses, so it must be worth a turn's length.
func (s *survey) wayForAdapter(e *engine, w want) (victims []registry.Target, cost float64, ok bool) {
	if e.fits(w.Target) {
		return nil, 0, true
	}
	bestCost, found := math.Inf(1), false
	stay, factor := minStay, s.dearer()
	if len(s.adapterCopies[w.Target]) > 0 && !w.urgent {
		stay, factor = idleStay, 2
	}
	mayTrade := s.now.Since(e.traded) >= adapterTurn || s.off(featuregates.AdapterDwell)
	var victim registry.Target
	for _, held := range e.report.Models {
		if s.pool.models[held.Model] == nil || s.pool.models[held.Model].AdapterSizeMb < s.pool.size(w.Target) {
			// Its room would not do, whatever the places.
			if room, _ := e.left(); room < s.pool.size(w.Target) {
				continue
			}
		}
		for _, adapter := range held.Adapters {
			target := registry.Target{Model: held.Model, Adapter: adapter}
			if s.now.Since(e.came[target]) < stay || !mayTrade && s.inUse(target) {
				continue
			}
			if cost := s.cost(s.asks.adapters[target], s.adapterCopies[target]); cost < bestCost {
				victim, bestCost, found = target, cost, true
			}
		}
	}
	if !found || bestCost*factor+leastAdapterGain >= w.gain {
		return nil, 0, false
	}
	return []registry.Target{victim}, bestCost + 0.05, true
}
