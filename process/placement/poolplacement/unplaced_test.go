package poolplacement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// scarceFleet is a pool whose engines hold one model each, requested by one path of the most urgent rank and one of another.
type scarceFleet struct {
	t       *testing.T
	planner *Planner
	section *upstream.Section
	view    *registry.View
	now     clock.Mark
}

const (
	urgentRank, usualRank = 0, 1
	scarceLoad            = 4 * time.Second
	scarceDeadline        = 30 * time.Second
)

// newScarceFleet makes a pool of so many engines; each holds the model that placed gives it. The target is of the urgent path.
func newScarceFleet(t *testing.T, target time.Duration, placed ...string) *scarceFleet {
	catalogue := &upstream.Catalogue{Slots: 64, MemoryTokens: 100_000, CapacityMb: 10, AdapterSlots: 8, LoadsPerSecond: 100}
	seen := map[string]bool{}
	for _, name := range append([]string{"wanted"}, placed...) {
		if !seen[name] {
			seen[name] = true
			catalogue.Models = append(catalogue.Models, upstream.Model{Name: name, SizeMb: 10, LoadMs: scarceLoad.Milliseconds()})
		}
	}
	shares := []upstream.Share{{Pool: "pool", Weight: 1}}
	s := &scarceFleet{t: t, now: clock.Mark(time.Hour), view: sizeView(len(placed)), section: &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "pool", Catalogue: catalogue}},
		Paths: []upstream.Path{
			{Name: "urgent", Rank: urgentRank, DeadlineMs: scarceDeadline.Milliseconds(), TargetMs: target.Milliseconds(), Shares: shares},
			{Name: "usual", Rank: usualRank, DeadlineMs: scarceDeadline.Milliseconds(), TargetMs: 800, Shares: shares},
		}}}
	s.planner = NewPlanner(DefaultSettings("owner", 3*time.Second), s.now)
	s.step(nil)
	// Since nothing is known of loads before, the window counts as full at first.
	s.now += clock.Mark(s.planner.settings.Window)
	s.step(nil)
	for n, model := range placed {
		s.report(n, model)
	}
	return s
}

func (s *scarceFleet) report(n int, model string) {
	s.planner.Reported(s.now, s.now, ident.EngineID(fmt.Sprintf("i-%08x", n)), Report{Active: 6, Models: []registry.LoadedModel{{Model: model, Generation: 1}}}, true)
}

func (s *scarceFleet) step(demand []Demand) []Order {
	return s.planner.Step(Input{Now: s.now, Section: s.section, View: s.view, Demand: demand})
}

// idleDemand are requests for a model of the urgent path that come now and then, none of them waiting or running.
func idleDemand(model string) Demand {
	return Demand{Pool: "pool", Model: model, Arrivals: 0.14, Tokens: 250, Rank: urgentRank}
}

func queuedDemand(model string) Demand {
	demand := idleDemand(model)
	demand.Queued, demand.OldestWait = 1, 50*time.Millisecond
	return demand
}

// runUntilStable lets the longer past of a demand build up.
func (s *scarceFleet) runUntilStable(demand []Demand) {
	for range 300 {
		s.now += clock.Mark(100 * time.Millisecond)
		s.step(demand)
	}
}

// TestQueuedModelEvictsOneThatCanBeReloadedInTime: all are requested alike, but only one is waited for.
func TestQueuedModelEvictsOneThatCanBeReloadedInTime(t *testing.T) {
	others := []string{"a", "b", "c", "d", "e", "f"}
	for _, one := range []struct {
		target time.Duration
		placed bool
	}{{6 * time.Second, true}, {scarceLoad, false}} {
		s := newScarceFleet(t, one.target, others...)
		var demand []Demand
		for _, model := range others {
			demand = append(demand, idleDemand(model))
		}
		s.runUntilStable(demand)
		for n, model := range others {
			s.report(n, model)
		}
		orders := s.step(append(demand, queuedDemand("wanted")))
		if placed := len(orders) == 1 && orders[0].Kind == Evict; placed != one.placed {
			t.Errorf("with a target of %v and loads of %v: %+v", one.target, scarceLoad, orders)
		}
		if !one.placed && s.planner.Counters.Unplaced[obstacleValue] == 0 {
			t.Errorf("what was in the way is not counted: %v", s.planner.Counters.Unplaced)
		}
	}
}

// TestSurplusReplicaIsEvicted: of a model much requested, whose replicas have little to do, one more or less is no loss.
func TestSurplusReplicaIsEvicted(t *testing.T) {
	s := newScarceFleet(t, 6*time.Second, "much", "much", "much", "much", "much", "much", "a", "b")
	demand := []Demand{{Pool: "pool", Model: "much", Arrivals: 100, Tokens: 1000, Running: 1, Rank: usualRank}, {Pool: "pool", Model: "a", Arrivals: 2, Tokens: 4000, Running: 1, Rank: urgentRank},
		{Pool: "pool", Model: "b", Arrivals: 2, Tokens: 4000, Running: 1, Rank: urgentRank}}
	s.runUntilStable(demand)
	for n, model := range []string{"much", "much", "much", "much", "much", "much", "a", "b"} {
		s.report(n, model)
	}
	s.step(append(demand, queuedDemand("wanted")))
	given := 0
	for _, e := range s.planner.engines {
		if e.pending != nil || e.intent != nil {
			given++
			if !e.hasLoaded(registry.Target{Model: "much"}) {
				t.Errorf("%s gives way", e.report.Models[0].Model)
			}
		}
	}
	if given != 1 {
		t.Errorf("%d engines are made ready", given)
	}
}

