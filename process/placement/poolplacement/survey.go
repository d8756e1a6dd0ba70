package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

const (
	// heldWeight is how many requests a second one held request counts for. It is little: what was held when a
	// load began comes late, and a load pays by what comes after.
	heldWeight = 0.05
	// heldInTimeWeight is the same where a load that begins now ends in time for it.
	heldInTimeWeight = 0.2
	// debtWeight is the same of each request that came while what it asks for stood nowhere, so that all get a turn.
	debtWeight = 0.1
	// leastAbsence is the share of its rate that a model's only copy is worth at least, where it could come back in time
	// for whoever asks next.
	leastAbsence = 0.25
	// reaction is how long it takes besides the load itself until a model that is asked for serves.
	reaction = 900 * time.Millisecond
	// busyShare is the share of a pool's engines that may load until no more is lost by their number.
	busyShare = 0.66
	// severe is from how far above its fair share on a model's copies have far too much to do.
	severe = 0.5
	// leastCopying and mostCopying are the shares of a pool's engines that may get further copies when one more is to
	// begin, of a model whose copies have little too much to do, and far too much.
	leastCopying, mostCopying = 0.25, 0.75
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
	// copying counts the engines that get a further copy of what stands elsewhere.
	copying int
	// stillLoading counts the loads that go on for longer than it takes to make room.
	stillLoading int
	meanHeat     float64
	// occupied is the share taken of what loads need, when the step began.
	occupied float64
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
	s.countCopying()
	s.occupied = s.occupation()
	for _, a := range s.asks.models {
		s.running += a.pressing() / float64(max(1, usable))
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
	if s.off(featuregates.UnloadNotice) {
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

// load orders a target onto an engine that has the room.
func (s *survey) load(e *engine, target registry.Target) Order {
	e.intent = nil
	if target.Adapter != "" {
		return s.p.give(s.now, e, Load, target, adapterSpan)
	}
	s.loading++
	return s.p.give(s.now, e, Load, target, s.loadSpan(e, target, s.loading))
}

// off says whether an experiment goes without a mechanism.
func (s *survey) off(m featuregates.Mechanism) bool { return s.p.settings.Off.Has(m) }
