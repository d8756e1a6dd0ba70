package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// maxWaiting bounds the requests of one tenant that wait for a token on one daemon; further ones are denied.
const maxWaiting = 1024

// Limiter decides on one daemon which requests of limited tenants may be sent.
type Limiter struct {
	daemon  ident.NodeID
	tenants map[string]*tenantTokens
	// pending are those of the tenants that have something to ask or report.
	pending  map[string]*tenantTokens
	contact  leaderContact
	progress *requestInProgress
	sequence uint64
	// creditSpent counts what was ever spent on credit. The counters of new tenants begin with it, so that they never
	// fall behind one that was forgotten.
	creditSpent uint64
	lastWaiter  WaiterID
	// activeAt is when a method was last called with a time.
	activeAt clock.Mark
	// standingEnd is when the last standing rate will have fallen off.
	standingEnd clock.Mark
	// neighbours is how many daemons may be asked for loans.
	neighbours   int
	loanSequence uint64
	expireAt     clock.Mark
}

// leaderContact is what a Limiter knows of the leader.
type leaderContact struct {
	// term is the latest from which a reply came; knownTerm is the latest known of.
	term, knownTerm uint64
	// unreachable holds from a request without a reply to the next reply.
	unreachable bool
	// askingAgain holds from the first request without a reply to the reply to the next one, or its failure.
	askingAgain bool
	// answeredAt is when the last request was sent that was answered. Credit accrues from then on.
	answeredAt clock.Mark
	// last is the latest moment from which the leader is known to have been in contact.
	last clock.Mark
	// sentAt is when the last request was sent.
	sentAt clock.Mark
	// retryAt is when an unreachable leader is asked again.
	retryAt clock.Mark
	// daemons is the number of routing daemons in the fleet, or 0 if it isn't known. It was counted while the leader was
	// in contact, last at countedAt: a daemon that is cut off comes to count only itself.
	daemons   int
	countedAt clock.Mark
}

// requestInProgress is the request to the leader that has no reply yet.
type requestInProgress struct {
	sequence uint64
	sentAt   clock.Mark
	// creditTo is up to where the deficit of each tenant was reported.
	creditTo map[string]uint64
}

// tenantTokens is what a Limiter knows of one tenant.
type tenantTokens struct {
	limit       Limit
	tokens      []tokenLease
	waiting     []WaiterID
	rate        smoothedRate
	standing    creditRate
	credit      creditAccount
	deniedUntil clock.Mark
	// loan is the loan request without an answer, loanAttempts the neighbours that were asked for those that wait.
	loan         *loanInProgress
	loanAttempts int
	lastUsed     clock.Mark
	counters     counters
}

// tokenLease is a number of tokens that lapse together.
type tokenLease struct {
	count   int
	expires clock.Mark
}

// counters count decisions for operators.
type counters struct {
	granted, onCredit, denied, lapsed, lent, borrowed uint64
}

// WaiterID identifies a request that waits for a token, on one Limiter.
type WaiterID uint64

// Outcome is what a Limiter decided on a request.
type Outcome int

const (
	// Pending means that a Resolution will follow.
	Pending Outcome = iota
	// Granted means that the request may be sent while its token is valid.
	Granted
	// Denied means that the tenant's limit is reached.
	Denied
)

// Token allows one request to be sent.
type Token struct {
	expires clock.Mark
}

// Valid reports whether the token may still be spent. It is to be checked right before the request is sent; a request
// with a token that has lapsed takes another one.
func (t Token) Valid(now clock.Mark) bool { return now < t.expires }

// TokenUntil returns a token that lapses at a moment, for tests of what spends tokens.
func TokenUntil(expires clock.Mark) Token { return Token{expires: expires} }

// Decision is the answer to a request for a token.
type Decision struct {
	Outcome Outcome
	// Token is set if Outcome is Granted.
	Token Token
	// OnCredit reports that a granted token was spent without the leader.
	OnCredit bool
	// RetryAfter is set if Outcome is Denied.
	RetryAfter time.Duration
	// Waiter is set if Outcome is Pending.
	Waiter WaiterID
}

// Resolution is the decision on a request that waited. Its outcome is never Pending.
type Resolution struct {
	Waiter   WaiterID
	Tenant   string
	Decision Decision
}

// NewLimiter returns the limiter of one incarnation of a daemon.
func NewLimiter(daemon ident.NodeID) *Limiter {
	return &Limiter{daemon: daemon, tenants: make(map[string]*tenantTokens), pending: make(map[string]*tenantTokens)}
}

// ObserveLeader notes what the membership knows: the latest term of a leader, the number of routing daemons in the
// fleet, and the latest moment from which the leader is known to have been in contact, 0 if none.
func (l *Limiter) ObserveLeader(term uint64, daemons int, contact clock.Mark) {
	l.contact.knownTerm = max(l.contact.knownTerm, term)
	if contact > l.contact.countedAt {
		l.contact.countedAt = contact
		l.contact.daemons = daemons
	}
	l.contact.last = max(l.contact.last, contact)
}

// Take decides on one request of a tenant under the limit in force on this daemon, which is not 0. After Pending, the
// caller calls NextRequest.
func (l *Limiter) Take(name string, limit Limit, now clock.Mark) Decision {
	l.observeTime(now)
	tenant := l.tenantOf(name, limit, now)
	tenant.limit = limit
	tenant.lastUsed = now
	if len(tenant.waiting) == 0 && tenant.spendToken(now) {
		return tenant.granted(tenant.tokens[0].expires, now)
	}
	if now < tenant.deniedUntil {
		return tenant.denied(now)
	}
	if l.contact.unreachable && l.spendCredit(tenant, now) {
		l.updatePending(name, tenant)
		return tenant.grantedOnCredit(now)
	}
	if len(tenant.waiting) >= maxWaiting {
		tenant.deniedUntil = now + clock.Mark(minimumRetryAfter)
		return tenant.denied(now)
	}
	l.lastWaiter++
	tenant.waiting = append(tenant.waiting, l.lastWaiter)
	l.updatePending(name, tenant)
	return Decision{Outcome: Pending, Waiter: l.lastWaiter}
}

