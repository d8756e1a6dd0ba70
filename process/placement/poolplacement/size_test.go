package poolplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// What the plan costs by its engines and by how many adapters are requested, for docs/CAPACITY.md:
// go test -run - -bench Size ./process/placement/poolplacement

const sizeModels = 140

func sizeSection(adapters int) *upstream.Section {
	catalogue := &upstream.Catalogue{Slots: 96, MemoryTokens: 120000, CapacityMb: 83000, AdapterSlots: 8, LoadsPerSecond: 2}
	for i := range sizeModels {
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: fmt.Sprintf("model%04x", i), SizeMb: 34300, LoadMs: 2000, Adapters: adapters / sizeModels, AdapterSizeMb: 40})
	}
	return &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "pool", Catalogue: catalogue}}}
}

func sizeView(engines int) *registry.View {
	view := &registry.View{Version: 1, Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
	for i := range engines {
		e := &registry.Engine{Registration: registry.Registration{ID: ident.EngineID(fmt.Sprintf("i-%08x", i)), Pool: "pool", Address: fmt.Sprintf("10.%d.%d.9:8080", i/250, i%250), Slots: 96}}
		view.Engines[e.ID] = e
		view.Pools["pool"] = append(view.Pools["pool"], e)
	}
	return view
}

// sizeDemand requests the first so many adapters, as the rows of several daemons.
func sizeDemand(active, daemons int) []Demand {
	var out []Demand
	for i := range active {
		for range daemons {
			out = append(out, Demand{Pool: "pool", Model: fmt.Sprintf("model%04x", i%sizeModels), Adapter: fmt.Sprint("a", 1+i/sizeModels), Running: 1, Tokens: 100, Arrivals: 0.05})
		}
	}
	return out
}

// settledPlanner is a planner that has read a report of every engine, each holding two models.
func settledPlanner(engines int, section *upstream.Section, view *registry.View, demand []Demand) (*Planner, clock.Mark) {
	now := clock.Mark(time.Hour)
	p := NewPlanner(DefaultSettings("owner", 3*time.Second), now)
	p.Step(Input{Now: now, Section: section, View: view, Demand: demand})
	for i := range engines {
		report := Report{Active: 20, MemoryUsed: 50000, Memory: 120000}
		for at := range 2 {
			report.Models = append(report.Models, registry.LoadedModel{Model: fmt.Sprintf("model%04x", (2*i+at)%sizeModels), Generation: 1})
		}
		p.Reported(now, now, ident.EngineID(fmt.Sprintf("i-%08x", i)), report, true)
	}
	return p, now
}

// BenchmarkSizeStep is one step of the plan, in which orders are given and none is answered.
func BenchmarkSizeStep(b *testing.B) {
	for _, size := range []struct{ engines, active, daemons int }{{12, 40, 8}, {100, 100, 8}, {350, 1000, 8}, {1400, 0, 1}, {1400, 1000, 1}, {1400, 1000, 8}, {1400, 10000, 1}, {1400, 87000, 1}} {
		b.Run(fmt.Sprintf("%d engines, %d adapters asked for at %d daemons each", size.engines, size.active, size.daemons), func(b *testing.B) {
			section, view, demand := sizeSection(87000), sizeView(size.engines), sizeDemand(size.active, size.daemons)
			p, now := settledPlanner(size.engines, section, view, demand)
			b.ReportAllocs()
			for b.Loop() {
				now += clock.Mark(p.settings.PlanInterval)
				p.Step(Input{Now: now, Section: section, View: view, Demand: demand})
			}
		})
	}
}

// BenchmarkSizeReport is one report taken up, and BenchmarkSizeDue the choice of whom to ask.
func BenchmarkSizeReport(b *testing.B) {
	section, view := sizeSection(87000), sizeView(1400)
	p, now := settledPlanner(1400, section, view, nil)
	report := Report{Models: []registry.LoadedModel{{Model: "model0001", Generation: 1}, {Model: "model0002", Generation: 1}}, Active: 20, MemoryUsed: 50000, Memory: 120000}
	b.ReportAllocs()
	turn := 0
	for b.Loop() {
		now++
		p.Reported(now, now, ident.EngineID(fmt.Sprintf("i-%08x", turn%1400)), report, true)
		turn++
	}
}

func BenchmarkSizeDue(b *testing.B) {
	section, view := sizeSection(87000), sizeView(1400)
	p, now := settledPlanner(1400, section, view, nil)
	b.ReportAllocs()
	for b.Loop() {
		now++
		p.Due(now)
	}
}
