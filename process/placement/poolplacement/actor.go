package poolplacement

import (
	"context"
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
	item := &Actor{environment: environment, client: client, settings: settings, clock: c, log: logger, mailbox: actor.NewMailbox[any](1024),
		lease: plannerlease.New(c, leaseMargin), planner: NewPlanner(settings, c.Elapsed()), reportSlots: make(chan struct{}, maxConcurrentReports)}
	item.status.Store(&Status{})
	return item
}

// Status gives what the planner published last. It may be called from any goroutine.
func (item *Actor) Status() Status { return *item.status.Load() }

// Run runs the actor until ctx ends.
func (item *Actor) Run(ctx context.Context) {
	item.mailbox.Run(ctx, item.settings.PollInterval, func(event any) { item.handle(ctx, event) }, func() { item.poll(ctx) })
}

// Resign ends planning for good; when it returns no further order can be sent.
func (item *Actor) Resign() {
	done := make(chan struct{})
	if item.mailbox.Send(resign{done}) {
		select {
		case <-done:
		case <-item.mailbox.Done():
		}
	}
}

// poll requests the reports that are due, and makes the plan when its time has come.
func (item *Actor) poll(ctx context.Context) {
	now := item.clock.Elapsed()
	// A tick may come a little early.
	if now+clock.Mark(item.settings.PollInterval/4) >= item.nextPlan {
		item.nextPlan = max(item.nextPlan+clock.Mark(item.settings.PlanInterval), now)
		item.planAndPublish(ctx)
		return
	}
	if number, leased := item.lease.Token(); leased && number == item.plannerToken {
		item.requestReports(ctx, now)
	}
}

func (item *Actor) planAndPublish(ctx context.Context) {
	now := item.clock.Elapsed()
	item.requestLease(ctx, now)
	number, leased := item.lease.Token()
	if leased && number == item.plannerToken {
		item.plan(ctx, now, number)
	}
	before := item.status.Load()
	if leased != before.HasLease || number != before.Token {
		item.log.WithFields(log.Fields{"claim": uint64(number), "held": leased}).Info("planning of pools")
	}
	next := &Status{Token: number, HasLease: leased}
	if leased {
		next.Engines, next.PendingOrders, next.Counters = len(item.planner.engines), item.planner.PendingOrders(), item.planner.Counters
		next.Unplaced = append([]Unplaced(nil), item.planner.Unplaced...)
	} else {
		next.Counters = item.planner.Counters
	}
	next.Outliers = item.planner.outliers.Counters
	item.status.Store(next)
}

// requestLease acquires or renews the lease when it is due. A daemon that is not preferred first waits for a while.
func (item *Actor) requestLease(ctx context.Context, now clock.Mark) {
	if item.stopped || item.leaseRequested || now < item.nextLeaseRequest {
		return
	}
	_, leased := item.lease.Token()
	if !leased {
		if !item.environment.MayPlan() {
			item.waitingSince = 0
			return
		}
		if item.waitingSince == 0 {
			item.waitingSince = now
		}
		if !item.environment.Preferred() && now.Since(item.waitingSince) < nonPreferredWait {
			return
		}
	}
	item.leaseRequested, item.nextLeaseRequest = true, now+clock.Mark(item.settings.RenewInterval)
	go func() {
		bounded, cancel := context.WithTimeout(ctx, item.settings.LeaseSpan)
		defer cancel()
		item.mailbox.Send(leaseEvent{now, item.environment.Claim(bounded, nil, !leased)})
	}()
}

// plan makes a step of the plan, requests reports, publishes what is planned, and sends the orders.
func (item *Actor) plan(ctx context.Context, now clock.Mark, number ident.FencingToken) {
	if !item.pause.over(now) {
		// Engines with a pending order are still asked, so that its end is seen.
		item.requestReports(ctx, now)
		return
	}
	began := item.clock.Elapsed()
	issued := item.planner.Step(item.environment.Input())
	item.pause.record(began, item.clock.Elapsed(), item.settings.PlanInterval)
	item.logSteps(now, item.clock.Elapsed().Since(began))
	item.requestReports(ctx, now)
	if plans := item.planner.Plans(now); len(plans) > 0 {
		item.sequence++
		for id, plan := range plans {
			plan.Claim, plan.Sequence = number, item.sequence
			plans[id] = plan
		}
		item.environment.Publish(plans)
	}
	var orders []Order
	addresses := map[ident.EngineID]string{}
	for _, order := range issued {
		stamp, outcome := item.environment.Mint()
		if outcome != snowflake.Generated {
			// Without a worker-id lease nothing may be ordered.
			item.planner.Withdraw(now, order.Engine)
			continue
		}
		stamped, address, ok := item.planner.Stamp(order.Engine, stamp, number)
		if !ok {
			continue
		}
		orders = append(orders, stamped)
		addresses[stamped.Engine] = address
	}
	if len(orders) > 0 {
		go item.send(ctx, number, item.planner.Announcement(orders), orders, addresses)
	}
}

