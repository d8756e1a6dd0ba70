package poolplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// modelWants lists the models that should stand on one more engine, the most worth first: those that can't wait for
// adapters to have their turn, and all others. The first are those that somebody waits for and that stand nowhere, and
// those whose copies have far too much to do.
func (s *survey) modelWants() (first, others []want) {
	for name, a := range s.asks.models {
		copies := s.copies[name]
		a.owe(len(copies) > 0, s.since)
		gain, urgent := s.gain(a, copies)
		if gain < leastGain && !urgent {
			continue
		}
		one := want{registry.Target{Model: name}, gain, urgent, a}
		if len(copies) == 0 && a.held > 0 || len(copies) > 0 && s.uneven(a, len(copies), above) >= severe {
			first = append(first, one)
		} else {
			others = append(others, one)
		}
	}
	sortWants(first)
	sortWants(others)
	return first, others
}

// openEngines notes which engines could be given an order now.
func (s *survey) openEngines() {
	s.open = s.open[:0]
	for _, e := range s.engines {
		if e.ready(s.now) && e.intent == nil {
			s.open = append(s.open, e)
		}
	}
}

// serveModels places models.
func (s *survey) serveModels(wants []want) []Order {
	var orders []Order
	waiting := 0
	for _, w := range wants {
		order, ordered, obstacle := s.placeModel(w)
		placed := obstacle == noObstacle
		if !placed && len(s.copies[w.Model]) == 0 && w.ask.held > 0 {
			s.p.Counters.Unplaced[obstacle]++
		}
		switch {
		case ordered:
			orders = append(orders, order)
		case !placed && len(s.copies[w.Model]) == 0 && w.ask.held > 0:
			waiting++
			s.lack(w.Target, s.p.pace.frees(s.now, s.pool.most)+s.spanOf(w.Model)+time.Duration(float64(waiting)/max(0.1, s.pool.catalogue.LoadsPerSecond)*float64(time.Second)))
		}
	}
	return orders
}

// placeModel finds the engine on which one more copy costs least. It gives the order if there is room,
// or notes that the engine is being made ready.
func (s *survey) placeModel(w want) (order Order, ordered bool, inTheWay obstacle) {
	if s.mustWait(w) {
		// An engine that loads can load nothing else for seconds, so what can wait takes its turn on some of them.
		return Order{}, false, obstacleTurn
	}
	var best *engine
	var bestVictims []registry.Target
	bestCost := math.Inf(1)
	inTheWay = obstacleEngines
	size := s.pool.size(w.Target)
	// The store allows a load on all engines or on none, so it is asked once for each model and not for each pair.
	allowed := s.storeAllows(w.urgent, true)
	roomAllowed := allowed || w.urgent && s.mayMakeRoom()
	for _, e := range s.open {
		// Within a step an engine closes only by what it was given in it.
		if e.flight != nil || e.intent != nil || e.holds(w.Target) || s.now < e.rests[w.Target] {
			continue
		}
		if !roomAllowed && !e.had[w.Model] {
			inTheWay = max(inTheWay, obstacleStore)
			continue
		}
		victims, cost, ok := s.wayFor(e, size, w)
		if !ok {
			inTheWay = max(inTheWay, obstacleWorth)
			continue
		}
		if !allowed && !e.had[w.Model] && len(victims) == 0 {
			inTheWay = max(inTheWay, obstacleStore)
			continue
		}
		// A cool engine, and one that has the weights on its disk, is better.
		cost += 0.05 * e.heat
		if !e.had[w.Model] {
			cost += 0.02
		}
		if cost < bestCost {
			best, bestVictims, bestCost = e, victims, cost
		}
	}
	if best == nil {
		return Order{}, false, inTheWay
	}
	if len(s.copies[w.Model]) > 0 {
		s.copying++
	}
	s.copies[w.Model] = append(s.copies[w.Model], best)
	if len(bestVictims) == 0 {
		return s.load(best, w.Target), true, noObstacle
	}
	best.intent = &intent{Target: w.Target, victims: bestVictims, told: s.now, urgent: w.urgent}
	s.intents++
	for _, victim := range bestVictims {
		// What is about to go no longer counts as a copy.
		s.copies[victim.Model] = slices.DeleteFunc(slices.Clone(s.copies[victim.Model]), func(e *engine) bool { return e == best })
	}
	if order, ok := s.next(best); ok {
		return order, true, noObstacle
	}
	return Order{}, false, noObstacle
}

