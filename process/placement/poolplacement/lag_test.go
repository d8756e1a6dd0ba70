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

// singleEngine is a planner and one engine that holds a model, with what it takes to play orders through them.
type singleEngine struct {
	t       *testing.T
	planner *Planner
	now     clock.Mark
	in      Input
	loaded  []registry.LoadedModel
	taken   uint64
	stamp   ident.SnowflakeID
	// lag is how far behind the truth the engine's reports are.
	lag time.Duration
}

const loneEngine = ident.EngineID("i-1")

func newSingleEngine(t *testing.T, catalogue upstream.Catalogue, lag time.Duration, loaded ...registry.LoadedModel) *singleEngine {
	t.Helper()
	listed := &registry.Engine{Registration: registry.Registration{ID: loneEngine, Pool: "p", Address: "a", Slots: 64}}
	view := &registry.View{Version: 1, Engines: map[ident.EngineID]*registry.Engine{loneEngine: listed}, Pools: map[string][]*registry.Engine{"p": {listed}}}
	l := &singleEngine{t: t, now: clock.Mark(time.Hour), lag: lag, loaded: loaded, in: Input{Section: &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p", Catalogue: &catalogue}}}, View: view}}
	l.planner = NewPlanner(DefaultSettings("x", fakeLease), l.now-clock.Mark(time.Minute))
	l.step()
	l.report(l.now)
	return l
}

func (l *singleEngine) step() []Order {
	l.in.Now = l.now
	return l.planner.Step(l.in)
}

// report has a report come that was requested at a moment, showing what the engine held a lag before.
func (l *singleEngine) report(asked clock.Mark) bool {
	return l.planner.Reported(l.now, asked, loneEngine, Report{Models: l.loaded, Accepted: l.taken, Memory: 1000}, true)
}

// play has an order be taken at once and done at its end, and gives how long after that it was resolved.
func (l *singleEngine) play(order Order, takes time.Duration, done func()) time.Duration {
	l.t.Helper()
	l.stamp++
	stamped, _, ok := l.planner.Stamp(order.Engine, l.stamp, 1)
	if !ok {
		l.t.Fatal("the order was not noted")
	}
	l.planner.Answered(l.now, stamped, Accepted)
	ended, shown := l.now+clock.Mark(takes), false
	for limit := l.now + clock.Mark(10*time.Second); l.now < limit; l.now += clock.Mark(l.planner.settings.PollInterval) {
		if len(l.planner.Due(l.now)) == 0 {
			continue
		}
		if !shown && l.now.Since(ended) >= l.lag {
			shown = true
			l.taken++
			done()
		}
		if l.report(l.now) {
			return l.now.Since(ended)
		}
	}
	l.t.Fatal("the order was never settled")
	return 0
}

func (l *singleEngine) ask(demand ...Demand) { l.in.Demand = demand }

// An order that takes some milliseconds is resolved as soon as reports, as far as they lag, can show it, and
// not a round of reports later. How far they lag is learned.
func TestOrderIsResolvedByTheFirstReportThatCanReflectIt(t *testing.T) {
	for _, lag := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		catalogue := upstream.Catalogue{Slots: 64, CapacityMb: 100, AdapterSlots: 200, LoadsPerSecond: 2, Models: []upstream.Model{{Name: "m", SizeMb: 10, LoadMs: 1000, Adapters: 100}}}
		l := newSingleEngine(t, catalogue, lag, registry.LoadedModel{Model: "m"})
		total, rounds := time.Duration(0), 0
		for i := range 80 {
			adapter := fmt.Sprint("a", i+1)
			l.ask(Demand{Pool: "p", Model: "m", Adapter: adapter, Queued: 1, Arrivals: 1})
			orders := l.step()
			if len(orders) != 1 || orders[0].Adapter != adapter {
				t.Fatalf("adapter %d: %+v", i, orders)
			}
			took := l.play(orders[0], 10*time.Millisecond, func() {
				l.loaded = []registry.LoadedModel{{Model: "m", Adapters: append(l.loaded[0].Adapters[:len(l.loaded[0].Adapters):len(l.loaded[0].Adapters)], adapter)}}
			})
			if i >= 40 {
				total += took
				rounds++
			}
			l.now += clock.Mark(300 * time.Millisecond)
			l.step()
		}
		if mean := total / time.Duration(rounds); mean > lag+l.planner.settings.PollInterval {
			t.Errorf("with reports that lag %v, an order was settled %v after its end", lag, mean)
		}
	}
}

// A load is looked for when it should show, and what waits for the engine is not kept for a round of reports.
func TestReportIsRequestedWhenALoadShouldBeVisible(t *testing.T) {
	catalogue := upstream.Catalogue{Slots: 64, CapacityMb: 100, AdapterSlots: 8, LoadsPerSecond: 2, Models: []upstream.Model{{Name: "m", SizeMb: 10, LoadMs: 2000}}}
	l := newSingleEngine(t, catalogue, 200*time.Millisecond)
	l.ask(Demand{Pool: "p", Model: "m", Queued: 1, Arrivals: 1})
	orders := l.step()
	if len(orders) != 1 {
		t.Fatalf("%+v", orders)
	}
	asked := l.planner.Counters.Reports
	took := l.play(orders[0], 2*time.Second, func() { l.loaded = []registry.LoadedModel{{Model: "m"}} })
	if most := l.lag + l.planner.settings.PollInterval; took > most {
		t.Errorf("settled %v after its end, where reports lag %v", took, l.lag)
	}
	if reports := l.planner.Counters.Reports - asked; reports > 3 {
		t.Errorf("%d reports were asked for in a load of known length", reports)
	}
}
