package poolplacement

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
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/plannerlease"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// Environment is what the actor needs of its daemon.
type Environment interface {
	// Input gives what a step of the plan reads.
	Input() Input
	// Claim acquires or renews the planner's lease, and announces what is about to be ordered.
	Claim(ctx context.Context, weight *statemachine.Announcement, whole bool) LeaseReply
	// Mint mints the id of an order; WorkerLeaseValid says whether what was minted may still be used.
	Mint() (ident.SnowflakeID, snowflake.Outcome)
	WorkerLeaseValid() bool
	// MayPlan says whether this daemon should try to acquire the lease, Preferred whether it should before others.
	MayPlan() bool
	Preferred() bool
	// Publish spreads the plans of engines to the fleet.
	Publish(plans map[ident.EngineID]registry.Plan)
}

// LeaseReply is the group's answer: the lease if it is granted, else how long to wait before the next request.
type LeaseReply struct {
	Granted *statemachine.PlannerLease
	Wait    time.Duration
}

// Status is what the rest of the daemon sees of the planner.
type Status struct {
	Token         ident.FencingToken
	HasLease      bool
	Engines       int
	PendingOrders int
	Unplaced      []Unplaced
	Counters      Counters
	Outliers      outlier.Counters
	// Panics counts the panics of the plan, after each of which the lease was given up.
	Panics uint64
}

// Actor runs the [Planner] while this daemon holds the planner's lease, and sends its orders.
type Actor struct {
	environment Environment
	client      EngineClient
	settings    Settings
	clock       clock.Clock
	log         log.Interface
	mailbox     *actor.Mailbox[any]
	lease       *plannerlease.Lease
	planner     *Planner
	// guard keeps a panic of the plan from ending the process.
	guard *actor.Guard
	// plannerToken is the fencing token of the lease that the planner was made for.
	plannerToken   ident.FencingToken
	leaseRequested bool
	// nextLeaseRequest is when the lease is requested next; until then it can't be granted.
	nextLeaseRequest clock.Mark
	waitingSince     clock.Mark
	sequence         uint64
	// nextPlan is when the plan is made next.
	nextPlan clock.Mark
	// pause delays the next step after one that took long.
	pause   stepPause
	status  atomic.Pointer[Status]
	steps   stepLog
	stopped bool
	// reportSlots bounds how many reports are requested at once.
	reportSlots chan struct{}
}

type (
	leaseEvent struct {
		asked  clock.Mark
		answer LeaseReply
	}
	orderEvent struct {
		order  Order
		answer OrderOutcome
	}
	reportEvent struct {
		engine ident.EngineID
		asked  clock.Mark
		report Report
		ok     bool
	}
	resign struct{ done chan struct{} }
)

const (
	// leaseMargin is subtracted from the end of a lease, for the error of clock rates.
	leaseMargin = 300 * time.Millisecond
	// reportTimeout bounds the wait for a report.
	reportTimeout = 700 * time.Millisecond
	// maxConcurrentReports is how many reports are requested at once.
	maxConcurrentReports = 64
	// nonPreferredWait is for how long others leave a free lease to the one that should have it.
	nonPreferredWait = 500 * time.Millisecond
)

// NewActor makes the actor.
func NewActor(environment Environment, client EngineClient, settings Settings, c clock.Clock, logger log.Interface) *Actor {
	a := &Actor{environment: environment, client: client, settings: settings, clock: c, log: logger, mailbox: actor.NewMailbox[any](1024),
		lease: plannerlease.New(c, leaseMargin), planner: NewPlanner(settings, c.Elapsed()), reportSlots: make(chan struct{}, maxConcurrentReports)}
	a.guard = actor.NewGuard(c, a.abandon)
	a.status.Store(&Status{})
	return a
}

// Status gives what the planner published last. It may be called from any goroutine.
func (a *Actor) Status() Status { return *a.status.Load() }

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	handle := func(event any) { a.guard.Run(func() { a.handle(ctx, event) }) }
	a.mailbox.Run(ctx, a.settings.PollInterval, handle, func() { a.guard.Run(func() { a.poll(ctx) }) })
}

