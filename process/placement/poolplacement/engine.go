package poolplacement

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// intent is what an engine is to load once its victims are evicted.
type intent struct {
	registry.Target
	victims     []registry.Target
	announcedAt clock.Mark
	urgent      bool
}

// engine is what is known of one incarnation of an engine.
type engine struct {
	id      ident.EngineID
	address string
	pool    *pool
	slots   int
	usable  bool
	// draining says that what it has loaded is to be loaded elsewhere before it is closed.
	draining bool
	report   Report
	// reportRead says that a report was read; reportRequested when the newest one was requested.
	reportRead      bool
	reportRequested clock.Mark
	// acceptedOrders is how many orders it has accepted, as far as is known.
	acceptedOrders uint64
	acceptedAt     clock.Mark
	notBefore      clock.Mark
	pending        *pendingOrder
	intent         *intent
	backoffs       map[registry.Target]clock.Mark
	loadedBefore   map[string]bool
	loadedSince    map[registry.Target]clock.Mark
	// lastAdapterSwap is when an adapter in use was last evicted for another.
	lastAdapterSwap  clock.Mark
	failures         int
	utilization      float64
	requestingReport bool
	nextReport       clock.Mark
	// lastFull is when a report last showed it full.
	lastFull clock.Mark
	// unreliable says that attempts there fail so often that what it has loaded should be loaded elsewhere too.
	unreliable bool
	// published is the plan that was last published, publishedAt when.
	published    registry.Plan
	publishedAt  clock.Mark
	hasPublished bool
}

// unreachable says that an engine does not answer requests for reports, though it may send heartbeats.
func (e *engine) unreachable() bool { return e.failures >= unreachableAfter }

// canServe says whether what it has loaded can be used.
func (e *engine) canServe() bool { return e.usable && !e.unreachable() && !e.unreliable }

// ready says whether an engine may be given an order now.
func (e *engine) ready(now clock.Mark) bool {
	return e.canServe() && !e.draining && e.reportRead && e.pending == nil && !e.report.Saturated && now.Since(e.reportRequested) < freshReport && e.reportRequested >= e.notBefore && e.report.Accepted >= e.acceptedOrders
}

// loadedModel finds a model that the newest report shows.
func (e *engine) loadedModel(model string) (registry.LoadedModel, bool) {
	for _, loaded := range e.report.Models {
		if loaded.Model == model {
			return loaded, true
		}
	}
	return registry.LoadedModel{}, false
}

// hasLoaded says whether the newest report shows a target.
func (e *engine) hasLoaded(target registry.Target) bool {
	loaded, found := e.loadedModel(target.Model)
	return found && (target.Adapter == "" || slices.Contains(loaded.Adapters, target.Adapter))
}

// isRetiring says whether a target is being evicted, or is about to be.
func (e *engine) isRetiring(target registry.Target) bool {
	covers := func(other registry.Target) bool {
		return other.Model == target.Model && (other.Adapter == "" || other.Adapter == target.Adapter)
	}
	if e.pending != nil && e.pending.Kind == Evict && covers(e.pending.Target()) {
		return true
	}
	return e.intent != nil && slices.ContainsFunc(e.intent.victims, covers)
}

// freeCapacity is the capacity in MB and the adapter slots that are left, counting all that is reported, ordered or
// perhaps ordered; what is evicted counts until a report shows that it is gone.
func (e *engine) freeCapacity() (capacity float64, adapterSlots int) {
	capacity, adapterSlots = e.pool.catalogue.CapacityMb, e.pool.catalogue.AdapterSlots
	for _, loaded := range e.report.Models {
		model := e.pool.models[loaded.Model]
		if model == nil {
			// The size of what the catalogue does not name is unknown: the engine counts as full.
			return 0, 0
		}
		capacity -= model.SizeMb + float64(len(loaded.Adapters))*model.AdapterSizeMb
		adapterSlots -= len(loaded.Adapters)
	}
	if f := e.pending; f != nil && f.Kind == Load && !e.hasLoaded(f.Target()) {
		model := e.pool.models[f.Model]
		switch {
		case model == nil:
			return 0, 0
		case f.Adapter == "":
			capacity -= model.SizeMb
		default:
			capacity -= model.AdapterSizeMb
			adapterSlots--
		}
	}
	return capacity, adapterSlots
}

// fits says whether a target may be ordered onto an engine as things stand.
func (e *engine) fits(target registry.Target) bool {
	capacity, adapterSlots := e.freeCapacity()
	return capacity >= e.pool.size(target) && (target.Adapter == "" || adapterSlots > 0)
}

// backOff allows no order to an engine before a report that is requested after a while.
func (e *engine) backOff(now clock.Mark, span time.Duration) {
	e.notBefore = max(e.notBefore, now+clock.Mark(span))
	e.nextReport = min(e.nextReport, e.notBefore)
}

// trackLoaded keeps since when each model and adapter has been loaded.
func (e *engine) trackLoaded(now clock.Mark) {
	for target := range e.loadedSince {
		if !e.hasLoaded(target) {
			delete(e.loadedSince, target)
		}
	}
	track := func(target registry.Target) {
		if _, known := e.loadedSince[target]; !known {
			e.loadedSince[target] = now
		}
	}
	for _, loaded := range e.report.Models {
		if e.pending == nil || e.pending.Model != loaded.Model || e.pending.Adapter != "" || !e.report.Saturated {
			e.loadedBefore[loaded.Model] = true
		}
		track(registry.Target{Model: loaded.Model})
		for _, adapter := range loaded.Adapters {
			track(registry.Target{Model: loaded.Model, Adapter: adapter})
		}
	}
}
