package poolplacement

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// placeAdapters places the adapters that should be loaded on one more engine.
func (s *survey) placeAdapters() []Order {
	var candidates []candidate
	for target, item := range s.demand.adapters {
		if target.Adapter == "" || len(s.replicas[target.Model]) == 0 {
			continue
		}
		item.countUnmet(len(s.adapterReplicas[target]) > 0, s.since)
		gain, urgent := s.gain(item, s.adapterReplicas[target])
		if gain < minAdapterGain || len(s.adapterReplicas[target]) >= len(s.replicas[target.Model]) {
			continue
		}
		candidates = append(candidates, candidate{target, gain, urgent, item})
	}
	sortCandidates(candidates)
	var orders []Order
	for _, wanted := range candidates {
		order, ordered, placed := s.placeAdapter(wanted)
		switch {
		case ordered:
			orders = append(orders, order)
		case !placed && len(s.adapterReplicas[wanted.Target]) == 0 && wanted.demand.oldestWait > time.Second:
			s.recordUnplaced(wanted.Target, time.Second)
		}
	}
	return orders
}

// placeAdapter finds the engine on which one more replica of an adapter costs least.
func (s *survey) placeAdapter(wanted candidate) (order Order, ordered, placed bool) {
	var best *engine
	var bestVictims []registry.Target
	bestCost := math.Inf(1)
	for _, e := range s.replicas[wanted.Model] {
		if !e.ready(s.now) || e.intent != nil || !e.hasLoaded(registry.Target{Model: wanted.Model}) || e.hasLoaded(wanted.Target) || s.now < e.backoffs[wanted.Target] {
			continue
		}
		victims, cost, ok := s.adapterVictimFor(e, wanted)
		if !ok {
			continue
		}
		// A free slot comes first, also on a busier engine: what is evicted for another has to be loaded again.
		if len(victims) > 0 {
			cost += swapCost
		}
		if cost += e.utilization; cost < bestCost {
			best, bestVictims, bestCost = e, victims, cost
		}
	}
	if best == nil {
		return Order{}, false, false
	}
	s.adapterReplicas[wanted.Target] = append(s.adapterReplicas[wanted.Target], best)
	if len(bestVictims) == 0 {
		return s.load(best, wanted.Target), true, true
	}
	best.intent = &intent{Target: wanted.Target, victims: bestVictims, announcedAt: s.now, urgent: wanted.urgent}
	for _, victim := range bestVictims {
		if s.inUse(victim) {
			best.lastAdapterSwap = s.now
		}
		s.adapterReplicas[victim] = slices.DeleteFunc(slices.Clone(s.adapterReplicas[victim]), func(e *engine) bool { return e == best })
	}
	if order, ok := s.nextOrder(best); ok {
		return order, true, true
	}
	return Order{}, false, true
}

// inUse says whether an adapter is requested by more than an occasional request.
func (s *survey) inUse(adapter registry.Target) bool {
	return s.cost(s.demand.adapters[adapter], nil) >= minAdapterGain
}

// adapterVictimFor finds the adapter that is evicted for another on an engine, if none of its slots is free. Where
// more are requested than there are slots they rotate: each swap of one in use for another costs two orders and gains
// one what the other loses, so each stays for minAdapterResidence.
func (s *survey) adapterVictimFor(e *engine, wanted candidate) (victims []registry.Target, cost float64, ok bool) {
	if e.fits(wanted.Target) {
		return nil, 0, true
	}
	bestCost, found := math.Inf(1), false
	stay, factor := minResidence, s.evictionMargin()
	if len(s.adapterReplicas[wanted.Target]) > 0 && !wanted.urgent {
		stay, factor = minIdleResidence, 2
	}
	maySwap := s.now.Since(e.lastAdapterSwap) >= minAdapterResidence || s.disabled(featuregates.AdapterDwell)
	var victim registry.Target
	for _, loaded := range e.report.Models {
		if s.pool.models[loaded.Model] == nil || s.pool.models[loaded.Model].AdapterSizeMb < s.pool.size(wanted.Target) {
			// Its size would not do, whatever the slots.
			if capacity, _ := e.freeCapacity(); capacity < s.pool.size(wanted.Target) {
				continue
			}
		}
		for _, adapter := range loaded.Adapters {
			target := registry.Target{Model: loaded.Model, Adapter: adapter}
			if s.now.Since(e.loadedSince[target]) < stay || !maySwap && s.inUse(target) {
				continue
			}
			if cost := s.cost(s.demand.adapters[target], s.adapterReplicas[target]); cost < bestCost {
				victim, bestCost, found = target, cost, true
			}
		}
	}
	if !found || bestCost*factor+minAdapterGain >= wanted.gain {
		return nil, 0, false
	}
	return []registry.Target{victim}, bestCost + 0.05, true
}
