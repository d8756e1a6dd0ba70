package poolplacement

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// intent is what an engine is being made ready for.
type intent struct {
	registry.Target
	victims []registry.Target
	told    clock.Mark
	urgent  bool
}

// engine is what is known of one life of an engine.
type engine struct {
	id      ident.EngineID
	address string
	pool    *pool
	slots   int
	usable  bool
	// emptying says that what it holds is to stand elsewhere before it is shut.
	emptying bool
	report   Report
	// read says that a report was read; asked is when the newest one was asked for.
	read  bool
	asked clock.Mark
	// taken is how many orders it has taken, as far as is known.
	taken   uint64
	takenAt clock.Mark
	waitFor clock.Mark
	flight  *flight
	intent  *intent
	rests   map[registry.Target]clock.Mark
	had     map[string]bool
	came    map[registry.Target]clock.Mark
	// traded is when an adapter in use last made way for another.
	traded   clock.Mark
	failures int
	heat     float64
	asking   bool
	askNext  clock.Mark
	// fullAt is when a report last showed it full.
	fullAt clock.Mark
	// lost says that daemons get on so badly with it that what it holds had better stand elsewhere too.
	lost bool
	// told is what was last told of it, toldAt when.
	told   registry.Plan
	toldAt clock.Mark
	spoken bool
}

// dark says that an engine does not answer, whatever it beats.
func (e *engine) dark() bool { return e.failures >= darkAfter }

// counts says whether what it holds can be used.
func (e *engine) counts() bool { return e.usable && !e.dark() && !e.lost }

// ready says whether an engine may be given an order now.
func (e *engine) ready(now clock.Mark) bool {
	return e.counts() && !e.emptying && e.read && e.flight == nil && !e.report.Saturated && now.Since(e.asked) < freshReport && e.asked >= e.waitFor && e.report.Taken >= e.taken
}

// held finds a model that the newest report shows.
func (e *engine) held(model string) (registry.LoadedModel, bool) {
	for _, held := range e.report.Models {
		if held.Model == model {
			return held, true
		}
	}
	return registry.LoadedModel{}, false
}

// holds says whether the newest report shows a target.
func (e *engine) holds(target registry.Target) bool {
	held, found := e.held(target.Model)
	return found && (target.Adapter == "" || slices.Contains(held.Adapters, target.Adapter))
}

// going says whether a target is about to go: it is being evicted, or is to be.
func (e *engine) going(target registry.Target) bool {
	covers := func(other registry.Target) bool {
		return other.Model == target.Model && (other.Adapter == "" || other.Adapter == target.Adapter)
	}
	if e.flight != nil && e.flight.Kind == Evict && covers(e.flight.Target()) {
		return true
	}
	return e.intent != nil && slices.ContainsFunc(e.intent.victims, covers)
}

// left is the room and the adapter places that are left, counting all that is reported, ordered or
// perhaps ordered; what goes counts until a report shows that it has gone.
func (e *engine) left() (room float64, places int) {
	room, places = e.pool.catalogue.CapacityMb, e.pool.catalogue.AdapterSlots
	for _, held := range e.report.Models {
		model := e.pool.models[held.Model]
		if model == nil {
			// How large what the catalogue does not name is cannot be known: the engine counts as full.
			return 0, 0
		}
		room -= model.SizeMb + float64(len(held.Adapters))*model.AdapterSizeMb
		places -= len(held.Adapters)
	}
	if f := e.flight; f != nil && f.Kind == Load && !e.holds(f.Target()) {
		model := e.pool.models[f.Model]
		switch {
		case model == nil:
			return 0, 0
		case f.Adapter == "":
			room -= model.SizeMb
		default:
			room -= model.AdapterSizeMb
			places--
		}
	}
	return room, places
}

// fits says whether a target may be ordered onto an engine as things stand.
func (e *engine) fits(target registry.Target) bool {
	room, places := e.left()
	return room >= e.pool.size(target) && (target.Adapter == "" || places > 0)
}

// rest keeps an engine from getting any order before a report that is asked for after a while.
func (e *engine) rest(now clock.Mark, span time.Duration) {
	e.waitFor = max(e.waitFor, now+clock.Mark(span))
	e.askNext = min(e.askNext, e.waitFor)
}

// noteHeld keeps since when each thing has been there.
func (e *engine) noteHeld(now clock.Mark) {
	for target := range e.came {
		if !e.holds(target) {
			delete(e.came, target)
		}
	}
	note := func(target registry.Target) {
		if _, known := e.came[target]; !known {
			e.came[target] = now
		}
	}
	for _, held := range e.report.Models {
		if e.flight == nil || e.flight.Model != held.Model || e.flight.Adapter != "" || !e.report.Saturated {
			e.had[held.Model] = true
		}
		note(registry.Target{Model: held.Model})
		for _, adapter := range held.Adapters {
			note(registry.Target{Model: held.Model, Adapter: adapter})
		}
	}
}
