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

// pairFleet is a planner and engines that each hold one model and have capacity for no other; the store serves one
// load at full speed.
type pairFleet struct {
	t       *testing.T
	planner *Planner
	now     clock.Mark
	in      Input
	stamp   ident.SnowflakeID
	reports map[ident.EngineID]Report
}

func newPairFleet(t *testing.T, engines int) *pairFleet {
	t.Helper()
	catalogue := &upstream.Catalogue{Slots: 64, CapacityMb: 15, AdapterSlots: 8, LoadsPerSecond: 0.5}
	view := &registry.View{Version: 1, Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
	f := &pairFleet{t: t, now: clock.Mark(time.Hour), reports: map[ident.EngineID]Report{}}
	for i := range 2 * engines {
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: fmt.Sprint("m", i), SizeMb: 10, LoadMs: 2000})
	}
	for i := range engines {
		listed := &registry.Engine{Registration: registry.Registration{ID: ident.EngineID(fmt.Sprint("i-", i)), Pool: "p", Address: fmt.Sprint(i), Slots: 64}}
		view.Engines[listed.ID] = listed
		view.Pools["p"] = append(view.Pools["p"], listed)
		f.reports[listed.ID] = Report{Models: []registry.LoadedModel{{Model: fmt.Sprint("m", i)}}, Memory: 1000}
	}
	f.in = Input{Section: &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p", Catalogue: catalogue}}}, View: view}
	f.planner = NewPlanner(DefaultSettings("x", fakeLease), f.now-clock.Mark(time.Minute))
	f.step()
	f.reported()
	f.pass(time.Minute)
	return f
}

func (f *pairFleet) step() []Order {
	f.in.Now = f.now
	return f.planner.Step(f.in)
}

func (f *pairFleet) reported() {
	for id, report := range f.reports {
		f.planner.Reported(f.now, f.now, id, report, true)
	}
}

// pass lets time pass in which nothing happens.
func (f *pairFleet) pass(span time.Duration) {
	for end := f.now + clock.Mark(span); f.now < end; {
		f.now += clock.Mark(100 * time.Millisecond)
		f.reported()
		f.step()
	}
}

func (f *pairFleet) take(order Order) {
	f.t.Helper()
	f.stamp++
	stamped, _, ok := f.planner.Stamp(order.Engine, f.stamp, 1)
	if !ok {
		f.t.Fatalf("not noted: %+v", order)
	}
	f.planner.Answered(f.now, stamped, Accepted)
	report := f.reports[order.Engine]
	report.Accepted++
	if order.Kind == Evict {
		report.Models = nil
	} else {
		report.Saturated = true
	}
	f.reports[order.Engine] = report
}

// next steps until an order comes, and gives after how long.
func (f *pairFleet) next(within time.Duration) (Order, time.Duration) {
	f.t.Helper()
	for from := f.now; f.now.Since(from) <= within; f.now += clock.Mark(100 * time.Millisecond) {
		f.reported()
		if orders := f.step(); len(orders) > 0 {
			return orders[0], f.now.Since(from)
		}
	}
	return Order{}, within
}

// Room for what somebody waits for is made while the store still serves another load, so that the next can begin
// when that ends; the next load itself waits for the store.
func TestEvictionStartsBeforeTheStoreIsFree(t *testing.T) {
	f := newPairFleet(t, 2)
	f.in.Demand = []Demand{{Pool: "p", Model: "m2", Queued: 3, Arrivals: 1}}
	unload, _ := f.next(time.Second)
	f.take(unload)
	load, _ := f.next(time.Second)
	if load.Kind != Load || load.Model != "m2" {
		t.Fatalf("%+v", load)
	}
	f.take(load)
	begun := f.now
	f.in.Demand = append(f.in.Demand, Demand{Pool: "p", Model: "m3", Queued: 3, Arrivals: 1})
	second, _ := f.next(4 * time.Second)
	if at := f.now.Since(begun); second.Kind != Evict || second.Engine == unload.Engine || at >= 2*time.Second {
		t.Fatalf("room on the other engine is made %v after a load of 2 s began: %+v", at, second)
	}
	f.take(second)
	next, _ := f.next(4 * time.Second)
	if at := f.now.Since(begun); next.Kind != Load || next.Model != "m3" || at < 2*time.Second || at > 2200*time.Millisecond {
		t.Fatalf("the second load begins %v after the first of 2 s, which is all the store serves at full speed: %+v", at, next)
	}
}

// What hardly anybody requests goes without notice; what is requested goes after all daemons have heard of it.
func TestOnlyModelsInUseGetEvictionNotice(t *testing.T) {
	for _, one := range []struct {
		arrivals float64
		notice   bool
	}{{0, false}, {0.1, false}, {0.4, true}} {
		f := newPairFleet(t, 1)
		f.in.Demand = []Demand{{Pool: "p", Model: "m0", Arrivals: one.arrivals}}
		f.step()
		f.in.Demand = append(f.in.Demand, Demand{Pool: "p", Model: "m1", Queued: 9, Arrivals: 3})
		order, after := f.next(time.Second)
		if order.Kind != Evict || after >= f.planner.settings.EvictionNotice != one.notice {
			t.Errorf("asked for %v times a second, it is unloaded after %v: %+v", one.arrivals, after, order)
		}
	}
}