// abandon gives the lease up after a panic, so that another daemon plans, and drops the plan, whose state may be inconsistent.
func (a *Actor) abandon(cause any, stack []byte) {
	a.log.WithFields(log.Fields{"token": uint64(a.plannerToken), "cause": fmt.Sprint(cause), "stack": string(stack)}).Error("planner of pools panicked and gives up its lease")
	a.lease.Release()
	counters := a.planner.Counters
	a.planner, a.plannerToken = NewPlanner(a.settings, a.clock.Elapsed()), 0
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

// poll requests the reports that are due, and makes the plan when its time has come.
func (a *Actor) poll(ctx context.Context) {
	now := a.clock.Elapsed()
	// A tick may come a little early.
	if now+clock.Mark(a.settings.PollInterval/4) >= a.nextPlan {
		a.nextPlan = max(a.nextPlan+clock.Mark(a.settings.PlanInterval), now)
		a.planAndPublish(ctx)
		return
	}
	if number, leased := a.lease.Token(); leased && number == a.plannerToken {
		a.requestReports(ctx, now)
	}
}

func (a *Actor) planAndPublish(ctx context.Context) {
	now := a.clock.Elapsed()
	a.requestLease(ctx, now)
	number, leased := a.lease.Token()
	if leased && number == a.plannerToken {
		a.plan(ctx, now, number)
	}
	before := a.status.Load()
	if leased != before.HasLease || number != before.Token {
		a.log.WithFields(log.Fields{"token": uint64(number), "hasLease": leased}).Info("planner lease changed")
	}
	next := &Status{Token: number, HasLease: leased}
	if leased {
		next.Engines, next.PendingOrders, next.Counters = len(a.planner.engines), a.planner.PendingOrders(), a.planner.Counters
		next.Unplaced = append([]Unplaced(nil), a.planner.Unplaced...)
	} else {
		next.Counters = a.planner.Counters
	}
	next.Outliers, next.Panics = a.planner.outliers.Counters, a.guard.Panics()
	a.status.Store(next)
}

// requestLease acquires or renews the lease when it is due. A daemon that is not preferred first waits for a while.
func (a *Actor) requestLease(ctx context.Context, now clock.Mark) {
	if a.stopped || a.leaseRequested || now < a.nextLeaseRequest || a.guard.InBackoff() {
		return
	}
	_, leased := a.lease.Token()
	if !leased {
		if !a.environment.MayPlan() {
			a.waitingSince = 0
			return
		}
		if a.waitingSince == 0 {
			a.waitingSince = now
		}
		if !a.environment.Preferred() && now.Since(a.waitingSince) < nonPreferredWait {
			return
		}
	}
	a.leaseRequested, a.nextLeaseRequest = true, now+clock.Mark(a.settings.RenewInterval)
	go func() {
		bounded, cancel := context.WithTimeout(ctx, a.settings.LeaseSpan)
		defer cancel()
		a.mailbox.Send(leaseEvent{now, a.environment.Claim(bounded, nil, !leased)})
	}()
}

// plan makes a step of the plan, requests reports, publishes what is planned, and sends the orders.
func (a *Actor) plan(ctx context.Context, now clock.Mark, number ident.FencingToken) {
	if !a.pause.over(now) {
		// Engines with a pending order are still asked, so that its end is seen.
		a.requestReports(ctx, now)
		return
	}
	began := a.clock.Elapsed()
	issued := a.planner.Step(a.environment.Input())
	a.pause.record(began, a.clock.Elapsed(), a.settings.PlanInterval)
	a.logSteps(now, a.clock.Elapsed().Since(began))
	a.requestReports(ctx, now)
	if plans := a.planner.Plans(now); len(plans) > 0 {
		a.sequence++
		for id, plan := range plans {
			plan.Claim, plan.Sequence = number, a.sequence
			plans[id] = plan
		}
		a.environment.Publish(plans)
	}
	var orders []Order
	addresses := map[ident.EngineID]string{}
	for _, order := range issued {
		stamp, outcome := a.environment.Mint()
		if outcome != snowflake.Generated {
			// Without a worker-id lease nothing may be ordered.
			a.planner.Withdraw(now, order.Engine)
			continue
		}
		stamped, address, ok := a.planner.Stamp(order.Engine, stamp, number)
		if !ok {
			continue
		}
		orders = append(orders, stamped)
		addresses[stamped.Engine] = address
	}
	if len(orders) > 0 {
		go a.send(ctx, number, a.planner.Announcement(orders), orders, addresses)
	}
}

// send announces the orders to the group first, so that a successor counts the loads and waits after the last order
// however this daemon ends, and then sends them.
func (a *Actor) send(ctx context.Context, number ident.FencingToken, announcement *statemachine.Announcement, orders []Order, addresses map[ident.EngineID]string) {
	maySend := func() bool { return a.lease.Allows(number) && a.environment.WorkerLeaseValid() }
	asked := a.clock.Elapsed()
	sendOne := func(order Order) {
		// The timeout counts from before the announcement, so that no announced order is on its way for longer.
		bounded, cancel := context.WithTimeout(ctx, a.settings.OrderTimeout-a.clock.Elapsed().Since(asked))
		defer cancel()
		a.mailbox.Send(orderEvent{order, a.client.Order(bounded, addresses[order.Engine], order, maySend)})
	}
	bounded, cancel := context.WithTimeout(ctx, a.settings.OrderTimeout)
	answer := a.environment.Claim(bounded, announcement, false)
	cancel()
	known := answer.Granted != nil && answer.Granted.Token == number
	if known {
		a.mailbox.Send(leaseEvent{asked, answer})
	}
	for _, order := range orders {
		if known {
			go sendOne(order)
		} else {
			a.mailbox.Send(orderEvent{order, NotSent})
		}
	}
}

func (a *Actor) requestReports(ctx context.Context, now clock.Mark) {
	for _, due := range a.planner.Due(now) {
		go func() {
			select {
			case a.reportSlots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-a.reportSlots }()
			bounded, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			asked := a.clock.Elapsed()
			report, err := a.client.Report(bounded, due.Address, due.Engine)
			a.mailbox.Send(reportEvent{due.Engine, asked, report, err == nil})
		}()
	}
}

func (a *Actor) handle(ctx context.Context, event any) {
	now := a.clock.Elapsed()
	switch e := event.(type) {
	case leaseEvent:
		a.adoptLease(now, e)
	case orderEvent:
		if e.order.Claim != a.plannerToken {
			return
		}
		a.planner.Answered(now, e.order, e.answer)
	case reportEvent:
		if !a.planner.Reported(now, e.asked, e.engine, e.report, e.ok) {
			return
		}
		if number, leased := a.lease.Token(); leased && number == a.plannerToken {
			// An engine is free again: what waits for it is ordered, and what is loaded is published, without waiting for the next
			// interval.
			a.plan(ctx, now, number)
		}
	case resign:
		a.stopped = true
		a.lease.Release()
		close(e.done)
	}
}

// adoptLease is the one place where a lease is taken over.
func (a *Actor) adoptLease(now clock.Mark, e leaseEvent) {
	a.leaseRequested = false
	granted := e.answer.Granted
	if granted == nil {
		wait := max(a.settings.RenewInterval, e.answer.Wait)
		if !a.environment.Preferred() {
			wait += nonPreferredWait
		}
		a.nextLeaseRequest = max(a.nextLeaseRequest, now+clock.Mark(wait))
		return
	}
	if a.stopped || a.guard.InBackoff() {
		return
	}
	a.nextLeaseRequest = e.asked + clock.Mark(a.settings.RenewInterval)
	if granted.Token != a.plannerToken {
		// A fresh lease starts from the reports alone, and from what was announced under earlier leases. One that lapsed and
		// was renewed is not fresh: nobody else has ordered meanwhile.
		a.inherit(now, granted)
	}
	a.lease.Renew(e.asked, granted)
}

func (a *Actor) inherit(now clock.Mark, granted *statemachine.PlannerLease) {
	counters := a.planner.Counters
	a.planner, a.plannerToken = NewPlanner(a.settings, now), granted.Token
	a.planner.Counters = counters
	a.planner.Inherit(now, granted)
}
