package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Changed says whether the view is not what is known now.
func (c *Core) Changed() bool { return len(c.dirty) > 0 }

// View gives all engines as they are now; it is a new one only if something changed since the last.
func (c *Core) View() *View {
	if len(c.dirty) == 0 {
		return c.view
	}
	next := &View{Version: c.view.Version + 1, Engines: maps.Clone(c.view.Engines), Pools: maps.Clone(c.view.Pools)}
	pools := map[string]bool{}
	for id := range c.dirty {
		if before := next.Engines[id]; before != nil {
			pools[before.Pool] = true
			delete(next.Engines, id)
		}
		state := c.engines[id]
		if state == nil || !state.registered {
			// Of an engine that only its leaving is known of there is nothing to show.
			continue
		}
		shown := &Engine{Registration: state.registration, LastHeartbeat: state.lastHeartbeat, TimedOut: state.timedOut, Deregistered: state.deregistered, FirstSeen: state.firstSeen, Plan: state.plan}
		shown.Draining = state.draining
		next.Engines[id] = shown
		pools[shown.Pool] = true
	}
	for pool := range pools {
		delete(next.Pools, pool)
	}
	for _, engine := range next.Engines {
		if pools[engine.Pool] && !engine.Deregistered {
			next.Pools[engine.Pool] = append(next.Pools[engine.Pool], engine)
		}
	}
	for pool := range pools {
		slices.SortFunc(next.Pools[pool], func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	clear(c.dirty)
	c.view = next
	return next
}

// Engine is one registered engine as this daemon knows it. It is never changed once it is in a view.
type Engine struct {
	Registration
	// Heard is when a control daemon last heard a beat, by this daemon's own clock.
	LastHeartbeat clock.Mark
	// Silent engines have missed their beats; Gone ones said so, or were followed at their address.
	TimedOut, Deregistered bool
	// Known is when this daemon first knew of it.
	FirstSeen clock.Mark
	Plan      *Plan
}

// Usable says whether anything new may be sent to it.
func (e *Engine) Usable() bool { return !e.Draining && !e.Deregistered && !e.TimedOut }

// Models is what the engine holds, by the newest word there is.
func (e *Engine) Models() []LoadedModel {
	if e.Plan != nil && e.Plan.Models != nil {
		return e.Plan.Models
	}
	return e.Registration.Models
}

// Holds says whether it holds a model and, unless that is empty, an adapter of it, and is not about to let go of it.
func (e *Engine) Holds(model, adapter string) bool {
	if e.Plan != nil {
		for _, retiring := range e.Plan.Retiring {
			if retiring.Model == model && (retiring.Adapter == "" || retiring.Adapter == adapter) {
				return false
			}
		}
	}
	for _, loaded := range e.Models() {
		if loaded.Model == model {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

// View is all registered engines at one moment; it is never changed.
type View struct {
	// Version rises with each change.
	Version uint64
	Engines map[ident.EngineID]*Engine
	// Pools lists the engines of each pool, by id.
	Pools map[string][]*Engine
}
