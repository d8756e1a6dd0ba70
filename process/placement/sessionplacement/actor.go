package sessionplacement

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/placement/plannerlease"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Environment is what the actor needs of its daemon.
type Environment interface {
	// Input gives what the plan looks at.
	Input() Input
	// Claim acquires or renews the planner's lease, and tells the group what was ordered. It reports whether the
	// group answered.
	Claim(ctx context.Context, orders map[ident.EngineID]uint64, turn uint64) (*statemachine.PlannerLease, bool)
	// Mint stamps an order.
	Mint() (ident.SnowflakeID, snowflake.Outcome)
	// Order sends an order; see enginelink.Order.
	Order(ctx context.Context, address string, order engineapi.Order, limit time.Duration, mayLeave func() bool) (*engineapi.OrderAnswer, bool)
	// MayPlan says whether this daemon should try to acquire the lease.
	MayPlan() bool
}

// Status is what the rest of the daemon sees of the planner.
type Status struct {
	Token         ident.FencingToken
	HasLease      bool
	PendingOrders int
	Unplaced      []Unplaced
	Counters      Counters
	// Panics counts the panics of the plan, after each of which the lease was given up.
	Panics uint64
}

// Actor runs the [Planner] while this daemon holds the planner's lease, and sends its orders.
type Actor struct {
	environment Environment
	clock       clock.Clock
	mailbox     *actor.Mailbox[any]
	log         log.Interface
	planner     *Planner
	lease       *plannerlease.Lease
	// guard keeps a panic of the plan from ending the process.
	guard            *actor.Guard
	leaseRequested   bool
	leaseRequestedAt clock.Mark
	status           atomic.Pointer[Status]
	stopped          bool
	// announcements numbers what the group has been sent of the orders.
	announcements uint64
}

type (
	leaseReply struct {
		asked clock.Mark
		lease *statemachine.PlannerLease
		ok    bool
	}
	orderReply struct {
		engine ident.EngineID
		order  engineapi.Order
		answer *engineapi.OrderAnswer
		sent   bool
	}
	resign struct{ done chan struct{} }
)

const (
	planInterval  = 200 * time.Millisecond
	renewInterval = time.Second
	// leaseMargin is subtracted from the end of a lease, for the error of clock rates.
	leaseMargin = 500 * time.Millisecond
)

// NewActor makes the actor.
func NewActor(environment Environment, c clock.Clock, logger log.Interface) *Actor {
	a := &Actor{environment: environment, clock: c, log: logger, mailbox: actor.NewMailbox[any](64), planner: NewPlanner(), lease: plannerlease.New(c, leaseMargin)}
	a.guard = actor.NewGuard(c, a.abandon)
	a.status.Store(&Status{})
	return a
}

// Status gives what the planner published last. It may be called from any goroutine.
func (a *Actor) Status() Status { return *a.status.Load() }

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	handle := func(event any) { a.guard.Run(func() { a.handle(event) }) }
	a.mailbox.Run(ctx, planInterval, handle, func() { a.guard.Run(func() { a.tick(ctx) }) })
}

// abandon gives the lease up after a panic, so that another daemon plans, and drops the plan, whose state may be inconsistent.
func (a *Actor) abandon(cause any, stack []byte) {
	a.log.WithFields(log.Fields{"cause": fmt.Sprint(cause), "stack": string(stack)}).Error("planner of sessions panicked and gives up its lease")
	a.lease.Release()
	counters := a.planner.Counters
	a.planner = NewPlanner()
	a.planner.Counters = counters
}

// Resign ends planning for good; when it returns no further order can be sent.
func (a *Actor) Resign() {
	done := make(chan struct{})
	if a.mailbox.Send(resign{done}) {
		select {
		case <-done:
		case <-a.mailbox.Done():
		}
	}
}

func (a *Actor) tick(ctx context.Context) {
	now := a.clock.Elapsed()
	number, leased := a.lease.Token()
	if !a.stopped && !a.guard.InBackoff() && !a.leaseRequested && now.Since(a.leaseRequestedAt) >= renewInterval && a.environment.MayPlan() {
		a.leaseRequested, a.leaseRequestedAt = true, now
		orders, sequence := a.announce(leased)
		go func() {
			bounded, cancel := context.WithTimeout(ctx, renewInterval)
			defer cancel()
			lease, ok := a.environment.Claim(bounded, orders, sequence)
			a.mailbox.Send(leaseReply{now, lease, ok})
		}()
	}
	if leased {
		a.plan(ctx, number)
	}
	number, leased = a.lease.Token()
	a.status.Store(&Status{Token: number, HasLease: leased, PendingOrders: len(a.planner.pending), Unplaced: a.planner.Unplaced, Counters: a.planner.Counters, Panics: a.guard.Panics()})
}

// announce is what the group has been sent of the orders given so far.
func (a *Actor) announce(leased bool) (orders map[ident.EngineID]uint64, sequence uint64) {
	if !leased {
		return nil, 0
	}
	a.announcements++
	return a.planner.Ordered(), a.announcements
}

// announceTimeout bounds the wait until the group has written down that orders are about to leave.
const announceTimeout = 1500 * time.Millisecond

func (a *Actor) plan(ctx context.Context, number ident.FencingToken) {
	issued := a.planner.Step(a.environment.Input())
	if len(issued) == 0 {
		return
	}
	// The group knows of an order before it leaves: a successor whose reports lag behind must not order as if
	// it had not been given, however this daemon ends.
	orders, sequence := a.announce(true)
	announced := make(chan bool, len(issued))
	go func() {
		bounded, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		lease, ok := a.environment.Claim(bounded, orders, sequence)
		ok = ok && lease.Token == number
		for range issued {
			announced <- ok
		}
	}()
	for _, directed := range issued {
		stamp, outcome := a.environment.Mint()
		if outcome != snowflake.Generated {
			// Without a worker-id lease nothing may be ordered.
			a.planner.Withdraw(directed.Engine)
			continue
		}
		order, ok := a.planner.Stamp(directed.Engine, stamp, number)
		if !ok {
			continue
		}
		go func() {
			if !<-announced {
				a.mailbox.Send(orderReply{directed.Engine, order, nil, false})
				return
			}
			answer, sent := a.environment.Order(ctx, directed.Address, order, orderTimeout, func() bool { return a.lease.Allows(number) })
			a.mailbox.Send(orderReply{directed.Engine, order, answer, sent})
		}()
	}
}

func (a *Actor) handle(event any) {
	switch e := event.(type) {
	case leaseReply:
		a.leaseRequested = false
		a.adoptLease(e)
	case orderReply:
		if number, leased := a.lease.Token(); !leased || e.order.Claim != number {
			return
		}
		if !e.sent {
			a.planner.Withdraw(e.engine)
			return
		}
		a.planner.Answered(a.clock.Elapsed(), e.engine, e.order, e.answer)
	case resign:
		a.stopped = true
		a.lease.Release()
		close(e.done)
	}
}

// adoptLease is the one place where a lease is taken over.
func (a *Actor) adoptLease(e leaseReply) {
	if !e.ok || a.stopped || a.guard.InBackoff() {
		return
	}
	if a.lease.Renew(e.asked, e.lease) {
		// A fresh lease starts from the reports alone, once they reflect what was ordered before it.
		counters := a.planner.Counters
		a.planner = NewPlanner()
		a.planner.Inherit(a.clock.Elapsed(), e.lease.Orders)
		a.planner.Counters = counters
	}
}
