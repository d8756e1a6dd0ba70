package tenantquota

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/quota"
)

const (
	// mailboxSize is how many events wait for the actor before a sender has to.
	mailboxSize = 256
	// callTimeout bounds a call to the leader. A leader that takes longer is no help to a request that waits: the daemon
	// goes on by credit.
	callTimeout = 150 * time.Millisecond
	// observePeriod is how often the limiter looks for a new leader while no request asks for a token. A leader reserves what
	// daemons may spend until they have reported to it.
	observePeriod = 400 * time.Millisecond
	// takeLimit bounds how long a request waits for a decision, whatever becomes of the calls that it waits for.
	takeLimit = 400 * time.Millisecond
	// undecidedRetryAfter is when a client should retry that a daemon gave no decision, as it has stopped or its calls hang.
	undecidedRetryAfter = 200 * time.Millisecond
)

// Leader is what a limiter knows of the fleet.
type Leader struct {
	// Term is that of the newest leader known, Daemons the number of daemons that route.
	Term    uint64
	Daemons int
	// Contact is up to when a majority of the control group is known to have been in contact; zero is never.
	Contact clock.Mark
}

// Dependencies are what a limiter depends on. Functions must be safe for concurrent use.
type Dependencies struct {
	Clock clock.Clock
	// Ask makes one call to the leader.
	Ask func(context.Context, quota.Request) (quota.Reply, error)
	// Leader gives what is known of the leader now.
	Leader func() Leader
	// Neighbours are asked for loans while no leader answers.
	Neighbours Neighbours
	// Log takes the changes of state.
	Log log.Interface
}

// Limiter is the actor that owns a daemon's quota.Limiter. Its methods are safe for concurrent use.
type Limiter struct {
	Dependencies
	core    *quota.Limiter
	mailbox *actor.Mailbox[func()]
	waiters map[quota.WaiterID]chan quota.Decision
	// wakeAt is when the timer that was set last wakes the actor.
	wakeAt clock.Mark
	// addresses are the neighbours as of the last call that the leader did not answer.
	addresses []string
	ctx       context.Context
	counts    counter
	credit    creditLog
}

// NewLimiter makes the limiter of one incarnation of a daemon.
func NewLimiter(daemon ident.NodeID, dependencies Dependencies) *Limiter {
	return &Limiter{
		Dependencies: dependencies,
		core:         quota.NewLimiter(daemon),
		mailbox:      actor.NewMailbox[func()](mailboxSize),
		waiters:      map[quota.WaiterID]chan quota.Decision{},
		counts:       newCounter(),
		credit:       creditLog{log: dependencies.Log},
	}
}

// Run owns the limiter until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.ctx = ctx
	l.mailbox.Run(ctx, observePeriod, func(event func()) {
		event()
		l.proceed()
	}, func() {
		l.observe()
		l.proceed()
	})
}

// Take decides on one request of a limited tenant, and waits for the leader where that is needed, for takeLimit at most.
func (l *Limiter) Take(tenant string, limit quota.Limit) quota.Decision {
	decided := make(chan quota.Decision, 1)
	if !l.mailbox.Send(func() { l.take(tenant, limit, decided) }) {
		return stopped()
	}
	timer := time.NewTimer(takeLimit)
	defer timer.Stop()
	for {
		select {
		case decision := <-decided:
			return decision
		case <-timer.C:
			l.mailbox.Send(func() { l.giveUp(tenant, decided) })
		case <-l.mailbox.Done():
			return stopped()
		}
	}
}

// giveUp denies a request that still waits for a decision.
func (l *Limiter) giveUp(tenant string, decided chan quota.Decision) {
	for waiter, waiting := range l.waiters {
		if waiting != decided || !l.core.Cancel(tenant, waiter) {
			continue
		}
		delete(l.waiters, waiter)
		decision := quota.Decision{Outcome: quota.Denied, RetryAfter: undecidedRetryAfter}
		l.counts.countDecision(tenant, decision)
		decided <- decision
		return
	}
}

// Return takes back the token of a request that is not sent now. A token that finds the mailbox full lapses.
func (l *Limiter) Return(tenant string, token quota.Token) {
	l.mailbox.Offer(func() { l.core.Return(tenant, token, l.Clock.Elapsed()) })
}

// stopped is the decision of a daemon that has stopped.
func stopped() quota.Decision {
	return quota.Decision{Outcome: quota.Denied, RetryAfter: undecidedRetryAfter}
}