// mustWait says whether too many engines load already for a model to begin: what stands nowhere and many ask for never
// waits, what few ask for does while many engines load, and a further copy does while many engines get further copies,
// the fewer the more even its copies' share is.
func (s *survey) mustWait(w want) bool {
	engines := float64(len(s.engines))
	switch copies := len(s.copies[w.Model]); {
	case copies > 0:
		most := engines * (leastCopying + (mostCopying-leastCopying)*s.uneven(w.ask, copies, above))
		return s.copying >= max(1, int(most))
	case s.light(w.ask):
		return s.loading+s.intents >= max(1, len(s.engines)/3)
	}
	return false
}

// countCopying counts the engines that get, or are made ready for, a model that stands elsewhere too.
func (s *survey) countCopying() {
	for _, e := range s.engines {
		model := ""
		switch {
		case e.intent != nil && e.intent.Adapter == "":
			model = e.intent.Model
		case e.flight != nil && e.flight.Kind == Load && e.flight.Adapter == "":
			model = e.flight.Model
		}
		if model != "" && len(s.copies[model]) > 1 {
			s.copying++
		}
	}
}

// wayFor lists what must go from an engine so that a model fits, and what that costs.
func (s *survey) wayFor(e *engine, size float64, w want) (victims []registry.Target, cost float64, ok bool) {
	if size > e.pool.catalogue.CapacityMb {
		return nil, 0, false
	}
	room, _ := e.left()
	if room >= size {
		return nil, 0, true
	}
	type thing struct {
		target     registry.Target
		size, cost float64
	}
	var things []thing
	stay := minStay
	if !w.urgent {
		stay = idleStay
	}
	for _, held := range e.report.Models {
		model := s.pool.models[held.Model]
		if model == nil {
			// The catalogue no longer names it, so nobody can ask for it; how large it is shows once it has gone.
			things = append(things, thing{registry.Target{Model: held.Model}, math.Inf(1), 0})
			continue
		}
		target := registry.Target{Model: held.Model}
		if s.now.Since(e.came[target]) < stay {
			continue
		}
		cost := s.cost(s.asks.models[held.Model], s.copies[held.Model])
		things = append(things, thing{target, model.SizeMb + float64(len(held.Adapters))*model.AdapterSizeMb, cost})
	}
	slices.SortFunc(things, func(a, b thing) int {
		return cmp.Or(cmp.Compare(a.cost/a.size, b.cost/b.size), cmp.Compare(b.size, a.size), compareTargets(a.target, b.target))
	})
	var chosen []thing
	for _, t := range things {
		if room >= size {
			break
		}
		if t.cost*s.dearer() >= w.gain {
			continue
		}
		chosen = append(chosen, t)
		room += t.size
	}
	if room < size {
		return nil, 0, false
	}
	// What turned out not to be needed stays: the dearest first.
	slices.SortFunc(chosen, func(a, b thing) int {
		return cmp.Or(cmp.Compare(b.cost, a.cost), compareTargets(a.target, b.target))
	})
	for _, t := range chosen {
		if room-t.size >= size {
			room -= t.size
			continue
		}
		victims = append(victims, t.target)
		cost += t.cost
	}
	factor := s.dearer()
	if !w.urgent && !s.off(featuregates.Hysteresis) {
		factor = 2
	}
	if cost*factor+loadPrice >= w.gain {
		return nil, 0, false
	}
	// Making room takes time, and each unload is an order.
	return victims, cost + 0.05*float64(len(victims)), true
}
