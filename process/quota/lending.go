package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// maxLoanAttempts is how many neighbours are asked, one after another, before the requests that wait are denied.
	maxLoanAttempts = 4
	// LoanTimeout is how long a daemon waits for a neighbour's answer.
	LoanTimeout = 50 * time.Millisecond
)

// LoanRequest asks a neighbour, another daemon of the zone, for tokens of a tenant while the leader is out of reach.
type LoanRequest struct {
	Tenant string
	// Count is the number of tokens wanted.
	Count int
	// Sequence numbers the loan requests of an incarnation.
	Sequence uint64
}

// loanInProgress is a loan request without an answer yet.
type loanInProgress struct {
	sequence uint64
	sentAt   clock.Mark
}

// ObserveNeighbours notes how many daemons may be asked for loans; 0 means that none are to be asked.
func (l *Limiter) ObserveNeighbours(count int) { l.neighbours = count }

// Lend spends this daemon's credit for a neighbour and returns the number of tokens lent. They are in this daemon's deficit,
// which it settles with the leader, so a loan needs no account between the two; one whose answer is lost lapses unspent.
func (l *Limiter) Lend(request LoanRequest, limit Limit, now clock.Mark) int {
	l.observeTime(now)
	tenant := l.tenantOf(request.Tenant, limit, now)
	tenant.limit = limit
	tenant.lastUsed = now
	lent := 0
	for lent < request.Count && l.spendCredit(tenant, now) {
		lent++
	}
	tenant.counters.lent += uint64(lent)
	l.updatePending(request.Tenant, tenant)
	return lent
}

// NextLoanRequest returns a request that is to be sent to a neighbour now, if there is one. The caller chooses the neighbour
// and calls LoanAnswered once. It is called after each Pending, Unanswered and LoanAnswered, until it returns false.
func (l *Limiter) NextLoanRequest(now clock.Mark) (LoanRequest, bool) {
	if !l.contact.unreachable {
		return LoanRequest{}, false
	}
	// The order of names makes equal histories equal.
	for _, name := range slices.Sorted(maps.Keys(l.pending)) {
		tenant := l.pending[name]
		if len(tenant.waiting) == 0 || tenant.loan != nil || !l.mayBorrow(tenant) {
			continue
		}
		l.loanSequence++
		tenant.loanAttempts++
		tenant.loan = &loanInProgress{sequence: l.loanSequence, sentAt: now}
		return LoanRequest{Tenant: name, Count: len(tenant.waiting), Sequence: l.loanSequence}, true
	}
	return LoanRequest{}, false
}

// mayBorrow reports whether another neighbour may be asked for those that wait.
func (l *Limiter) mayBorrow(tenant *tenantTokens) bool {
	return tenant.loanAttempts < min(maxLoanAttempts, l.neighbours)
}

// LoanAnswered takes in how many tokens a neighbour lent, 0 if it did not answer, and returns the decisions on those that
// waited. The tokens lapse TokenValidity after the loan was asked for.
func (l *Limiter) LoanAnswered(request LoanRequest, lent int, now clock.Mark) []Resolution {
	tenant, found := l.tenants[request.Tenant]
	if !found || tenant.loan == nil || tenant.loan.sequence != request.Sequence {
		return nil
	}
	l.observeTime(now)
	sentAt := tenant.loan.sentAt
	tenant.loan = nil
	if lent > 0 {
		tenant.counters.borrowed += uint64(lent)
		tenant.tokens = append(tenant.tokens, tokenLease{count: lent, expires: sentAt + clock.Mark(TokenValidity)})
	}
	var resolutions []Resolution
	for len(tenant.waiting) > 0 && tenant.spendToken(now) {
		resolutions = append(resolutions, tenant.resolveFirst(request.Tenant, tenant.granted(tenant.tokens[0].expires, now)))
	}
	if l.contact.unreachable {
		resolutions = append(resolutions, l.denyWithoutCredit(request.Tenant, tenant, now)...)
	}
	l.updatePending(request.Tenant, tenant)
	return resolutions
}

// denyWithoutCredit denies those that wait while the leader is out of reach, unless a neighbour may still lend. The next ones
// may ask neighbours anew once the denial has ended.
func (l *Limiter) denyWithoutCredit(name string, tenant *tenantTokens, now clock.Mark) []Resolution {
	if len(tenant.waiting) == 0 {
		tenant.loanAttempts = 0
		return nil
	}
	if l.contact.askingAgain || tenant.loan != nil || l.mayBorrow(tenant) {
		return nil
	}
	tenant.loanAttempts = 0
	tenant.deniedUntil = now + clock.Mark(unreachableRetryAfter)
	return tenant.denyWaiting(name, now)
}