func (l *Limiter) take(tenant string, limit quota.Limit, decided chan quota.Decision) {
	leader := l.Leader()
	l.core.ObserveLeader(leader.Term, leader.Daemons, leader.Contact)
	decision := l.core.Take(tenant, limit, l.Clock.Elapsed())
	if decision.Outcome != quota.Pending {
		l.counts.countDecision(tenant, decision)
		decided <- decision
		return
	}
	l.waiters[decision.Waiter] = decided
}

// proceed calls the leader if there is something to ask or to report, or sets a timer for when there will be.
func (l *Limiter) proceed() {
	now := l.Clock.Elapsed()
	l.borrow(now)
	if request, due := l.core.NextRequest(now); due {
		go l.ask(request)
		return
	}
	at, due := l.core.NextRequestAt(now)
	if !due || l.wakeAt > now && l.wakeAt <= at {
		return
	}
	l.wakeAt = at
	time.AfterFunc(max(at.Since(now), time.Millisecond), func() { l.mailbox.Send(func() { l.wake(at) }) })
}

// wake ends the timer that was set for a moment. The core's clock may not have reached that yet: then another is set.
func (l *Limiter) wake(at clock.Mark) {
	if l.wakeAt == at {
		l.wakeAt = 0
	}
	l.observe()
}

// observe tells the core what is known of the leader by now.
func (l *Limiter) observe() {
	leader := l.Leader()
	l.core.ObserveLeader(leader.Term, leader.Daemons, leader.Contact)
}

// ask makes one call to the leader, on a goroutine of its own that ends with the actor's context.
func (l *Limiter) ask(request quota.Request) {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	reply, err := l.Ask(ctx, request)
	l.mailbox.Send(func() { l.answered(reply, err) })
}

// answered takes in how a call to the leader ended.
func (l *Limiter) answered(reply quota.Reply, err error) {
	now := l.Clock.Elapsed()
	onCreditBefore := l.counts.onCredit
	l.counts.calls++
	if err != nil {
		l.counts.unanswered++
		l.observeNeighbours()
		l.resolve(l.core.Unanswered(now))
	} else {
		l.counts.countTokens(reply)
		l.resolve(l.core.Replied(reply, now))
	}
	l.noteCredit(err, onCreditBefore, now)
}

// noteCredit logs where the daemon now begins or ends to decide on credit.
func (l *Limiter) noteCredit(cause error, onCreditBefore uint64, now clock.Mark) {
	switch {
	case l.core.Unreachable():
		l.credit.begin(cause, onCreditBefore, now)
	case l.credit.open && openDeficit(l.core.Status(now)) == 0:
		l.credit.end(l.counts.onCredit, now)
	}
}

// openDeficit is what was spent on credit and no leader has acknowledged.
func openDeficit(uses []quota.TenantUse) uint64 {
	total := uint64(0)
	for _, use := range uses {
		total += use.Deficit
	}
	return total
}

// resolve hands decisions to those that wait for them.
func (l *Limiter) resolve(resolutions []quota.Resolution) {
	for _, resolution := range resolutions {
		if decided, waits := l.waiters[resolution.Waiter]; waits {
			delete(l.waiters, resolution.Waiter)
			l.counts.countDecision(resolution.Tenant, resolution.Decision)
			decided <- resolution.Decision
		}
	}
}

// Status gives the tenants in use on this daemon; nothing once it has stopped.
func (l *Limiter) Status() []quota.TenantUse {
	uses, _ := read(l, func() []quota.TenantUse { return l.core.Status(l.Clock.Elapsed()) })
	return uses
}

// OnCredit reports whether the leader did not answer the last call, so that requests are decided on credit.
func (l *Limiter) OnCredit() bool {
	onCredit, _ := read(l, l.core.Unreachable)
	return onCredit
}

// Counts gives what was counted; false once it has stopped.
func (l *Limiter) Counts() (Snapshot, bool) {
	return read(l, func() Snapshot { return l.counts.snapshot(l.core.Status(l.Clock.Elapsed())) })
}

// read runs a function on the limiter's actor; false once it has stopped.
func read[T any](l *Limiter, function func() T) (T, bool) {
	var none T
	results := make(chan T, 1)
	if !l.mailbox.Send(func() { results <- function() }) {
		return none, false
	}
	select {
	case result := <-results:
		return result, true
	case <-l.mailbox.Done():
		return none, false
	}
}
