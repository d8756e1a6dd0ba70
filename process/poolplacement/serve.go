package poolplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/mechanism"
	"github.com/cresspond/cresspond/process/registry"
)

const (
	// heldWeight is how many requests a second one held request counts for. It is little: what was held when a
	// load began comes late, and a load pays by what comes after.
	heldWeight = 0.05
	// debtWeight is the same of each request that came while what it asks for stood nowhere, so that all get a turn.
	debtWeight = 0.1
	// useWeight is the same of each that runs, or waits, at what would have to go.
	useWeight = 0.5
	// queueWeight is the same of each that is held though what it asks for stands somewhere.
	queueWeight = 0.25
	// above is from which share of what is fair one copy counts as too much asked for; below is up to which
	// the copies that stay must come out for one to count as too many.
	above, below = 1.2, 0.7
	// secondCopy is what a second copy is worth of all that is asked for, against the loss of an engine.
	secondCopy = 0.02
	// dearer is by how much something must be worth more than what makes way for it, loadPrice what it must be
	// worth besides, in requests a second, since it may have to come back.
	dearer    = 1.4
	loadPrice = 0.15
	// leastGain is what a load that nobody waits for must gain, in requests a second, to pay its price.
	leastGain = 0.015
	// leastAdapterGain is the same of an adapter, whose order is cheap.
	leastAdapterGain = 0.003
	// unheard is how many requests may be expected within the notice of something that goes without one.
	unheard = 0.04
	// evictSpan is how long an unload is expected to take until a report shows it.
	evictSpan = 500 * time.Millisecond
	// adapterTurn is how long an engine keeps its adapters in use between two trades of one for another.
	adapterTurn = 5 * time.Second
	// tradeCost is what a trade of adapters costs against a free place on a warmer engine.
	tradeCost = 1.0
	// adapterSpan is how long an adapter is expected to take.
	adapterSpan = 60 * time.Millisecond
)

// survey is one pool as a step looks at it.
type survey struct {
	p   *Planner
	now clock.Mark
	// since is how long ago the step before was.
	since   time.Duration
	pool    *pool
	asks    *asks
	engines []*engine
	// copies lists the usable engines that have, or are getting, a model and are not about to let go of it.
	copies map[string][]*engine
	// adapterCopies is the same of adapters.
	adapterCopies map[registry.Target][]*engine
	// fair is the tokens a second that each engine would have if all had the same.
	fair float64
	// running is the same of requests that run or wait.
	running float64
	// loading counts the loads of models under way, intents those that are being made ready for.
	loading, intents int
	// stillLoading counts the loads that go on for longer than it takes to make room.
	stillLoading int
	meanHeat     float64
	// open lists the engines that could be given an order when the placing of models began.
	open []*engine
}

func (p *Planner) survey(now clock.Mark, since time.Duration, made *pool) *survey {
	s := &survey{p: p, now: now, since: since, pool: made, asks: p.asks[made.name], copies: map[string][]*engine{}, adapterCopies: map[registry.Target][]*engine{}}
	if s.asks == nil {
		s.asks = &asks{}
	}
	usable := 0
	for _, id := range p.ids {
		e := p.engines[id]
		if e.pool != made {
			continue
		}
		s.engines = append(s.engines, e)
		if e.flight != nil && e.flight.burdensStore(now) {
			s.loading++
			if e.flight.burdensStore(now + clock.Mark(evictSpan)) {
				s.stillLoading++
			}
		}
		if e.intent != nil && e.intent.Adapter == "" {
			s.intents++
		}
		if !e.counts() {
			continue
		}
		usable++
		s.meanHeat += e.heat
		if e.emptying {
			continue
		}
		s.count(e)
	}
	for _, a := range s.asks.models {
		s.running += float64(a.running+a.held) / float64(max(1, usable))
	}
	if usable > 0 {
		s.fair, s.meanHeat = s.asks.tokens/float64(usable), s.meanHeat/float64(usable)
	}
	return s
}

// count notes what one usable engine has or is getting.
func (s *survey) count(e *engine) {
	for _, held := range e.report.Models {
		target := registry.Target{Model: held.Model}
		if e.going(target) {
			continue
		}
		s.copies[held.Model] = append(s.copies[held.Model], e)
		for _, adapter := range held.Adapters {
			target.Adapter = adapter
			if !e.going(target) {
				s.adapterCopies[target] = append(s.adapterCopies[target], e)
			}
		}
	}
	coming := func(target registry.Target) {
		switch {
		case e.holds(target):
		case target.Adapter == "":
			s.copies[target.Model] = append(s.copies[target.Model], e)
		default:
			s.adapterCopies[target] = append(s.adapterCopies[target], e)
		}
	}
	if e.flight != nil && e.flight.Kind == Load {
		coming(e.flight.Target())
	}
	if e.intent != nil {
		coming(e.intent.Target)
	}
}

