package poolplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// modelCandidates lists the models that should be loaded on one more engine, the highest gain first: those placed before
// adapters, and all others. The first are those with queued requests and no replica, and those whose replicas are
// severely overloaded.
func (s *survey) modelCandidates() (first, others []candidate) {
	for name, item := range s.demand.models {
		replicas := s.replicas[name]
		item.countUnmet(len(replicas) > 0, s.since)
		gain, urgent := s.gain(item, replicas)
		if gain < minGain && !urgent {
			continue
		}
		one := candidate{registry.Target{Model: name}, gain, urgent, item}
		if len(replicas) == 0 && item.queued > 0 || len(replicas) > 0 && s.imbalance(item, len(replicas), above) >= severe {
			first = append(first, one)
		} else {
			others = append(others, one)
		}
	}
	sortCandidates(first)
	sortCandidates(others)
	return first, others
}

// listAvailable lists the engines that could be given an order now.
func (s *survey) listAvailable() {
	s.available = s.available[:0]
	for _, e := range s.engines {
		if e.ready(s.now) && e.intent == nil {
			s.available = append(s.available, e)
		}
	}
}

// placeModels places models in the given order, and counts why one that has queued requests is not placed.
func (s *survey) placeModels(candidates []candidate) []Order {
	var orders []Order
	waiting := 0
	for _, wanted := range candidates {
		order, ordered, obstacle := s.placeModel(wanted)
		placed := obstacle == noObstacle
		if !placed && len(s.replicas[wanted.Model]) == 0 && wanted.demand.queued > 0 {
			s.planner.Counters.Unplaced[obstacle]++
		}
		switch {
		case ordered:
			orders = append(orders, order)
		case !placed && len(s.replicas[wanted.Model]) == 0 && wanted.demand.queued > 0:
			waiting++
			s.recordUnplaced(wanted.Target, s.planner.loadWindow.freeAfter(s.now, s.pool.maxLoads)+s.pool.loadTime(wanted.Model)+time.Duration(float64(waiting)/max(0.1, s.pool.catalogue.LoadsPerSecond)*float64(time.Second)))
		}
	}
	return orders
}

// placeModel finds the engine on which one more replica costs least. It gives the order if there is capacity,
// or sets the engine's intent.
func (s *survey) placeModel(wanted candidate) (order Order, ordered bool, reason obstacle) {
	if s.mustWait(wanted) {
		// An engine that loads can load nothing else for seconds, so what can wait is placed on some of them only.
		return Order{}, false, obstacleTurn
	}
	best, victims, reason := s.cheapestEngine(wanted)
	if best == nil {
		return Order{}, false, reason
	}
	if len(s.replicas[wanted.Model]) > 0 {
		s.replicating++
	}
	s.replicas[wanted.Model] = append(s.replicas[wanted.Model], best)
	if len(victims) == 0 {
		return s.load(best, wanted.Target), true, noObstacle
	}
	best.intent = &intent{Target: wanted.Target, victims: victims, announcedAt: s.now, urgent: wanted.urgent}
	s.intents++
	for _, victim := range victims {
		// What is about to be evicted no longer counts as a replica.
		s.replicas[victim.Model] = slices.DeleteFunc(slices.Clone(s.replicas[victim.Model]), func(e *engine) bool { return e == best })
	}
	if order, ok := s.nextOrder(best); ok {
		return order, true, noObstacle
	}
	return Order{}, false, noObstacle
}

const (
	// utilizationCost is what a fully utilized engine costs over an idle one, in requests a second.
	utilizationCost = 0.05
	// storeCost is what a load from the store costs over one from the engine's disk, in requests a second.
	storeCost = 0.02
)

// cheapestEngine finds the engine on which a model costs least, with what has to be evicted there; nil and the reason
// where there is none.
func (s *survey) cheapestEngine(wanted candidate) (best *engine, bestVictims []registry.Target, reason obstacle) {
	bestCost := math.Inf(1)
	reason = obstacleEngines
	size := s.pool.size(wanted.Target)
	// The store allows a load on all engines or on none, so it is asked once for each model and not for each pair.
	allowed := s.storeAllows(wanted.urgent, true)
	evictionAllowed := allowed || wanted.urgent && s.mayEvictEarly()
	for _, e := range s.available {
		// Within a step an engine becomes unavailable only by what it was given in it.
		if e.pending != nil || e.intent != nil || e.hasLoaded(wanted.Target) || s.now < e.backoffs[wanted.Target] {
			continue
		}
		if !evictionAllowed && !e.loadedBefore[wanted.Model] {
			reason = max(reason, obstacleStore)
			continue
		}
		victims, cost, ok := s.victimsFor(e, size, wanted)
		if !ok {
			reason = max(reason, obstacleValue)
			continue
		}
		if !allowed && !e.loadedBefore[wanted.Model] && len(victims) == 0 {
			reason = max(reason, obstacleStore)
			continue
		}
		// An idle engine, and one that has the weights on its disk, is better.
		cost += utilizationCost * e.utilization
		if !e.loadedBefore[wanted.Model] {
			cost += storeCost
		}
		if cost < bestCost {
			best, bestVictims, bestCost = e, victims, cost
		}
	}
	return best, bestVictims, reason
}

