package poolplacement

import (
	"testing"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// What an engine holds that is shut, or is to be, is no replica: it is loaded elsewhere, and nothing onto the engine.
func TestModelsOfDrainingEnginesAreLoadedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		shut, emptying bool
		loads          bool
	}{"open": {}, "shut": {shut: true, loads: true}, "to be shut": {emptying: true, loads: true}} {
		catalogue := &upstream.Catalogue{CapacityMb: 100, LoadsPerSecond: 5, Models: []upstream.Model{{Name: "m", SizeMb: 10, LoadMs: 1000}, {Name: "n", SizeMb: 10, LoadMs: 1000}}}
		section := &upstream.Section{Pools: []upstream.Pool{{Name: "pool", Catalogue: catalogue}}, Paths: []upstream.Path{{Name: "a", Shares: []upstream.Share{{Pool: "pool", Weight: 1}}}}}
		view := &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
		for _, id := range []ident.EngineID{"holds", "free"} {
			engine := &registry.Engine{Registration: registry.Registration{ID: id, Pool: "pool", Address: string(id), Slots: 8}}
			view.Engines[id] = engine
			view.Pools["pool"] = append(view.Pools["pool"], engine)
		}
		now := clock.Mark(1e12)
		planner := NewPlanner(DefaultSettings("x", fakeLease), now)
		in := Input{Section: section, View: view, Demand: []Demand{{Pool: "pool", Model: "m", Arrivals: 0.2, Tokens: 200}}}
		if c.shut {
			in.Closed = func(engine *registry.Engine) bool { return engine.ID == "holds" }
		}
		if c.emptying {
			in.Draining = map[ident.EngineID]bool{"holds": true}
		}
		var orders []Order
		for range 80 {
			now += clock.Mark(1e8)
			in.Now = now
			orders = append(orders, planner.Step(in)...)
			for _, ask := range planner.Due(now) {
				report := Report{Memory: 1000}
				if ask.Engine == "holds" {
					report.Models = []registry.LoadedModel{{Model: "m"}}
				}
				planner.Reported(now, now, ask.Engine, report, true)
			}
			if len(orders) > 0 {
				break
			}
		}
		loaded := len(orders) > 0 && orders[0].Kind == Load && orders[0].Model == "m" && orders[0].Engine == "free"
		if loaded != c.loads {
			t.Errorf("%s: %+v", name, orders)
		}
	}
}
