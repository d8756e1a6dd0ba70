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

func (world *frozenWorld) Elapsed() clock.Mark {
	world.Lock()
	defer world.Unlock()
	world.now += clock.Mark(15 * time.Millisecond)
	return world.now
}
func (world *frozenWorld) Wall() time.Time { return time.Time{} }

func (world *frozenWorld) Input() Input {
	world.Lock()
	defer world.Unlock()
	world.now += clock.Mark(10 * time.Millisecond)
	return Input{Now: world.now, Section: world.section, View: world.view, Demand: world.demand}
}

// Claim grants the lease until it has passed on to somebody else.
func (world *frozenWorld) Claim(context.Context, *statemachine.Announcement, bool) LeaseReply {
	world.Lock()
	defer world.Unlock()
	world.asks++
	world.changed.Broadcast()
	if world.passedOn {
		return LeaseReply{}
	}
	at := ident.GroupTime(world.now / clock.Mark(time.Millisecond))
	return LeaseReply{Granted: &statemachine.PlannerLease{Token: world.holder, Now: at, Expiry: at.Add(3 * time.Second)}}
}
func (world *frozenWorld) Mint() (ident.SnowflakeID, snowflake.Outcome) {
	return 1, snowflake.Generated
}
func (world *frozenWorld) WorkerLeaseValid() bool                   { return true }
func (world *frozenWorld) MayPlan() bool                            { return true }
func (world *frozenWorld) Preferred() bool                          { return true }
func (world *frozenWorld) Publish(map[ident.EngineID]registry.Plan) {}
func (world *frozenWorld) freeze(span time.Duration) {
	world.Lock()
	world.now += clock.Mark(span)
	world.passedOn = true
	world.Unlock()
}

func (world *frozenWorld) Report(_ context.Context, address string, id ident.EngineID) (Report, error) {
	if address == "" {
		return Report{}, errors.New("no address")
	}
	return Report{Models: []registry.LoadedModel{}, Memory: 100000}, nil
}

func (world *frozenWorld) Order(_ context.Context, _ string, order Order, mayLeave func() bool) OrderOutcome {
	world.beforeLook(order.Engine)
	if !mayLeave() {
		world.Lock()
		defer world.Unlock()
		world.stopped++
		world.changed.Broadcast()
		return NotSent
	}
	world.afterLook(order.Engine)
	world.Lock()
	defer world.Unlock()
	world.left = append(world.left, order)
	world.changed.Broadcast()
	return NoAnswer
}

func (world *frozenWorld) until(holds func() bool) {
	world.Lock()
	defer world.Unlock()
	for !holds() {
		world.changed.Wait()
	}
}

// TestFrozenPlannerSendsOnlyOrdersThatPassedTheLastCheck: of orders that are on their way out as the machine freezes
// for longer than the lease lasts, those past their last look leave as it wakes, under the old lease and at once;
// all others stay, and nothing is ordered again until there is another lease.
func TestFrozenPlannerSendsOnlyOrdersThatPassedTheLastCheck(t *testing.T) {
	const engines = 4
	world := &frozenWorld{now: clock.Mark(time.Hour), holder: 7, view: &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}}
	world.changed = sync.NewCond(&world.Mutex)
	catalogue := &upstream.Catalogue{Slots: 8, MemoryTokens: 100000, CapacityMb: 100, AdapterSlots: 1, LoadsPerSecond: 10}
	for place := range engines {
		id, model := ident.EngineID(fmt.Sprint("e", place)), fmt.Sprint("m", place)
		catalogue.Models = append(catalogue.Models, upstream.Model{Name: model, SizeMb: 90, LoadMs: 1000})
		world.view.Engines[id] = &registry.Engine{Registration: registry.Registration{ID: id, Pool: "p", Address: "there:" + string(id), Slots: 8, Models: []registry.LoadedModel{}}}
		world.view.Pools["p"] = append(world.view.Pools["p"], world.view.Engines[id])
		world.demand = append(world.demand, Demand{Pool: "p", Model: model, Queued: 3, Tokens: 500, Arrivals: 3, OldestWait: time.Second})
	}
	world.section = &upstream.Section{Revision: 1, Pools: []upstream.Pool{{Name: "p", Catalogue: catalogue}}}

	var meeting sync.WaitGroup
	meeting.Add(engines)
	frozen := make(chan struct{})
	// Half of the senders freeze before their last look, and half right behind it; who comes first is not fixed.
	var chosen sync.Map
	var turn int
	world.beforeLook = func(engine ident.EngineID) {
		world.Lock()
		turn++
		early := turn%2 == 1
		world.Unlock()
		if early {
			chosen.Store(engine, true)
			meeting.Done()
			<-frozen
		}
	}
	world.afterLook = func(engine ident.EngineID) {
		if _, early := chosen.Load(engine); !early {
			meeting.Done()
			<-frozen
		}
	}

	settings := DefaultSettings("me", 3*time.Second)
	settings.PlanInterval = time.Millisecond
	planning := NewActor(world, world, settings, world, &log.Logger{Handler: discard.New()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); planning.Run(ctx) }()

	meeting.Wait()
	world.freeze(10 * time.Second)
	close(frozen)
	world.until(func() bool { return len(world.left)+world.stopped == engines })
	// It goes on looking, and requests the lease again, for longer than any gap.
	asked := 0
	world.until(func() bool {
		if asked == 0 {
			asked = world.asks
		}
		return world.asks >= asked+8
	})
	cancel()
	<-ended
	world.Lock()
	defer world.Unlock()
	if len(world.left) != engines/2 || world.stopped != engines/2 {
		t.Errorf("%d left and %d were kept", len(world.left), world.stopped)
	}
	for _, order := range world.left {
		if _, early := chosen.Load(order.Engine); early || order.Claim != 7 {
			t.Errorf("%+v left after its claim had lapsed", order)
		}
	}
}