// TestReplicationLeavesEnginesForUnplacedModels: many models whose replicas have a little too much to do don't take
// all engines for a load's time.
func TestReplicationLeavesEnginesForUnplacedModels(t *testing.T) {
	var placed []string
	const engines = 40
	for n := range engines {
		placed = append(placed, []string{"x", "y", "idle"}[n%3])
	}
	s := newScarceFleet(t, 6*time.Second, placed...)
	demand := []Demand{{Pool: "pool", Model: "x", Arrivals: 200, Tokens: 300_000, Running: 400, Rank: usualRank}, {Pool: "pool", Model: "y", Arrivals: 200, Tokens: 300_000, Running: 400, Rank: usualRank}}
	s.now += clock.Mark(2 * time.Second)
	for n, model := range placed {
		s.report(n, model)
	}
	s.step(demand)
	ordered := 0
	for _, e := range s.planner.engines {
		if e.intent != nil || e.pending != nil {
			ordered++
		}
	}
	if most := engines * maxReplicating; ordered == 0 || float64(ordered) > most {
		t.Errorf("%d of %d engines are to load further copies", ordered, engines)
	}
}

// TestRequestsQueuedForAdapterDoNotReplicateTheModel: more replicas would take the engines that could load it.
func TestRequestsQueuedForAdapterDoNotReplicateTheModel(t *testing.T) {
	for _, one := range []struct {
		adapter string
		copies  bool
	}{{"", true}, {"a1", false}} {
		placed := []string{"x", "x", "idle", "idle", "idle", "idle"}
		s := newScarceFleet(t, 6*time.Second, placed...)
		demand := []Demand{{Pool: "pool", Model: "x", Arrivals: 20, Tokens: 100, Rank: usualRank},
			{Pool: "pool", Model: "x", Adapter: one.adapter, Queued: 40, Rank: usualRank}, {Pool: "pool", Model: "idle", Arrivals: 1, Tokens: 10_000, Running: 1, Rank: usualRank}}
		s.runUntilStable(demand)
		for n, model := range placed {
			s.report(n, model)
		}
		s.step(demand)
		further := 0
		for _, e := range s.planner.engines {
			if e.intent != nil && e.intent.Target == (registry.Target{Model: "x"}) || e.pending != nil && e.pending.Target() == (registry.Target{Model: "x"}) {
				further++
			}
		}
		if (further > 0) != one.copies {
			t.Errorf("of those that ask for adapter %q 40 wait: %d further copies", one.adapter, further)
		}
	}
}

// TestSevereReplicaShortageComesBeforeAdapters: an engine takes one order at a time, and adapters would take them all.
func TestSevereReplicaShortageComesBeforeAdapters(t *testing.T) {
	placed := []string{"x", "y", "y", "y", "y", "y"}
	s := newScarceFleet(t, 6*time.Second, placed...)
	s.section.Pools[0].Catalogue.Models[2].Adapters, s.section.Pools[0].Catalogue.Models[2].AdapterSizeMb = 40, 0
	demand := []Demand{{Pool: "pool", Model: "x", Arrivals: 50, Tokens: 50_000, Running: 60, Rank: usualRank}}
	for n := range 40 {
		demand = append(demand, Demand{Pool: "pool", Model: "y", Adapter: fmt.Sprint("a", n+1), Arrivals: 0.5, Tokens: 10, Queued: 1, Rank: usualRank})
	}
	s.now += clock.Mark(2 * time.Second)
	for n, model := range placed {
		s.report(n, model)
	}
	s.step(demand)
	replicas, adapters := 0, 0
	for _, e := range s.planner.engines {
		switch {
		case e.intent != nil && e.intent.Model == "x" || e.pending != nil && e.pending.Model == "x":
			replicas++
		case e.pending != nil && e.pending.Adapter != "":
			adapters++
		}
	}
	if replicas == 0 || adapters == 0 {
		t.Errorf("%d engines get the model, %d adapters", replicas, adapters)
	}
}

// TestGrowingDemandIsForecast: arrivals that grow steadily request the replicas that they will need once a load has ended;
// chance does not.
func TestGrowingDemandIsForecast(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, one := range []struct {
		name    string
		arrival func(second float64) float64
		least   float64
		most    float64
	}{
		{"steady", func(float64) float64 { return 50 }, 1, 1},
		{"a wave of a tenth", func(s float64) float64 { return 50 + 5*math.Sin(s) }, 0.7, 1.4},
		{"growing", func(s float64) float64 { return 20 + 8*s }, 1.5, maxGrowth},
		{"falling", func(s float64) float64 { return 100 - 8*s }, 1 / float64(maxGrowth), 0.7},
		{"nothing", func(float64) float64 { return 0 }, 1, 1},
	} {
		item := &itemDemand{loadTime: scarceLoad, previousArrivals: one.arrival(0)}
		for n := range 50 {
			item.arrivals = one.arrival(float64(n) * step.Seconds())
			item.updateSlope(step)
		}
		if growth := item.growth(); growth < one.least || growth > one.most {
			t.Errorf("%s: foreseen to be %.2f times as much", one.name, growth)
		}
	}
}
