package quota

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// tenantBucket is what the allocator knows of one tenant.
type tenantBucket struct {
	bucket bucket
	// allowances are what the daemons that serve the tenant may spend on credit, in the order in which they came.
	allowances []*allowance
	// reportedStanding is the sum of standing rates of an earlier term that daemons have reported.
	reportedStanding float64
	lastClaim        clock.Mark
	granted, denied  uint64
	// retryAt is when the daemon that was denied last is to ask again.
	retryAt clock.Mark
}

// retryAfter is how long a denied daemon denies requests itself. Daemons are asked to return one after another, as tokens
// accrue, so that a flood on many daemons costs few requests, and all daemons get their turn.
func (t *tenantBucket) retryAfter(now clock.Mark) time.Duration {
	wait := max(minimumRetryAfter, t.bucket.accrualTime(max(retryAfterTokens, 1-t.bucket.level)))
	turn := t.retryAt + clock.Mark(t.bucket.accrualTime(retryAfterTokens))
	wait = min(maximumRetryAfter, max(wait, turn.Since(now)))
	t.retryAt = now + clock.Mark(wait)
	return wait
}

// allowance is the standing rate of one daemon for one tenant, with what it did of it.
type allowance struct {
	tenant *tenantBucket
	daemon *daemonContact
	// newest is the standing rate given with the last reply. Until the daemon shows that it received that, it may be
	// using previous instead.
	newest, previous creditRate
	// chargedTo is the daemon's counter of credit spent up to which its deficits were charged.
	chargedTo uint64
	// reserved is the amount taken out of the bucket since the daemon was last in contact, up to reservedTo. Deficits are
	// set against it.
	reserved   float64
	reservedTo clock.Mark
	// refundable is the part of reserved that goes back to the bucket if the daemon did not spend it. The rest would have
	// overflowed.
	refundable float64
}

// at is the highest rate at which the daemon may be spending on credit.
func (a *allowance) at(now clock.Mark) float64 {
	return max(a.newest.at(now), a.previous.at(now))
}

// confirm notes which standing rate the daemon has.
func (a *allowance) confirm(standingRate float64) {
	if standingRate == a.newest.perSecond {
		a.previous = creditRate{}
	}
}

// offer gives the daemon a standing rate from now on.
func (a *allowance) offer(perSecond float64, now clock.Mark) {
	if a.newest.at(now) > a.previous.at(now) {
		a.previous = a.newest
	}
	a.newest = creditRate{perSecond: perSecond, start: now}
}

// reserve returns what the daemon may have spent on credit since the last call, from its last contact on.
func (a *allowance) reserve(now clock.Mark) float64 {
	from := max(a.reservedTo, a.daemon.last)
	amount := max(a.newest.between(from, now), a.previous.between(from, now))
	a.reserved += amount
	a.refundable += amount
	a.reservedTo = now
	return amount
}

// unchargedDeficit returns the part of a claim's deficit that was not charged yet, and notes it as charged.
func (a *allowance) unchargedDeficit(claim Claim) float64 {
	from := max(a.chargedTo, claim.CreditFrom)
	if claim.CreditTo <= from {
		return 0
	}
	a.chargedTo = claim.CreditTo
	return float64(claim.CreditTo - from)
}

// chargeDeficit charges the deficit that a claim reports, as far as it was not reserved.
func (a *allowance) chargeDeficit(claim Claim) {
	deficit := a.unchargedDeficit(claim)
	covered := min(deficit, a.reserved)
	a.reserved -= covered
	a.tenant.bucket.charge(deficit - covered)
}

// refund puts back into the bucket what was reserved and not spent.
func (a *allowance) refund() {
	a.tenant.bucket.charge(-min(a.reserved, a.refundable))
	a.reserved = 0
	a.refundable = 0
}

// capRefundable keeps the bucket, with all that may go back to it, within its capacity.
func (t *tenantBucket) capRefundable() {
	total := 0.0
	for _, allowance := range t.allowances {
		total += allowance.refundable
	}
	free := t.bucket.capacity - t.bucket.level
	if total <= free {
		return
	}
	for _, allowance := range t.allowances {
		allowance.refundable *= free / total
	}
}

// remove forgets the allowance. What is reserved stays charged: it may have been spent.
func (a *allowance) remove() {
	a.tenant.allowances = slices.DeleteFunc(a.tenant.allowances, func(other *allowance) bool { return other == a })
}

// renew gives a standing rate by the daemon's own rate, within what the other daemons' leave.
func (a *allowance) renew(ownRate float64, now clock.Mark) float64 {
	limit := a.tenant.bucket.limit
	available := standingFraction * limit.RatePerSecond
	for _, other := range a.tenant.allowances {
		if other != a {
			available -= other.at(now)
		}
	}
	granted := min(standingIncrease*ownRate, limit.daemonStandingRate(), max(0, available))
	a.offer(granted, now)
	return granted
}
