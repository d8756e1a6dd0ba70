package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

const (
	// queuedWeight is how many requests a second one queued request counts for. It is little: a request that
	// was queued when a load began is served late, and a load pays by what comes after.
	queuedWeight = 0.05
	// queuedInTimeWeight is the same where a load that begins now ends in time for it.
	queuedInTimeWeight = 0.2
	// unmetWeight is the same of each request that came while what it requests had no replica, so that every model is placed in the end.
	unmetWeight = 0.1
	// minAbsenceLoss is the share of its rate that a model's only replica is worth at least, where it could be reloaded in
	// time for the next request.
	minAbsenceLoss = 0.25
	// reaction is how long it takes besides the load itself until a model that is requested serves.
	reaction = 900 * time.Millisecond
	// busyShare is the share of a pool's engines that may load until no more is lost by their number.
	busyShare = 0.66
	// severe is from how far above its fair share on a model's replicas have far too much to do.
	severe = 0.5
	// minReplicating and maxReplicating are the shares of a pool's engines that may get further replicas when one more is to
	// begin, of a model whose replicas have little too much to do, and far too much.
	minReplicating, maxReplicating = 0.25, 0.75
	// useWeight is the same of each that runs or is queued for what would be evicted.
	useWeight = 0.5
	// queueWeight is the same of each that is queued though what it requests has a replica.
	queueWeight = 0.25
	// above is from which share of what is fair one replica counts as overloaded; below is up to which
	// the remaining replicas must be loaded for one to count as surplus.
	above, below = 1.2, 0.7
	// secondReplicaShare is what a second replica is worth of all that is requested, against the loss of an engine.
	secondReplicaShare = 0.02
	// minEvictionMargin is by how much something must be worth more than what is evicted for it, loadPrice what it must be
	// worth besides, in requests a second, since it may have to be reloaded.
	minEvictionMargin = 1.4
	loadPrice         = 0.15
	// minGain is what a load without queued requests must gain, in requests a second, to pay its price.
	minGain = 0.015
	// minAdapterGain is the same of an adapter, whose order is cheap.
	minAdapterGain = 0.003
	// maxUnnotified is how many requests may be expected within the eviction notice of something evicted without one.
	maxUnnotified = 0.04
	// evictSpan is how long an unload is expected to take until a report shows it.
	evictSpan = 500 * time.Millisecond
	// minAdapterResidence is how long an engine keeps its adapters in use between two swaps of one for another.
	minAdapterResidence = 5 * time.Second
	// swapCost is what a swap of adapters costs against a free slot on a busier engine.
	swapCost = 1.0
	// adapterSpan is how long an adapter is expected to take to load.
	adapterSpan = 60 * time.Millisecond
)

// survey is the state of one pool during a step.
type survey struct {
	planner *Planner
	now     clock.Mark
	// since is the time since the step before.
	since   time.Duration
	pool    *pool
	demand  *poolDemand
	engines []*engine
	// replicas lists the usable engines that have loaded or are loading a model and are not about to evict it.
	replicas map[string][]*engine
	// adapterReplicas is the same of adapters.
	adapterReplicas map[registry.Target][]*engine
	// fairTokens is the tokens a second that each engine would have if all had the same.
	fairTokens float64
	// fairRunning is the same of requests that run or are queued.
	fairRunning float64
	// loading counts the loads of models under way, intents those that evictions are made for.
	loading, intents int
	// replicating counts the engines that get a further replica of what is loaded elsewhere.
	replicating int
	// stillLoading counts the loads that go on for longer than an eviction takes.
	stillLoading    int
	meanUtilization float64
	// occupied is the share of the store and of the engines that loads occupied when the step began.
	occupied float64
	// available lists the engines that could be given an order when the placing of models began.
	available []*engine
}

func (p *Planner) survey(now clock.Mark, since time.Duration, made *pool) *survey {
	s := &survey{planner: p, now: now, since: since, pool: made, demand: p.demand[made.name], replicas: map[string][]*engine{}, adapterReplicas: map[registry.Target][]*engine{}}
	if s.demand == nil {
		s.demand = &poolDemand{}
	}
	usable := 0
	for _, id := range p.ids {
		e := p.engines[id]
		if e.pool != made {
			continue
		}
		s.engines = append(s.engines, e)
		if e.pending != nil && e.pending.usesStore(now) {
			s.loading++
			if e.pending.usesStore(now + clock.Mark(evictSpan)) {
				s.stillLoading++
			}
		}
		if e.intent != nil && e.intent.Adapter == "" {
			s.intents++
		}
		if !e.canServe() {
			continue
		}
		usable++
		s.meanUtilization += e.utilization
		if e.draining {
			continue
		}
		s.countReplicas(e)
	}
	s.countReplicating()
	s.occupied = s.occupation()
	for _, item := range s.demand.models {
		s.fairRunning += item.demandOnReplicas() / float64(max(1, usable))
	}
	if usable > 0 {
		s.fairTokens, s.meanUtilization = s.demand.tokens/float64(usable), s.meanUtilization/float64(usable)
	}
	return s
}

