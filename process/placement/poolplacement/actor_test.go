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
	// asks counts the questions for the lease.
	asks int
	// changed is announced each of them, and of each order that left or was kept.
	changed *sync.Cond
	// beforeLook and afterLook are called by an order's sender, around its last look.
	beforeLook, afterLook func(engine ident.EngineID)
	// left lists the orders that left, and when; stopped those that the last look kept.
	left    []Order
	stopped int
}

func (wanted *frozenWorld) Elapsed() clock.Mark {
	wanted.Lock()
	defer wanted.Unlock()
	wanted.now += clock.Mark(15 * time.Millisecond)
	return wanted.now
}
func (wanted *frozenWorld) Wall() time.Time { return time.Time{} }

func (wanted *frozenWorld) Input() Input {
	wanted.Lock()
	defer wanted.Unlock()
	wanted.now += clock.Mark(10 * time.Millisecond)
	return Input{Now: wanted.now, Section: wanted.section, View: wanted.view, Demand: wanted.demand}
}

// Claim grants the lease until it has passed on to somebody else.
func (wanted *frozenWorld) Claim(context.Context, *statemachine.Announcement, bool) LeaseReply {
	wanted.Lock()
	defer wanted.Unlock()
	wanted.asks++
	wanted.changed.Broadcast()
	if wanted.passedOn {
		return LeaseReply{}
	}
	at := ident.GroupTime(wanted.now / clock.Mark(time.Millisecond))
	return LeaseReply{Granted: &statemachine.PlannerLease{Token: wanted.holder, Now: at, Expiry: at.Add(3 * time.Second)}}
}
func (wanted *frozenWorld) Mint() (ident.SnowflakeID, snowflake.Outcome) {
	return 1, snowflake.Generated
}
func (wanted *frozenWorld) WorkerLeaseValid() bool                   { return true }
func (wanted *frozenWorld) MayPlan() bool                            { return true }
func (wanted *frozenWorld) Preferred() bool                          { return true }
func (wanted *frozenWorld) Publish(map[ident.EngineID]registry.Plan) {}
func (wanted *frozenWorld) freeze(span time.Duration) {
	wanted.Lock()
	wanted.now += clock.Mark(span)
	wanted.passedOn = true
	wanted.Unlock()
}

func (wanted *frozenWorld) Report(_ context.Context, address string, id ident.EngineID) (Report, error) {
	if address == "" {
		return Report{}, errors.New("no address")
	}
	return Report{Models: []registry.LoadedModel{}, Memory: 100000}, nil
}

func (wanted *frozenWorld) Order(_ context.Context, _ string, order Order, mayLeave func() bool) OrderOutcome {
	wanted.beforeLook(order.Engine)
	if !mayLeave() {
		wanted.Lock()
		defer wanted.Unlock()
		wanted.stopped++
		wanted.changed.Broadcast()
		return NotSent
	}
	wanted.afterLook(order.Engine)
	wanted.Lock()
	defer wanted.Unlock()
	wanted.left = append(wanted.left, order)
	wanted.changed.Broadcast()
	return NoAnswer
}

func (wanted *frozenWorld) until(holds func() bool) {
	wanted.Lock()
	defer wanted.Unlock()
	for !holds() {
		wanted.changed.Wait()
	}
}

// TestFrozenPlannerSendsOnlyOrdersThatPassedTheLastCheck: of orders that are on their way out as the machine freezes
// for longer than the lease lasts, those past their last look leave as it wakes, under the old lease and at once;
// all others stay, and nothing is ordered again until there is another lease.
func TestFrozenPlannerSendsOnlyOrdersThatPassedTheLastCheck(t *testing.T) {
	const engines = 4
	wanted := &frozenWorld{now: clock.Mark(time.Hour), holder: 7, view: &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}}
	wanted.changed = sync.NewCond(&wanted.Mutex)
	catalogue := &upstream.Catalogue{Slots: 8, MemoryTokens: 100000, CapacityMb: 100, AdapterSlots: 1, LoadsPerSecond: 10}
	for place := range engines {
		id, model := ident.EngineID(fmt.Sprint("e", place)), fmt.Sprint("m", place)
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: model, SizeMb: 90, LoadMs: 1000})
		wanted.view.Engines[id] = &registry.Engine{Registration: registry.Registration{ID: id, Pool: "p", Address: "there:" + string(id), Slots: 8, Models: []registry.LoadedModel{}}}
		wanted.view.Pools["p"] = append(wanted.view.Pools["p"], wanted.view.Engines[id])
		wanted.demand = append(wanted.demand, Demand{Pool: "p", Model: model, Queued: 3, Tokens: 500, Arrivals: 3, OldestWait: time.Second})
	}
	wanted.section = &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p", Catalogue: catalogue}}}

	var meeting sync.WaitGroup
	meeting.Add(engines)
	frozen := make(chan struct{})
	// Half of the senders freeze before their last look, and half right behind it; who comes first is not fixed.
	var chosen sync.Map
	var turn int
	wanted.beforeLook = func(engine ident.EngineID) {
		wanted.Lock()
		turn++
		early := turn%2 == 1
		wanted.Unlock()
		if early {
			chosen.Store(engine, true)
			meeting.Done()
			<-frozen
		}
	}
	wanted.afterLook = func(engine ident.EngineID) {
		if _, early := chosen.Load(engine); !early {
			meeting.Done()
			<-frozen
		}
	}

	settings := DefaultSettings("me", 3*time.Second)
	settings.PlanInterval = time.Millisecond
	item := NewActor(wanted, wanted, settings, wanted, &log.Logger{Handler: discard.New()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); item.Run(ctx) }()

	meeting.Wait()
	wanted.freeze(10 * time.Second)
	close(frozen)
	wanted.until(func() bool { return len(wanted.left)+wanted.stopped == engines })
	// It goes on looking, and requests the lease again, for longer than any gap.
	asked := 0
	wanted.until(func() bool {
		if asked == 0 {
			asked = wanted.asks
		}
		return wanted.asks >= asked+8
	})
	cancel()
	<-ended
	wanted.Lock()
	defer wanted.Unlock()
	if len(wanted.left) != engines/2 || wanted.stopped != engines/2 {
		t.Errorf("%d left and %d were kept", len(wanted.left), wanted.stopped)
	}
	for _, order := range wanted.left {
		if _, early := chosen.Load(order.Engine); early || order.Claim != 7 {
			t.Errorf("%+v left after its claim had lapsed", order)
		}
	}
}
