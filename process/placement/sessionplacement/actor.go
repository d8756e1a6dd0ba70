package sessionplacement

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/placement/plannerlease"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Surroundings is what the actor needs of its daemon.
type Surroundings interface {
	// Input gives what the plan looks at.
	Input() Input
	// Claim asks the group for the claim, or for more time under it, and reports what was ordered.
	Claim(ctx context.Context, orders map[ident.EngineID]uint64, turn uint64) (*statemachine.PlannerLease, bool)
	// Mint stamps an order.
	Mint() (ident.SnowflakeID, snowflake.Outcome)
	// Order sends an order; see enginelink.Order.
	Order(ctx context.Context, address string, order engineapi.Order, limit time.Duration, mayLeave func() bool) (*engineapi.OrderAnswer, bool)
	// MayStand says whether this daemon should try for the claim.
	MayStand() bool
}

// Condition is what others may see of the planner.
type Condition struct {
	Claim    ident.FencingToken
	Held     bool
	InFlight int
	Lacks    []Lack
	Counters Counters
}

// Actor plans while it holds the claim.
type Actor struct {
	around    Surroundings
	clock     clock.Clock
	mailbox   *actor.Mailbox[any]
	planner   *Planner
	claim     *plannerlease.Lease
	asking    bool
	askedAt   clock.Mark
	condition atomic.Pointer[Condition]
	stopped   bool
	// turn numbers what the group has been sent of the orders.
	turn uint64
}

type (
	claimed struct {
		asked clock.Mark
		claim *statemachine.PlannerLease
		ok    bool
	}
	answered struct {
		engine ident.EngineID
		order  engineapi.Order
		answer *engineapi.OrderAnswer
		sent   bool
	}
	standDown struct{ done chan struct{} }
)

const (
	planEvery  = 200 * time.Millisecond
	renewEvery = time.Second
	// claimMargin is taken off the end of a claim for clock-rate error.
	claimMargin = 500 * time.Millisecond
)

// NewActor makes the actor.
func NewActor(around Surroundings, c clock.Clock) *Actor {
	a := &Actor{around: around, clock: c, mailbox: actor.NewMailbox[any](64), planner: NewPlanner(), claim: plannerlease.New(c, claimMargin)}
	a.condition.Store(&Condition{})
	return a
}

// Condition tells where the planner stands.
func (a *Actor) Condition() Condition { return *a.condition.Load() }

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	a.mailbox.Run(ctx, planEvery, func(event any) { a.take(event) }, func() { a.tick(ctx) })
}

// StandDown gives up planning for good; it returns when no further order can leave.
func (a *Actor) StandDown() {
	done := make(chan struct{})
	if a.mailbox.Send(standDown{done}) {
		select {
		case <-done:
		case <-a.mailbox.Done():
		}
	}
}

func (a *Actor) tick(ctx context.Context) {
	now := a.clock.Elapsed()
	number, held := a.claim.Token()
	if !a.stopped && !a.asking && now.Since(a.askedAt) >= renewEvery && a.around.MayStand() {
		a.asking, a.askedAt = true, now
		orders, turn := a.announce(held)
		go func() {
			bounded, cancel := context.WithTimeout(ctx, renewEvery)
			defer cancel()
			claim, ok := a.around.Claim(bounded, orders, turn)
			a.mailbox.Send(claimed{now, claim, ok})
		}()
	}
	if held {
		a.plan(ctx, number)
	}
	number, held = a.claim.Token()
	a.condition.Store(&Condition{Claim: number, Held: held, InFlight: len(a.planner.inFlight), Lacks: a.planner.Lacks, Counters: a.planner.Counters})
}

// announce is what the group has been sent of the orders given so far.
func (a *Actor) announce(held bool) (orders map[ident.EngineID]uint64, turn uint64) {
	if !held {
		return nil, 0
	}
	a.turn++
	return a.planner.Ordered(), a.turn
}

// announceLimit bounds the wait until the group has written down that orders are about to leave.
const announceLimit = 1500 * time.Millisecond

func (a *Actor) plan(ctx context.Context, number ident.FencingToken) {
	given := a.planner.Step(a.around.Input())
	if len(given) == 0 {
		return
	}
	// The group knows of an order before it leaves: a successor whose reports lag behind must not order as if
	// it had not been given, however this daemon ends.
	orders, turn := a.announce(true)
	announced := make(chan bool, len(given))
	go func() {
		bounded, cancel := context.WithTimeout(ctx, announceLimit)
		defer cancel()
		claim, ok := a.around.Claim(bounded, orders, turn)
		ok = ok && claim.Token == number
		for range given {
			announced <- ok
		}
	}()
	for _, directed := range given {
		stamp, outcome := a.around.Mint()
		if outcome != snowflake.Generated {
			// Without a lease on a worker id nothing may be ordered.
			a.planner.Withdraw(directed.Engine)
			continue
		}
		order, ok := a.planner.Stamp(directed.Engine, stamp, number)
		if !ok {
			continue
		}
		go func() {
			if !<-announced {
				a.mailbox.Send(answered{directed.Engine, order, nil, false})
				return
			}
			answer, sent := a.around.Order(ctx, directed.Address, order, orderLimit, func() bool { return a.claim.Allows(number) })
			a.mailbox.Send(answered{directed.Engine, order, answer, sent})
		}()
	}
}

func (a *Actor) take(event any) {
	switch e := event.(type) {
	case claimed:
		a.asking = false
		a.takeClaim(e)
	case answered:
		if number, held := a.claim.Token(); !held || e.order.Claim != number {
			return
		}
		if !e.sent {
			a.planner.Withdraw(e.engine)
			return
		}
		a.planner.Answered(a.clock.Elapsed(), e.engine, e.order, e.answer)
	case standDown:
		a.stopped = true
		a.claim.Release()
		close(e.done)
	}
}

// takeClaim is the one place where the claim is taken up.
func (a *Actor) takeClaim(e claimed) {
	if !e.ok || a.stopped {
		return
	}
	if a.claim.Renew(e.asked, e.claim) {
		// A fresh claim starts from the reports alone, once they can tell of what was ordered before.
		counters := a.planner.Counters
		a.planner = NewPlanner()
		a.planner.Inherit(a.clock.Elapsed(), e.claim.Orders)
		a.planner.Counters = counters
	}
}