// countReplicas counts what one usable engine has loaded or is loading.
func (s *survey) countReplicas(e *engine) {
	for _, loaded := range e.report.Models {
		target := registry.Target{Model: loaded.Model}
		if e.isRetiring(target) {
			continue
		}
		s.replicas[loaded.Model] = append(s.replicas[loaded.Model], e)
		for _, adapter := range loaded.Adapters {
			target.Adapter = adapter
			if !e.isRetiring(target) {
				s.adapterReplicas[target] = append(s.adapterReplicas[target], e)
			}
		}
	}
	addPending := func(target registry.Target) {
		switch {
		case e.hasLoaded(target):
		case target.Adapter == "":
			s.replicas[target.Model] = append(s.replicas[target.Model], e)
		default:
			s.adapterReplicas[target] = append(s.adapterReplicas[target], e)
		}
	}
	if e.pending != nil && e.pending.Kind == Load {
		addPending(e.pending.Target())
	}
	if e.intent != nil {
		addPending(e.intent.Target)
	}
}

// advanceIntents gives the next order of each engine that has an intent.
func (s *survey) advanceIntents() []Order {
	var orders []Order
	for _, e := range s.engines {
		if e.intent == nil {
			continue
		}
		if !e.canServe() || e.intent.Adapter != "" && !e.hasLoaded(registry.Target{Model: e.intent.Model}) || e.hasLoaded(e.intent.Target) {
			s.cancel(e)
			continue
		}
		if !e.ready(s.now) {
			continue
		}
		if order, ok := s.nextOrder(e); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// cancel drops an engine's intent.
func (s *survey) cancel(e *engine) {
	if e.intent.Adapter == "" {
		s.intents--
	}
	s.planner.Counters.Cancelled++
	e.intent = nil
}

// nextOrder gives the next order towards an engine's intent.
func (s *survey) nextOrder(e *engine) (Order, bool) {
	target := e.intent.Target
	if e.fits(target) {
		if target.Adapter == "" && !s.mayLoad(e, target, e.intent.urgent, false) {
			return Order{}, false
		}
		return s.load(e, target), true
	}
	for len(e.intent.victims) > 0 {
		victim := e.intent.victims[0]
		if !e.hasLoaded(victim) {
			e.intent.victims = e.intent.victims[1:]
			continue
		}
		if s.now.Since(e.intent.announcedAt) < s.evictionNotice(victim) {
			return Order{}, false
		}
		return s.planner.issue(s.now, e, Evict, victim, evictSpan), true
	}
	s.cancel(e)
	return Order{}, false
}

// evictionNotice is how long before an eviction it must have been published: no time where nothing uses the target and
// hardly any request is expected meanwhile. Such a request is refused by the engine, and is queued like all others.
func (s *survey) evictionNotice(victim registry.Target) time.Duration {
	if s.disabled(featuregates.UnloadNotice) {
		return 0
	}
	item := s.demand.models[victim.Model]
	if victim.Adapter != "" {
		item = s.demand.adapters[victim]
	}
	if item == nil || item.running+item.queued == 0 && item.arrivals*s.planner.settings.EvictionNotice.Seconds() < maxUnnotified {
		return 0
	}
	return s.planner.settings.EvictionNotice
}

// load orders a target onto an engine that has the capacity.
func (s *survey) load(e *engine, target registry.Target) Order {
	e.intent = nil
	if target.Adapter != "" {
		return s.planner.issue(s.now, e, Load, target, adapterSpan)
	}
	s.loading++
	return s.planner.issue(s.now, e, Load, target, s.loadSpan(e, target, s.loading))
}

// disabled says whether an experiment has switched a mechanism off.
func (s *survey) disabled(m featuregates.Mechanism) bool { return s.planner.settings.Off.Has(m) }