// over says how far the share of one copy is above what is fair, from 0 to 1.
func (s *survey) over(tokens float64, copies int, from float64) float64 {
	if s.fair <= 0 || copies <= 0 {
		return 0
	}
	return min(1, max(0, tokens/(float64(copies)*s.fair)-from))
}

// strain says how much it matters that load is uneven: little while engines are mostly idle.
func strain(heat float64) float64 {
	return math.Pow(min(1, heat/0.4), 1.5)
}

func meanHeat(copies []*engine) float64 {
	total := 0.0
	for _, e := range copies {
		total += e.heat
	}
	return total / float64(max(1, len(copies)))
}

// press says how hard a model's copies are pressed: the share of their places that are taken, by their
// reports or, sooner, by what is known to run and wait there.
func (s *survey) press(a *ask, copies []*engine) float64 {
	slots := 0
	for _, e := range copies {
		slots += e.slots
	}
	return max(meanHeat(copies), float64(a.running+a.held)/float64(max(1, slots)))
}

// uneven says how far the share of one copy of so many is above what is fair, by what arrives and by what runs.
func (s *survey) uneven(a *ask, copies int, from float64) float64 {
	over := s.over(a.tokens, copies, from)
	if s.running > 0 {
		over = max(over, min(1, max(0, float64(a.running+a.held)/(float64(copies)*s.running)-from)))
	}
	return over
}

// gain is what one more copy would bring, in requests a second; urgent says that somebody waits for it.
func (s *survey) gain(a *ask, copies []*engine) (gain float64, urgent bool) {
	if len(copies) == 0 {
		gain = a.rate() + heldWeight*float64(a.held)
		if !s.off(mechanism.Debt) {
			gain += debtWeight * a.debt
		}
		return gain, a.held > 0 || a.arrivals > 0.05
	}
	// Some copy stands or is on its way: one more helps as far as those are overloaded.
	if !s.off(mechanism.CopiesByDemand) {
		gain = a.rate()*s.uneven(a, len(copies), above)*strain(s.press(a, copies)) + queueWeight*max(0, a.heldSlow-1)*strain(s.press(a, copies))
	}
	if len(copies) == 1 && !s.off(mechanism.SecondCopies) {
		// With a second copy no crash of one engine leaves nobody.
		gain = max(gain, secondCopy*a.rate())
	}
	return gain, gain > 0.5
}

// cost is what is lost, in requests a second, if one copy of something goes.
func (s *survey) cost(a *ask, copies []*engine) float64 {
	if a == nil {
		return 0
	}
	if len(copies) <= 1 {
		return a.rate() + useWeight*float64(a.held+a.running)
	}
	rest := len(copies) - 1
	heat := s.press(a, copies) * float64(len(copies)) / float64(rest)
	return a.rate()*(0.02+s.uneven(a, rest, below)*strain(heat)) + 0.1*float64(a.running)/float64(len(copies))
}

// light says whether something is asked for much less than an engine's share of all, and is not of the most
// urgent kind.
func (s *survey) light(a *ask) bool {
	return a.behind > 0 && a.rate()+float64(a.held)/4 < s.asks.arrivals/float64(4*max(1, len(s.engines)))
}

// want is one model or adapter that should stand on one more engine.
type want struct {
	registry.Target
	gain   float64
	urgent bool
	ask    *ask
}

func sortWants(wants []want) {
	slices.SortFunc(wants, func(a, b want) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.ask.rank, b.ask.rank), compareTargets(a.Target, b.Target))
	})
}

