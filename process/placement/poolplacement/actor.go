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

// Surroundings is what the actor needs of its daemon.
type Surroundings interface {
	// Input gives what the plan looks at.
	Input() Input
	// Claim asks the group for the claim, or for more time under it, and tells what is about to be ordered.
	Claim(ctx context.Context, told *statemachine.Announcement, whole bool) ClaimAnswer
	// Mint stamps an order; LeaseHeld says whether what was minted may still be used.
	Mint() (ident.SnowflakeID, snowflake.Outcome)
	LeaseHeld() bool
	// MayStand says whether this daemon should try for the claim, First whether it should before others.
	MayStand() bool
	First() bool
	// Tell spreads what is known and meant of engines.
	Tell(plans map[ident.EngineID]registry.Plan)
}

// ClaimAnswer is the group's answer: the claim if it is granted, else how long the asker had better wait.
type ClaimAnswer struct {
	Granted *statemachine.PlannerLease
	Wait    time.Duration
}

// Condition is what others may see of the planner.
type Condition struct {
	Claim    ident.FencingToken
	Held     bool
	Engines  int
	InFlight int
	Lacks    []Lack
	Counters Counters
	Judged   outlier.Counters
}

// Actor plans while it holds the claim.
type Actor struct {
	around   Surroundings
	client   EngineClient
	settings Settings
	clock    clock.Clock
	log      log.Interface
	box      *actor.Mailbox[any]
	claim    *plannerlease.Lease
	planner  *Planner
	// plannerOf is the claim that the planner was made for.
	plannerOf ident.FencingToken
	asking    bool
	// askNext is when the group is asked next; until then there is nothing to be had.
	askNext   clock.Mark
	stoodFrom clock.Mark
	turn      uint64
	// planNext is when the plan is made next.
	planNext clock.Mark
	// rest is how long the plan gives way after a step that took long.
	rest      stepRest
	condition atomic.Pointer[Condition]
	steps     stepLog
	stopped   bool
	// asks bounds how many engines are asked for their reports at once.
	asks chan struct{}
}

type (
	claimed struct {
		asked  clock.Mark
		answer ClaimAnswer
	}
	answered struct {
		order  Order
		answer Answer
	}
	reported struct {
		engine ident.EngineID
		asked  clock.Mark
		report Report
		ok     bool
	}
	standDown struct{ done chan struct{} }
)

const (
	// claimMargin is taken off the end of a claim for clock-rate error.
	claimMargin = 300 * time.Millisecond
	// reportLimit bounds the wait for a report.
	reportLimit = 700 * time.Millisecond
	// asksAtOnce is how many engines are asked for their reports at once.
	asksAtOnce = 64
	// othersWait is for how long others leave a free claim to the one that should have it.
	othersWait = 500 * time.Millisecond
)

// NewActor makes the actor.
func NewActor(around Surroundings, client EngineClient, settings Settings, c clock.Clock, logger log.Interface) *Actor {
	a := &Actor{around: around, client: client, settings: settings, clock: c, log: logger, box: actor.NewMailbox[any](1024),
		claim: plannerlease.New(c, claimMargin), planner: NewPlanner(settings, c.Elapsed()), asks: make(chan struct{}, asksAtOnce)}
	a.condition.Store(&Condition{})
	return a
}

// Condition tells where the planner stands.
func (a *Actor) Condition() Condition { return *a.condition.Load() }

// Run runs the actor until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	a.box.Run(ctx, a.settings.Look, func(event any) { a.take(ctx, event) }, func() { a.look(ctx) })
}

// StandDown gives up planning for good; it returns when no further order can leave.
func (a *Actor) StandDown() {
	done := make(chan struct{})
	if a.box.Send(standDown{done}) {
		select {
		case <-done:
		case <-a.box.Done():
		}
	}
}

// look asks for the reports that are due, and makes the plan when its time has come.
func (a *Actor) look(ctx context.Context) {
	now := a.clock.Elapsed()
	// A tick may come a little early.
	if now+clock.Mark(a.settings.Look/4) >= a.planNext {
		a.planNext = max(a.planNext+clock.Mark(a.settings.Beat), now)
		a.beat(ctx)
		return
	}
	if number, held := a.claim.Token(); held && number == a.plannerOf {
		a.askForReports(ctx, now)
	}
}

func (a *Actor) beat(ctx context.Context) {
	now := a.clock.Elapsed()
	a.askForClaim(ctx, now)
	number, held := a.claim.Token()
	if held && number == a.plannerOf {
		a.plan(ctx, now, number)
	}
	before := a.condition.Load()
	if held != before.Held || number != before.Claim {
		a.log.WithFields(log.Fields{"claim": uint64(number), "held": held}).Info("planning of pools")
	}
	next := &Condition{Claim: number, Held: held}
	if held {
		next.Engines, next.InFlight, next.Counters = len(a.planner.engines), a.planner.InFlight(), a.planner.Counters
		next.Lacks = append([]Lack(nil), a.planner.Lacks...)
	} else {
		next.Counters = a.planner.Counters
	}
	next.Judged = a.planner.judge.Counters
	a.condition.Store(next)
}

