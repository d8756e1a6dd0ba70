package poolplacement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// grownDemand is what daemons request of many models, few of them often; so many rows in all.
func grownDemand(models, daemons, rows int, arrivals float64) []Demand {
	random := rand.New(rand.NewPCG(7, 7))
	weight, total := make([]float64, models), 0.0
	for i := range weight {
		weight[i] = 1 / math.Pow(float64(i+1), 0.9)
		total += weight[i]
	}
	var out []Demand
	for i := range models {
		for range max(1, min(daemons, rows*i/models)) {
			one := Demand{Pool: "pool", Model: fmt.Sprintf("model%04x", i), Rank: 1 + i%2, Arrivals: arrivals * weight[i] / total / float64(max(1, min(daemons, rows*i/models)))}
			one.Tokens = one.Arrivals * 3000
			if random.IntN(20) == 0 {
				one.Queued = 1
			}
			out = append(out, one)
		}
	}
	return out
}

// grownPlanner has read a report of each of so many engines, all full of the models most requested.
func grownPlanner(engines, models int) (*Planner, *upstream.Section, clock.Mark) {
	section := sizeSection(0)
	catalogue := section.Pools[0].Catalogue
	catalogue.CapacityMb, catalogue.LoadsPerSecond, catalogue.Models = 200000, 40, nil
	for i := range models {
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: fmt.Sprintf("model%04x", i), SizeMb: 60000, LoadMs: 2000, Adapters: 2, AdapterSizeMb: 40})
	}
	now := clock.Mark(time.Hour)
	p := NewPlanner(DefaultSettings("owner", 3*time.Second), now)
	p.Step(Input{Now: now, Section: section, View: sizeView(engines)})
	grownReports(p, now, engines, models)
	return p, section, now
}

func grownReports(p *Planner, now clock.Mark, engines, models int) {
	for i := range engines {
		report := Report{Active: 20, MemoryUsed: 50000, Memory: 150000}
		for at := range 3 {
			report.Models = append(report.Models, registry.LoadedModel{Model: fmt.Sprintf("model%04x", (3*i+at)%models), Generation: 1})
		}
		p.Reported(now, now, ident.EngineID(fmt.Sprintf("i-%08x", i)), report, true)
	}
}

// BenchmarkGrownStep is one step where every engine is full and ready, far more models are requested than stand
// anywhere, and the store is at its rate limit.
func BenchmarkGrownStep(b *testing.B) {
	const engines, models, daemons, rows = 140, 916, 63, 60
	view, demand := sizeView(engines), grownDemand(models, daemons, rows, 660)
	p, section, now := grownPlanner(engines, models)
	for i := range uint64(200) {
		p.loadWindow.begin(1+i, now+clock.Mark(time.Hour))
	}
	b.ReportAllocs()
	for b.Loop() {
		now += clock.Mark(p.settings.PlanInterval)
		b.StopTimer()
		grownReports(p, now, engines, models)
		b.StartTimer()
		if orders := p.Step(Input{Now: now, Section: section, View: view, Demand: demand}); len(orders) > 0 {
			b.Fatal("a load beyond the store's pace")
		}
	}
}