// advance gives the next order of each engine that is being made ready for something.
func (s *survey) advance() []Order {
	var orders []Order
	for _, e := range s.engines {
		if e.intent == nil {
			continue
		}
		if !e.counts() || e.intent.Adapter != "" && !e.holds(registry.Target{Model: e.intent.Model}) || s.pool.models[e.intent.Model] == nil || e.holds(e.intent.Target) {
			s.cancel(e)
			continue
		}
		if !e.ready(s.now) {
			continue
		}
		if order, ok := s.next(e); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (s *survey) cancel(e *engine) {
	if e.intent.Adapter == "" {
		s.intents--
	}
	s.p.Counters.Cancelled++
	e.intent = nil
}

// next gives the next order towards an engine's intent.
func (s *survey) next(e *engine) (Order, bool) {
	target := e.intent.Target
	if e.fits(target) {
		if target.Adapter == "" && !s.mayLoad(e, target, e.intent.urgent, false) {
			return Order{}, false
		}
		return s.load(e, target), true
	}
	for len(e.intent.victims) > 0 {
		victim := e.intent.victims[0]
		if !e.holds(victim) {
			e.intent.victims = e.intent.victims[1:]
			continue
		}
		if s.now.Since(e.intent.told) < s.notice(victim) {
			return Order{}, false
		}
		return s.p.give(s.now, e, Evict, victim, evictSpan), true
	}
	s.cancel(e)
	return Order{}, false
}

// notice is how long all daemons must have had to hear that something goes: none where nobody uses it and hardly
// anybody would ask meanwhile. Who does is told by the engine that it did not run, and waits like all others.
func (s *survey) notice(victim registry.Target) time.Duration {
	if s.off(mechanism.Notice) {
		return 0
	}
	a := s.asks.models[victim.Model]
	if victim.Adapter != "" {
		a = s.asks.adapters[victim]
	}
	if a == nil || a.running+a.held == 0 && a.arrivals*s.p.settings.Notice.Seconds() < unheard {
		return 0
	}
	return s.p.settings.Notice
}

// mayLoad says whether the store allows another load now. What nobody waits for leaves half of its pace
// for what somebody will.
func (s *survey) mayLoad(e *engine, target registry.Target, urgent, fresh bool) bool {
	return e.had[target.Model] || s.storeAllows(urgent, fresh)
}

// storeAllows says so of a model that the engine has not had.
func (s *survey) storeAllows(urgent, fresh bool) bool {
	free := s.p.pace.free(s.now, s.pool.most)
	if fresh {
		free -= s.intents
	}
	if urgent {
		return free > 0 && s.loading < s.pool.atOnce
	}
	return free > s.pool.most/2 && s.loading < max(1, s.pool.atOnce/2)
}

// mayMakeRoom says whether room may be made for what somebody waits for: the store need not be free before there
// is room for what it gives.
func (s *survey) mayMakeRoom() bool {
	return s.p.pace.free(s.now, s.pool.most) > s.intents && s.stillLoading+s.intents < s.pool.atOnce
}

// load orders a target onto an engine that has the room.
func (s *survey) load(e *engine, target registry.Target) Order {
	e.intent = nil
	if target.Adapter != "" {
		return s.p.give(s.now, e, Load, target, adapterSpan)
	}
	s.loading++
	return s.p.give(s.now, e, Load, target, s.loadSpan(e, target, s.loading))
}

// loadSpan is how long a load is expected to take with so many under way.
func (s *survey) loadSpan(e *engine, target registry.Target, loading int) time.Duration {
	span := time.Duration(s.pool.models[target.Model].LoadMs) * time.Millisecond
	if loading > s.pool.atOnce {
		span = span * time.Duration(loading) / time.Duration(s.pool.atOnce)
	}
	if e.had[target.Model] {
		span /= 2
	}
	return span
}

// serveModels places the models that should stand on one more engine.
func (s *survey) serveModels() []Order {
	var wants []want
	for name, a := range s.asks.models {
		copies := s.copies[name]
		a.owe(len(copies) > 0, s.since)
		gain, urgent := s.gain(a, copies)
		if gain < leastGain && !urgent {
			continue
		}
		wants = append(wants, want{registry.Target{Model: name}, gain, urgent, a})
	}
	sortWants(wants)
	for _, e := range s.engines {
		if e.ready(s.now) && e.intent == nil {
			s.open = append(s.open, e)
		}
	}
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

func (s *survey) spanOf(model string) time.Duration {
	return time.Duration(s.pool.models[model].LoadMs) * time.Millisecond
}

func (s *survey) lack(target registry.Target, wait time.Duration) {
	s.p.Lacks = append(s.p.Lacks, Lack{s.pool.name, target.Model, target.Adapter, wait})
}

// placeModel finds the engine on which one more copy costs least. It gives the order if there is room,
// or notes that the engine is being made ready.
func (s *survey) placeModel(w want) (order Order, ordered bool, inTheWay obstacle) {
	if s.light(w.ask) && s.loading+s.intents >= max(1, len(s.engines)/3) {
		// An engine that loads can load nothing else for seconds. What few ask for takes its turn on some of
		// them, so that one is free when many begin to ask for something that stands nowhere.
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

// off says whether an experiment goes without a mechanism.
func (s *survey) off(m mechanism.Mechanism) bool { return s.p.settings.Off.Has(m) }

// dearer is by how much something must be worth more than what makes way for it.
func (s *survey) dearer() float64 {
	if s.off(mechanism.Hysteresis) {
		return 1
	}
	return dearer
}

// wayFor lists what must go from an engine so that a model fits, and what that costs.
func (s *survey) wayFor(e *engine, size float64, w want) (victims []registry.Target, cost float64, ok bool) {
	if size > e.pool.catalogue.RoomMb {
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
	if !w.urgent && !s.off(mechanism.Hysteresis) {
		factor = 2
	}
	if cost*factor+loadPrice >= w.gain {
		return nil, 0, false
	}
	// Making room takes time, and each unload is an order.
	return victims, cost + 0.05*float64(len(victims)), true
}

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
	mayTrade := s.now.Since(e.traded) >= adapterTurn || s.off(mechanism.AdapterTurns)
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

// Plans gives what is to be told of each engine whose part changed: at once what stands, goes and comes,
// and its load when that is another than was told.
func (p *Planner) Plans(now clock.Mark) map[ident.EngineID]registry.Plan {
	var out map[ident.EngineID]registry.Plan
	for _, id := range p.ids {
		e := p.engines[id]
		if !e.read {
			continue
		}
		next := p.planOf(now, e)
		if e.spoken && !differs(e, next, now.Since(e.toldAt)) {
			continue
		}
		e.told, e.toldAt, e.spoken = next, now, true
		if out == nil {
			out = map[ident.EngineID]registry.Plan{}
		}
		out[id] = next
	}
	return out
}

func (p *Planner) planOf(now clock.Mark, e *engine) registry.Plan {
	plan := registry.Plan{Models: e.report.Models, Active: e.report.Active, Queued: e.report.Queued, MemoryUsed: e.report.MemoryUsed, Memory: e.report.Memory}
	if f := e.flight; f != nil {
		if f.Kind == Evict {
			plan.Retiring = append(plan.Retiring, f.Target())
		} else {
			plan.Coming = append(plan.Coming, registry.Coming{Target: f.Target(), Ready: f.ready})
		}
	}
	if p.settings.TellShares {
		plan.Weights = p.judge.Weights(now, e.id)
	}
	if e.intent != nil {
		for _, victim := range e.intent.victims {
			if !slices.Contains(plan.Retiring, victim) {
				plan.Retiring = append(plan.Retiring, victim)
			}
		}
		ready := e.intent.told + clock.Mark(p.settings.Notice+time.Duration(len(e.intent.victims))*evictSpan)
		if model := e.pool.models[e.intent.Model]; e.intent.Adapter == "" && model != nil {
			ready += clock.Mark(time.Duration(model.LoadMs) * time.Millisecond)
		}
		plan.Coming = append(plan.Coming, registry.Coming{Target: e.intent.Target, Ready: max(ready, now)})
	}
	return plan
}

// weightsAgain is how often shares that are not all are told.
const weightsAgain = 2 * time.Second

// differs says whether something is worth telling anew.
func differs(e *engine, next registry.Plan, since time.Duration) bool {
	told := &e.told
	if !slices.Equal(told.Retiring, next.Retiring) || !slices.EqualFunc(told.Coming, next.Coming, func(a, b registry.Coming) bool { return a.Target == b.Target }) ||
		!slices.EqualFunc(told.Models, next.Models, func(a, b registry.Held) bool {
			return a.Model == b.Model && a.Generation == b.Generation && slices.Equal(a.Adapters, b.Adapters)
		}) {
		return true
	}
	// A share that is not told again in time is no longer believed.
	if !slices.Equal(told.Weights, next.Weights) || len(next.Weights) > 0 && since > weightsAgain {
		return true
	}
	moved := func(a, b, of float64) bool { return math.Abs(a-b) > of/8 }
	return (told.Queued > 0) != (next.Queued > 0) || moved(float64(told.Active), float64(next.Active), float64(e.slots)) ||
		moved(float64(told.MemoryUsed), float64(next.MemoryUsed), float64(next.Memory)) ||
		since > 5*time.Second && (told.Active != next.Active || told.MemoryUsed != next.MemoryUsed)
}