// send announces the orders to the group first, so that a successor counts the loads and waits after the last order
// however this daemon ends, and then sends them.
func (item *Actor) send(ctx context.Context, number ident.FencingToken, announcement *statemachine.Announcement, orders []Order, addresses map[ident.EngineID]string) {
	maySend := func() bool { return item.lease.Allows(number) && item.environment.WorkerLeaseValid() }
	asked := item.clock.Elapsed()
	sendOne := func(order Order) {
		// The timeout counts from before the announcement, so that no announced order is on its way for longer.
		bounded, cancel := context.WithTimeout(ctx, item.settings.OrderTimeout-item.clock.Elapsed().Since(asked))
		defer cancel()
		item.mailbox.Send(orderEvent{order, item.client.Order(bounded, addresses[order.Engine], order, maySend)})
	}
	bounded, cancel := context.WithTimeout(ctx, item.settings.OrderTimeout)
	answer := item.environment.Claim(bounded, announcement, false)
	cancel()
	known := answer.Granted != nil && answer.Granted.Token == number
	if known {
		item.mailbox.Send(leaseEvent{asked, answer})
	}
	for _, order := range orders {
		if known {
			go sendOne(order)
		} else {
			item.mailbox.Send(orderEvent{order, NotSent})
		}
	}
}

func (item *Actor) requestReports(ctx context.Context, now clock.Mark) {
	for _, due := range item.planner.Due(now) {
		go func() {
			select {
			case item.reportSlots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-item.reportSlots }()
			bounded, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			asked := item.clock.Elapsed()
			report, err := item.client.Report(bounded, due.Address, due.Engine)
			item.mailbox.Send(reportEvent{due.Engine, asked, report, err == nil})
		}()
	}
}

func (item *Actor) handle(ctx context.Context, event any) {
	now := item.clock.Elapsed()
	switch e := event.(type) {
	case leaseEvent:
		item.adoptLease(now, e)
	case orderEvent:
		if e.order.Claim != item.plannerToken {
			return
		}
		item.planner.Answered(now, e.order, e.answer)
	case reportEvent:
		if !item.planner.Reported(now, e.asked, e.engine, e.report, e.ok) {
			return
		}
		if number, leased := item.lease.Token(); leased && number == item.plannerToken {
			// An engine is free again: what waits for it is ordered, and what is loaded is published, without waiting for the next
			// interval.
			item.plan(ctx, now, number)
		}
	case resign:
		item.stopped = true
		item.lease.Release()
		close(e.done)
	}
}

// adoptLease is the one place where a lease is taken over.
func (item *Actor) adoptLease(now clock.Mark, e leaseEvent) {
	item.leaseRequested = false
	granted := e.answer.Granted
	if granted == nil {
		wait := max(item.settings.RenewInterval, e.answer.Wait)
		if !item.environment.Preferred() {
			wait += nonPreferredWait
		}
		item.nextLeaseRequest = max(item.nextLeaseRequest, now+clock.Mark(wait))
		return
	}
	if item.stopped {
		return
	}
	item.nextLeaseRequest = e.asked + clock.Mark(item.settings.RenewInterval)
	if granted.Token != item.plannerToken {
		// A fresh lease starts from the reports alone, and from what was announced under earlier leases. One that lapsed and
		// was renewed is not fresh: nobody else has ordered meanwhile.
		item.inherit(now, granted)
	}
	item.lease.Renew(e.asked, granted)
}

func (item *Actor) inherit(now clock.Mark, granted *statemachine.PlannerLease) {
	counters := item.planner.Counters
	item.planner, item.plannerToken = NewPlanner(item.settings, now), granted.Token
	item.planner.Counters = counters
	item.planner.Inherit(now, granted)
}