// mustWait says whether too many engines load already for a model to begin: an item without a replica
// never waits if it is requested much, and waits while many engines load if it is requested little. A further replica
// waits while many engines get further replicas; the more overloaded its replicas, the more engines may.
func (s *survey) mustWait(wanted candidate) bool {
	engines := float64(len(s.engines))
	switch replicas := len(s.replicas[wanted.Model]); {
	case replicas > 0:
		most := engines * (minReplicating + (maxReplicating-minReplicating)*s.imbalance(wanted.demand, replicas, above))
		return s.replicating >= max(1, int(most))
	case s.isLight(wanted.demand):
		return s.loading+s.intents >= max(1, len(s.engines)/3)
	}
	return false
}

// countReplicating counts the engines that load, or are to load, a model that is loaded elsewhere too.
func (s *survey) countReplicating() {
	for _, e := range s.engines {
		model := ""
		switch {
		case e.intent != nil && e.intent.Adapter == "":
			model = e.intent.Model
		case e.pending != nil && e.pending.Kind == Load && e.pending.Adapter == "":
			model = e.pending.Model
		}
		if model != "" && len(s.replicas[model]) > 1 {
			s.replicating++
		}
	}
}

// evictable is a model that could be evicted: its size in MB, adapters included, and what its eviction costs in requests
// a second.
type evictable struct {
	target     registry.Target
	size, cost float64
}

// evictionOrderCost is what each eviction costs besides, in requests a second: it takes time, and each is an order.
const evictionOrderCost = 0.05

// idleEvictionMargin is the margin for a model without queued requests.
const idleEvictionMargin = 2

// victimsFor lists what must be evicted from an engine so that a model fits, and what that costs in requests a second.
func (s *survey) victimsFor(e *engine, size float64, wanted candidate) (victims []registry.Target, cost float64, ok bool) {
	if size > e.pool.catalogue.CapacityMb {
		return nil, 0, false
	}
	capacity, _ := e.freeCapacity()
	if capacity >= size {
		return nil, 0, true
	}
	var chosen []evictable
	for _, model := range s.evictables(e, wanted.urgent) {
		if capacity >= size {
			break
		}
		if model.cost*s.evictionMargin() >= wanted.gain {
			continue
		}
		chosen = append(chosen, model)
		capacity += model.size
	}
	if capacity < size {
		return nil, 0, false
	}
	victims, cost = necessary(chosen, capacity, size)
	margin := s.evictionMargin()
	if !wanted.urgent && !s.disabled(featuregates.Hysteresis) {
		margin = idleEvictionMargin
	}
	if cost*margin+loadPrice >= wanted.gain {
		return nil, 0, false
	}
	return victims, cost + evictionOrderCost*float64(len(victims)), true
}

// evictables lists the models of an engine that have been loaded for long enough, the cheapest by their size first.
func (s *survey) evictables(e *engine, urgent bool) []evictable {
	residence := minResidence
	if !urgent {
		residence = minIdleResidence
	}
	var models []evictable
	for _, loaded := range e.report.Models {
		target := registry.Target{Model: loaded.Model}
		model := s.pool.models[loaded.Model]
		if model == nil {
			// The catalogue no longer names it, so nobody can request it; its size shows once it is evicted.
			models = append(models, evictable{target, math.Inf(1), 0})
			continue
		}
		if s.now.Since(e.loadedSince[target]) < residence {
			continue
		}
		cost := s.cost(s.demand.models[loaded.Model], s.replicas[loaded.Model])
		models = append(models, evictable{target, model.SizeMb + float64(len(loaded.Adapters))*model.AdapterSizeMb, cost})
	}
	slices.SortFunc(models, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(a.cost/a.size, b.cost/b.size), cmp.Compare(b.size, a.size), compareTargets(a.target, b.target))
	})
	return models
}

// necessary leaves out what need not be evicted, the costliest first, where the capacity after all evictions is more than
// the size needed. It gives the rest with its cost. A model of unknown size (infinite) always stays in.
func necessary(chosen []evictable, capacity, size float64) (victims []registry.Target, cost float64) {
	slices.SortFunc(chosen, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(b.cost, a.cost), compareTargets(a.target, b.target))
	})
	for _, model := range chosen {
		if capacity-model.size >= size {
			capacity -= model.size
			continue
		}
		victims = append(victims, model.target)
		cost += model.cost
	}
	return victims, cost
}
