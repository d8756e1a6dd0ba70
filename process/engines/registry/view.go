package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Engine is one registered engine as this daemon knows it. It is never changed once it is in a view.
type Engine struct {
	Registration
	// LastHeartbeat is when a control daemon last received a heartbeat that changed something, by this daemon's own
	// clock; see [Core.LastHeartbeats] for the newest.
	LastHeartbeat clock.Mark
	// TimedOut engines have missed their heartbeats or have a successor at their address. Deregistered ones stated it, or
	// have missed their heartbeats and have a successor.
	TimedOut, Deregistered bool
	// FirstSeen is when this daemon first knew of it.
	FirstSeen clock.Mark
	// Plan is nil as long as no planner has published one.
	Plan *Plan
}

// Usable reports whether anything new may be sent to it.
func (e *Engine) Usable() bool { return !e.Draining && !e.Deregistered && !e.TimedOut }

// Models is what the engine has loaded: by the planner, which reads its reports, or else by its own registration.
func (e *Engine) Models() []LoadedModel {
	if e.Plan != nil && e.Plan.Models != nil {
		return e.Plan.Models
	}
	return e.Registration.Models
}

// Holds reports whether it has loaded a model and, unless that is empty, an adapter of it, and is not about to unload it.
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
	// Version rises with each view of this daemon.
	Version uint64
	Engines map[ident.EngineID]*Engine
	// Pools lists the engines of each pool that are not deregistered, by id.
	Pools map[string][]*Engine
}

// Changed reports whether the next view differs from the last.
func (c *Core) Changed() bool { return len(c.dirty) > 0 }

// View gives all engines as they are now. It is the last view again if nothing changed since.
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
			// Of an engine without a registration only its draining is known; there is nothing to show.
			continue
		}
		engine := state.snapshot()
		next.Engines[id] = engine
		pools[engine.Pool] = true
	}
	next.rebuildPools(pools)
	clear(c.dirty)
	c.view = next
	return next
}

// snapshot gives an engine as views show it.
func (s *engineState) snapshot() *Engine {
	engine := &Engine{Registration: s.registration, LastHeartbeat: s.lastHeartbeat, TimedOut: s.timedOut, Deregistered: s.deregistered,
		FirstSeen: s.firstSeen, Plan: s.plan}
	engine.Draining = s.draining
	return engine
}

// rebuildPools lists the engines of these pools anew.
func (v *View) rebuildPools(pools map[string]bool) {
	for pool := range pools {
		delete(v.Pools, pool)
	}
	for _, engine := range v.Engines {
		if pools[engine.Pool] && !engine.Deregistered {
			v.Pools[engine.Pool] = append(v.Pools[engine.Pool], engine)
		}
	}
	for pool := range pools {
		slices.SortFunc(v.Pools[pool], func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	}
}