// askForClaim asks the group when there may be something to be had. Who may have it first does not wait.
func (a *Actor) askForClaim(ctx context.Context, now clock.Mark) {
	if a.stopped || a.asking || now < a.askNext {
		return
	}
	_, held := a.claim.Token()
	if !held {
		if !a.around.MayStand() {
			a.stoodFrom = 0
			return
		}
		if a.stoodFrom == 0 {
			a.stoodFrom = now
		}
		if !a.around.First() && now.Since(a.stoodFrom) < othersWait {
			return
		}
	}
	a.asking, a.askNext = true, now+clock.Mark(a.settings.Renew)
	go func() {
		bounded, cancel := context.WithTimeout(ctx, a.settings.Span)
		defer cancel()
		a.box.Send(claimed{now, a.around.Claim(bounded, nil, !held)})
	}()
}

// plan asks for reports, tells what is planned, and sends the orders.
func (a *Actor) plan(ctx context.Context, now clock.Mark, number ident.FencingToken) {
	if !a.rest.over(now) {
		// Whoever has an order is still asked, so that its end is seen.
		a.askForReports(ctx, now)
		return
	}
	began := a.clock.Elapsed()
	given := a.planner.Step(a.around.Input())
	a.rest.stepped(began, a.clock.Elapsed(), a.settings.Beat)
	a.logSteps(now, a.clock.Elapsed().Since(began))
	a.askForReports(ctx, now)
	if plans := a.planner.Plans(now); len(plans) > 0 {
		a.turn++
		for id, plan := range plans {
			plan.Claim, plan.Sequence = number, a.turn
			plans[id] = plan
		}
		a.around.Tell(plans)
	}
	var orders []Order
	addresses := map[ident.EngineID]string{}
	for _, order := range given {
		stamp, verdict := a.around.Mint()
		if verdict != snowflake.Generated {
			// Without a lease of a worker id nothing may be ordered.
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
		go a.send(ctx, number, a.planner.Told(orders), orders, addresses)
	}
}

// send tells the group of the orders first, so that a successor counts the loads and keeps quiet after the
// last however this daemon ends, and then sends them.
func (a *Actor) send(ctx context.Context, number ident.FencingToken, told *statemachine.Announcement, orders []Order, addresses map[ident.EngineID]string) {
	mayLeave := func() bool { return a.claim.Allows(number) && a.around.LeaseHeld() }
	asked := a.clock.Elapsed()
	give := func(order Order) {
		// The limit counts from before the telling, so that what was told of is not on its way for longer.
		bounded, cancel := context.WithTimeout(ctx, a.settings.OrderLimit-a.clock.Elapsed().Since(asked))
		defer cancel()
		a.box.Send(answered{order, a.client.Order(bounded, addresses[order.Engine], order, mayLeave)})
	}
	bounded, cancel := context.WithTimeout(ctx, a.settings.OrderLimit)
	answer := a.around.Claim(bounded, told, false)
	cancel()
	known := answer.Granted != nil && answer.Granted.Token == number
	if known {
		a.box.Send(claimed{asked, answer})
	}
	for _, order := range orders {
		if known {
			go give(order)
		} else {
			a.box.Send(answered{order, Unsent})
		}
	}
}

func (a *Actor) askForReports(ctx context.Context, now clock.Mark) {
	for _, ask := range a.planner.Due(now) {
		go func() {
			select {
			case a.asks <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-a.asks }()
			bounded, cancel := context.WithTimeout(ctx, reportLimit)
			defer cancel()
			asked := a.clock.Elapsed()
			report, err := a.client.Report(bounded, ask.Address, ask.Engine)
			a.box.Send(reported{ask.Engine, asked, report, err == nil})
		}()
	}
}

func (a *Actor) take(ctx context.Context, event any) {
	now := a.clock.Elapsed()
	switch e := event.(type) {
	case claimed:
		a.takeClaim(now, e)
	case answered:
		if e.order.Claim != a.plannerOf {
			return
		}
		a.planner.Answered(now, e.order, e.answer)
	case reported:
		if !a.planner.Reported(now, e.asked, e.engine, e.report, e.ok) {
			return
		}
		if number, held := a.claim.Token(); held && number == a.plannerOf {
			// An engine is free again: what waits for it is ordered, and what has come is told, without a beat's delay.
			a.plan(ctx, now, number)
		}
	case standDown:
		a.stopped = true
		a.claim.Release()
		close(e.done)
	}
}

// takeClaim is the one place where the claim is taken up.
func (a *Actor) takeClaim(now clock.Mark, e claimed) {
	a.asking = false
	granted := e.answer.Granted
	if granted == nil {
		wait := max(a.settings.Renew, e.answer.Wait)
		if !a.around.First() {
			wait += othersWait
		}
		a.askNext = max(a.askNext, now+clock.Mark(wait))
		return
	}
	if a.stopped {
		return
	}
	a.askNext = e.asked + clock.Mark(a.settings.Renew)
	if granted.Token != a.plannerOf {
		// A fresh claim starts from the reports alone, and from what the claims before told. One that lapsed and
		// went on is no fresh one: nobody else has ordered meanwhile.
		a.inherit(now, granted)
	}
	a.claim.Renew(e.asked, granted)
}

func (a *Actor) inherit(now clock.Mark, granted *statemachine.PlannerLease) {
	counters := a.planner.Counters
	a.planner, a.plannerOf = NewPlanner(a.settings, now), granted.Token
	a.planner.Counters = counters
	a.planner.Inherit(now, granted)
}
