package poolplacement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// frozenWorld is a daemon around an actor, and the engines it orders, on a clock that goes on with each look.
type frozenWorld struct {
	sync.Mutex
	now      clock.Mark
	section  *upstream.Section
	view     *registry.View
	demand   []Demand
	holder   ident.FencingToken
	passedOn bool
	// asks counts the questions for the claim.
	asks int
	// changed is told of each of them, and of each order that left or was kept.
	changed *sync.Cond
	// beforeLook and afterLook are called by an order's sender, around its last look.
	beforeLook, afterLook func(engine ident.EngineID)
	// left lists the orders that left, and when; stopped those that the last look kept.
	left    []Order
	stopped int
}

func (w *frozenWorld) Elapsed() clock.Mark {
	w.Lock()
	defer w.Unlock()
	w.now += clock.Mark(15 * time.Millisecond)
	return w.now
}
func (w *frozenWorld) Wall() time.Time { return time.Time{} }

func (w *frozenWorld) Input() Input {
	w.Lock()
	defer w.Unlock()
	w.now += clock.Mark(10 * time.Millisecond)
	return Input{Now: w.now, Section: w.section, View: w.view, Demand: w.demand}
}

// Claim grants the claim until it has passed on to somebody else.
func (w *frozenWorld) Claim(context.Context, *statemachine.Announcement, bool) ClaimAnswer {
	w.Lock()
	defer w.Unlock()
	w.asks++
	w.changed.Broadcast()
	if w.passedOn {
		return ClaimAnswer{}
	}
	at := ident.GroupTime(w.now / clock.Mark(time.Millisecond))
	return ClaimAnswer{Granted: &statemachine.PlannerLease{Token: w.holder, Now: at, Expiry: at.Add(3 * time.Second)}}
}
func (w *frozenWorld) Mint() (ident.SnowflakeID, snowflake.Outcome) { return 1, snowflake.Generated }
func (w *frozenWorld) LeaseHeld() bool                              { return true }
func (w *frozenWorld) MayStand() bool                               { return true }
func (w *frozenWorld) First() bool                                  { return true }
func (w *frozenWorld) Tell(map[ident.EngineID]registry.Plan)        {}
func (w *frozenWorld) freeze(span time.Duration) {
	w.Lock()
	w.now += clock.Mark(span)
	w.passedOn = true
	w.Unlock()
}

func (w *frozenWorld) Report(_ context.Context, address string, id ident.EngineID) (Report, error) {
	if address == "" {
		return Report{}, errors.New("no address")
	}
	return Report{Models: []registry.LoadedModel{}, Memory: 100000}, nil
}

func (w *frozenWorld) Order(_ context.Context, _ string, order Order, mayLeave func() bool) Answer {
	w.beforeLook(order.Engine)
	if !mayLeave() {
		w.Lock()
		defer w.Unlock()
		w.stopped++
		w.changed.Broadcast()
		return Unsent
	}
	w.afterLook(order.Engine)
	w.Lock()
	defer w.Unlock()
	w.left = append(w.left, order)
	w.changed.Broadcast()
	return NoAnswer
}

func (w *frozenWorld) until(holds func() bool) {
	w.Lock()
	defer w.Unlock()
	for !holds() {
		w.changed.Wait()
	}
}

// TestAFrozenPlannerSendsNothingButWhatPassedItsLastLook: of orders that are on their way out as the machine freezes
// for longer than the claim lasts, those past their last look leave as it wakes, under the old claim and at once;
// all others stay, and nothing is ordered again until there is another claim.
func TestAFrozenPlannerSendsNothingButWhatPassedItsLastLook(t *testing.T) {
	const engines = 4
	w := &frozenWorld{now: clock.Mark(time.Hour), holder: 7, view: &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}}
	w.changed = sync.NewCond(&w.Mutex)
	catalogue := &upstream.Catalogue{Slots: 8, MemoryTokens: 100000, CapacityMb: 100, AdapterSlots: 1, LoadsPerSecond: 10}
	for place := range engines {
		id, model := ident.EngineID(fmt.Sprint("e", place)), fmt.Sprint("m", place)
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: model, SizeMb: 90, LoadMs: 1000})
		w.view.Engines[id] = &registry.Engine{Registration: registry.Registration{ID: id, Pool: "p", Address: "there:" + string(id), Slots: 8, Models: []registry.LoadedModel{}}}
		w.view.Pools["p"] = append(w.view.Pools["p"], w.view.Engines[id])
		w.demand = append(w.demand, Demand{Pool: "p", Model: model, Held: 3, Tokens: 500, Arrivals: 3, Oldest: time.Second})
	}
	w.section = &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p", Catalogue: catalogue}}}

	var meeting sync.WaitGroup
	meeting.Add(engines)
	frozen := make(chan struct{})
	// Half of the senders freeze before their last look, and half right behind it; who comes first is not fixed.
	var chosen sync.Map
	var turn int
	w.beforeLook = func(engine ident.EngineID) {
		w.Lock()
		turn++
		early := turn%2 == 1
		w.Unlock()
		if early {
			chosen.Store(engine, true)
			meeting.Done()
			<-frozen
		}
	}
	w.afterLook = func(engine ident.EngineID) {
		if _, early := chosen.Load(engine); !early {
			meeting.Done()
			<-frozen
		}
	}

	settings := DefaultSettings("me", 3*time.Second)
	settings.Beat = time.Millisecond
	a := NewActor(w, w, settings, w, &log.Logger{Handler: discard.New()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Run(ctx) }()

	meeting.Wait()
	w.freeze(10 * time.Second)
	close(frozen)
	w.until(func() bool { return len(w.left)+w.stopped == engines })
	// It goes on looking, and asks for the claim again, for longer than any gap.
	asked := 0
	w.until(func() bool {
		if asked == 0 {
			asked = w.asks
		}
		return w.asks >= asked+8
	})
	cancel()
	<-ended
	w.Lock()
	defer w.Unlock()
	if len(w.left) != engines/2 || w.stopped != engines/2 {
		t.Errorf("%d left and %d were kept", len(w.left), w.stopped)
	}
	for _, order := range w.left {
		if _, early := chosen.Load(order.Engine); early || order.Claim != 7 {
			t.Errorf("%+v left after its claim had lapsed", order)
		}
	}
}
