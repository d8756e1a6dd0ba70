package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cresspond/cresspond/clock"
)

// NextRequest returns the request that is to be sent to the leader now, if there is one. Its caller answers it with
// Replied or Unanswered; there is one request in progress at a time. It is called after each Pending, Replied, Unanswered
// and ObserveLeader, and at NextRequestAt.
func (l *Limiter) NextRequest(now clock.Mark) (Request, bool) {
	l.observeTime(now)
	if l.progress != nil {
		return Request{}, false
	}
	l.expire(now)
	at, due := l.NextRequestAt(now)
	if !due || now < at {
		return Request{}, false
	}
	l.sequence++
	l.contact.sentAt = now
	l.progress = &requestInProgress{
		sequence: l.sequence,
		sentAt:   now,
		creditTo: make(map[string]uint64),
	}
	request := Request{Daemon: l.daemon, Sequence: l.sequence, Term: l.contact.term}
	newTerm := l.contact.term < l.contact.knownTerm
	for name, tenant := range l.claimants(newTerm, now) {
		claim := l.claim(name, tenant, now)
		l.progress.creditTo[name] = claim.CreditTo
		request.Claims = append(request.Claims, claim)
	}
	slices.SortFunc(request.Claims, func(a, b Claim) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return request, true
}

// NextRequestAt returns when NextRequest has a request to send, unless something happens before. It returns false while a
// request is in progress, or if nothing is to be sent.
func (l *Limiter) NextRequestAt(now clock.Mark) (clock.Mark, bool) {
	if l.progress != nil {
		return 0, false
	}
	at, due := l.requestDueAt(now)
	if due && l.contact.unreachable {
		at = max(at, l.contact.retryAt)
	}
	return at, due
}

// requestDueAt returns when there is something to ask or report: at once for requests that wait, deficits and a new
// term, and after KeepaliveInterval while there is a standing rate.
func (l *Limiter) requestDueAt(now clock.Mark) (clock.Mark, bool) {
	if len(l.pending) > 0 || l.contact.term < l.contact.knownTerm {
		return now, true
	}
	return l.contact.sentAt + clock.Mark(KeepaliveInterval), now < l.standingEnd
}

// claimants returns the tenants that a request to the leader names: those with something to ask or report, and in a new
// term all those with a standing rate.
func (l *Limiter) claimants(newTerm bool, now clock.Mark) map[string]*tenantTokens {
	if !newTerm {
		return l.pending
	}
	named := maps.Clone(l.pending)
	for name, tenant := range l.tenants {
		if tenant.standing.at(now) > 0 {
			named[name] = tenant
		}
	}
	return named
}

// updatePending notes whether a tenant has something to ask or report.
func (l *Limiter) updatePending(name string, tenant *tenantTokens) {
	if len(tenant.waiting) > 0 || len(tenant.credit.deficits) > 0 {
		l.pending[name] = tenant
		return
	}
	delete(l.pending, name)
}

// claim returns what is asked and reported for one tenant.
func (l *Limiter) claim(name string, tenant *tenantTokens, now clock.Mark) Claim {
	claim := Claim{
		Tenant:        name,
		Waiting:       len(tenant.waiting),
		RatePerSecond: tenant.rate.at(now),
		StandingRate:  tenant.standing.perSecond,
		StandingAge:   now.Since(tenant.standing.start),
		CreditFrom:    tenant.credit.spentTo - tenant.credit.deficitCount(),
		CreditTo:      tenant.credit.spentTo,
	}
	if claim.Waiting > 0 {
		claim.Prefetch = int(math.Floor(claim.RatePerSecond * PrefetchPeriod.Seconds()))
	}
	return claim
}

// Replied handles the leader's reply and returns the decisions on the requests that waited for it. A reply to any but
// the request in progress is ignored; one of a leader that has been replaced counts as no reply.
func (l *Limiter) Replied(reply Reply, now clock.Mark) []Resolution {
	if l.progress == nil || reply.Sequence != l.progress.sequence {
		return nil
	}
	if reply.Term < l.contact.term {
		return l.Unanswered(now)
	}
	l.observeTime(now)
	progress := l.progress
	l.progress = nil
	l.observeTerm(reply, progress)
	l.contact.unreachable = false
	l.contact.askingAgain = false
	l.contact.answeredAt = progress.sentAt
	l.contact.last = max(l.contact.last, progress.sentAt)
	var resolutions []Resolution
	for _, allotment := range reply.Allotments {
		tenant, found := l.tenants[allotment.Tenant]
		if !found {
			continue
		}
		tenant.receive(allotment, progress.sentAt)
		if allotment.StandingRate > 0 {
			l.standingEnd = max(l.standingEnd, progress.sentAt+clock.Mark(creditEnd))
		}
		resolutions = append(resolutions, tenant.resolve(allotment, now)...)
		l.updatePending(allotment.Tenant, tenant)
	}
	return resolutions
}

// observeTerm takes in the term of a reply. In the same term, it acknowledges the deficits that were reported; in a new
// one, those from before the leader led are dropped, as no leader is to charge them, and the others reported next.
func (l *Limiter) observeTerm(reply Reply, progress *requestInProgress) {
	if reply.Term == l.contact.term {
		for name, to := range progress.creditTo {
			if tenant, found := l.tenants[name]; found {
				tenant.credit.acknowledge(to)
				l.updatePending(name, tenant)
			}
		}
		return
	}
	l.contact.term = reply.Term
	l.contact.knownTerm = max(l.contact.knownTerm, reply.Term)
	ledFrom := progress.sentAt - clock.Mark(reply.LeaderFor)
	for name, tenant := range l.pending {
		tenant.credit.dropBefore(ledFrom)
		l.updatePending(name, tenant)
	}
}

// receive takes in the tokens and the standing rate of an allotment to a request sent at a moment.
func (t *tenantTokens) receive(allotment Allotment, sentAt clock.Mark) {
	t.standing = creditRate{perSecond: allotment.StandingRate, start: sentAt}
	if allotment.Count > 0 {
		t.tokens = append(t.tokens, tokenLease{count: allotment.Count, expires: sentAt + clock.Mark(TokenValidity)})
	}
}

// resolve gives tokens to the requests that wait, in their order, and denies those that were claimed and got none. Later
// ones wait for the next request, unless the denial holds for them too.
func (t *tenantTokens) resolve(allotment Allotment, now clock.Mark) []Resolution {
	var resolutions []Resolution
	for len(t.waiting) > 0 && t.spendToken(now) {
		resolutions = append(resolutions, t.resolveFirst(allotment.Tenant, t.granted(t.tokens[0].expires, now)))
	}
	if allotment.RetryAfter <= 0 {
		return resolutions
	}
	t.deniedUntil = now + clock.Mark(allotment.RetryAfter)
	return append(resolutions, t.denyWaiting(allotment.Tenant, now)...)
}

// denyWaiting denies all requests that wait.
func (t *tenantTokens) denyWaiting(name string, now clock.Mark) []Resolution {
	var resolutions []Resolution
	for len(t.waiting) > 0 {
		resolutions = append(resolutions, t.resolveFirst(name, t.denied(now)))
	}
	return resolutions
}

// resolveFirst takes the first request out of those that wait.
func (t *tenantTokens) resolveFirst(name string, decision Decision) Resolution {
	waiter := t.waiting[0]
	t.waiting = t.waiting[1:]
	return Resolution{Waiter: waiter, Tenant: name, Decision: decision}
}

// Unanswered notes that the request in progress failed or timed out. Until the leader replies again, requests are
// decided by credit; it returns the decisions on those that waited. Those for which there is no credit wait for one more
// request, in case only a message was lost, before they are denied. If it comes after MaximumCallTimeout, the daemon was
// stopped meanwhile, and the leader is asked once more first.
func (l *Limiter) Unanswered(now clock.Mark) []Resolution {
	if l.progress == nil {
		return nil
	}
	l.observeTime(now)
	late := now.Since(l.progress.sentAt) > MaximumCallTimeout
	l.progress = nil
	if late && !l.contact.unreachable {
		return nil
	}
	l.contact.askingAgain = !l.contact.unreachable
	l.contact.unreachable = true
	l.contact.retryAt = now
	if !l.contact.askingAgain {
		l.contact.retryAt += clock.Mark(RetryInterval)
	}
	var resolutions []Resolution
	for name, tenant := range l.pending {
		for len(tenant.waiting) > 0 && l.spendCredit(tenant, now) {
			resolutions = append(resolutions, tenant.resolveFirst(name, tenant.grantedOnCredit(now)))
		}
		resolutions = append(resolutions, l.denyWithoutCredit(name, tenant, now)...)
		l.updatePending(name, tenant)
	}
	slices.SortFunc(resolutions, func(a, b Resolution) int { return cmp.Compare(a.Waiter, b.Waiter) })
	return resolutions
}

// expire forgets tenants that have not been in use for idleTimeout and have nothing to report.
func (l *Limiter) expire(now clock.Mark) {
	if now < l.expireAt {
		return
	}
	l.expireAt = now + clock.Mark(expireInterval)
	for name, tenant := range l.tenants {
		_, pending := l.pending[name]
		if !pending && now.Since(tenant.lastUsed) > idleTimeout {
			delete(l.tenants, name)
		}
	}
}