// Cancel notes that a request no longer waits. It reports whether the request was waiting; if not, its Resolution has
// been returned already.
func (l *Limiter) Cancel(name string, waiter WaiterID) bool {
	tenant, found := l.tenants[name]
	if !found {
		return false
	}
	for i, waiting := range tenant.waiting {
		if waiting == waiter {
			tenant.waiting = slices.Delete(tenant.waiting, i, i+1)
			l.updatePending(name, tenant)
			return true
		}
	}
	return false
}

// Return takes back the token of a request that was granted one and isn't sent now: it is queued, or ended. The next request
// spends it, if that comes before it lapses.
func (l *Limiter) Return(name string, token Token, now clock.Mark) {
	l.observeTime(now)
	tenant, found := l.tenants[name]
	if !found || !token.Valid(now) {
		return
	}
	tenant.tokens = slices.Insert(tenant.tokens, 0, tokenLease{count: 1, expires: token.expires})
}

// observeTime notices when the daemon was stopped, or had nothing to do, for a time. No credit accrues for that: the
// leader may have been in reach, and what was reserved for the daemon is released when it is back.
func (l *Limiter) observeTime(now clock.Mark) {
	if now.Since(l.activeAt) > MaximumCallTimeout {
		l.contact.answeredAt = max(l.contact.answeredAt, now)
	}
	l.activeAt = now
}

// tenantOf returns the state of a tenant. A new one may begin with some credit.
func (l *Limiter) tenantOf(name string, limit Limit, now clock.Mark) *tenantTokens {
	tenant, found := l.tenants[name]
	if found {
		return tenant
	}
	tenant = &tenantTokens{}
	tenant.credit.spentTo = l.creditSpent
	tenant.credit.updatedAt = now
	tenant.credit.balance = creditPhase(l.daemon, name) + l.smallCredit(limit, now)
	l.tenants[name] = tenant
	return tenant
}

// smallCredit is the credit with which a tenant begins on this daemon, and that each loss of contact adds, so that tenants
// thinly spread over many daemons find some at once. It falls off like all credit.
func (l *Limiter) smallCredit(limit Limit, now clock.Mark) float64 {
	if l.contact.daemons == 0 {
		return 0
	}
	tokens := unservedTokens + unservedFraction*limit.RatePerSecond
	return creditFraction(now.Since(l.contact.last)) * min(1, tokens/float64(l.contact.daemons))
}

// spendCredit takes one token on credit, or reports that there is none.
func (l *Limiter) spendCredit(tenant *tenantTokens, now clock.Mark) bool {
	if l.contact.answeredAt > tenant.credit.updatedAt {
		tenant.credit.balance += l.smallCredit(tenant.limit, now)
	}
	tenant.credit.accrue(l.creditRate(tenant, now), l.contact.answeredAt, now)
	if !tenant.credit.spend(now) {
		return false
	}
	l.creditSpent++
	return true
}

// creditRate is the rate at which a tenant's credit accrues: the standing rate, within the limit in force, or the rate of
// a tenant that the daemon has not served lately.
func (l *Limiter) creditRate(tenant *tenantTokens, now clock.Mark) creditRate {
	standing := tenant.standing
	standing.perSecond = min(standing.perSecond, tenant.limit.daemonStandingRate())
	if l.contact.daemons == 0 {
		return standing
	}
	perSecond := unservedFraction * tenant.limit.RatePerSecond / float64(l.contact.daemons)
	unserved := creditRate{perSecond: perSecond, start: l.contact.last}
	if standing.at(now) >= unserved.at(now) {
		return standing
	}
	return unserved
}

// spendToken takes one token that is valid, or reports that there is none. Those that lapsed are dropped. The token is
// of the first lease.
func (t *tenantTokens) spendToken(now clock.Mark) bool {
	for len(t.tokens) > 0 {
		first := &t.tokens[0]
		if first.count > 0 && now < first.expires {
			first.count--
			return true
		}
		t.counters.lapsed += uint64(first.count)
		t.tokens = t.tokens[1:]
	}
	return false
}

// granted counts a request that may be sent until the token expires.
func (t *tenantTokens) granted(expires, now clock.Mark) Decision {
	t.rate.add(now)
	t.counters.granted++
	return Decision{Outcome: Granted, Token: Token{expires: expires}}
}

// grantedOnCredit counts a request that may be sent on credit.
func (t *tenantTokens) grantedOnCredit(now clock.Mark) Decision {
	t.counters.onCredit++
	decision := t.granted(now+clock.Mark(TokenValidity), now)
	decision.OnCredit = true
	return decision
}

// denied counts a request that may not be sent.
func (t *tenantTokens) denied(now clock.Mark) Decision {
	t.counters.denied++
	return Decision{Outcome: Denied, RetryAfter: t.deniedUntil.Since(now)}
}

// smoothedRate is an exponentially smoothed rate of events.
type smoothedRate struct {
	perSecond float64
	updatedAt clock.Mark
}

// add counts one event.
func (r *smoothedRate) add(now clock.Mark) {
	r.perSecond = r.at(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// at returns the rate in events a second.
func (r *smoothedRate) at(now clock.Mark) float64 {
	elapsed := now.Since(r.updatedAt)
	return r.perSecond * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
}
