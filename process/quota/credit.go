package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// standingFraction is the part of a tenant's rate that all standing rates together may take. The rest pays for the
	// time until the leader notices that a daemon is out of contact.
	standingFraction = 0.7
	// daemonStandingFraction is the part that the standing rate of one daemon may take, so that a new leader need not reserve
	// much for the few daemons that it has not heard.
	daemonStandingFraction = 0.25
	// standingIncrease is the ratio of a standing rate to the rate spent, so that clumps and estimates that are too low
	// find credit as well.
	standingIncrease = 1.25
	// fullCreditPeriod is how long credit is granted in full, longer than a usual change of leader takes.
	fullCreditPeriod = 3 * time.Second
	// creditHalvingTime is the time in which credit halves after that.
	creditHalvingTime = 2 * time.Second
	// creditEnd is the age at which credit ends: a rest of less than a twentieth.
	creditEnd = 12 * time.Second
	// creditAccumulation is for how long unused credit accumulates.
	creditAccumulation = time.Second

	// unservedFraction is the part of a tenant's rate that all daemons without a standing rate together may spend.
	unservedFraction = 0.05
	// unservedTokens is the number of tokens that they may spend at once, beside unservedFraction of a second's tokens. All
	// daemons together get as much again whenever they lose contact.
	unservedTokens = 3

	// deficitBin is the precision in time with which spending on credit is remembered.
	deficitBin = 100 * time.Millisecond
)

// creditFraction is the part of a standing rate that remains at an age, counted from the request whose reply gave it.
func creditFraction(age time.Duration) float64 {
	switch {
	case age <= fullCreditPeriod:
		return 1
	case age >= creditEnd:
		return 0
	}
	return math.Exp2(-(age - fullCreditPeriod).Seconds() / creditHalvingTime.Seconds())
}

// creditSeconds is the integral of creditFraction over ages from 0 to age, in seconds.
func creditSeconds(age time.Duration) float64 {
	if age <= fullCreditPeriod {
		return max(0, age.Seconds())
	}
	falling := (min(age, creditEnd) - fullCreditPeriod).Seconds()
	halvingTime := creditHalvingTime.Seconds()
	return fullCreditPeriod.Seconds() + halvingTime/math.Ln2*(1-math.Exp2(-falling/halvingTime))
}

// creditRate is one source of credit: a rate in requests a second that falls off from a moment on.
type creditRate struct {
	perSecond float64
	start     clock.Mark
}

// at is what remains of the rate at a moment.
func (c creditRate) at(now clock.Mark) float64 {
	return c.perSecond * creditFraction(now.Since(c.start))
}

// between is the number of requests that the rate allows between two moments.
func (c creditRate) between(from, to clock.Mark) float64 {
	return c.perSecond * (creditSeconds(to.Since(c.start)) - creditSeconds(from.Since(c.start)))
}

// creditAccount is what one daemon may spend on credit for one tenant, and what it did spend without it having been
// acknowledged.
type creditAccount struct {
	balance   float64
	updatedAt clock.Mark
	deficits  []deficit
	// spentTo is the daemon's counter of credit spent, for this tenant.
	spentTo uint64
}

// deficit is what was spent on credit within deficitBin.
type deficit struct {
	start clock.Mark
	count uint64
}

// creditPhase is the fraction of a token with which an account begins. It is spread evenly over daemons and tenants, so
// that whole tokens of many small accounts add up to the sum of their rates, and not to one token each.
func creditPhase(daemon ident.NodeID, tenant string) float64 {
	digest := xxhash.Sum64String(string(daemon) + "\x00" + tenant)
	return float64(digest>>11) / (1 << 53)
}

// accrue adds the credit since the last call, or since the leader was lost.
func (a *creditAccount) accrue(rate creditRate, lostAt, now clock.Mark) {
	from := max(a.updatedAt, lostAt)
	a.updatedAt = now
	if now <= from {
		return
	}
	limit := max(a.balance, 1+rate.at(now)*creditAccumulation.Seconds())
	a.balance = min(limit, a.balance+rate.between(from, now))
}

// spend takes one token from the balance and notes the deficit, or reports that there is none.
func (a *creditAccount) spend(now clock.Mark) bool {
	if a.balance < 1 {
		return false
	}
	a.balance--
	a.spentTo++
	last := len(a.deficits) - 1
	if last >= 0 && now.Since(a.deficits[last].start) < deficitBin {
		a.deficits[last].count++
		return true
	}
	a.deficits = append(a.deficits, deficit{start: now, count: 1})
	return true
}

// deficitCount is what was spent on credit and not acknowledged yet.
func (a *creditAccount) deficitCount() uint64 {
	total := uint64(0)
	for _, spent := range a.deficits {
		total += spent.count
	}
	return total
}

// dropBefore forgets what was spent wholly before a moment: no leader is to charge it.
func (a *creditAccount) dropBefore(moment clock.Mark) {
	kept := 0
	for kept < len(a.deficits) && a.deficits[kept].start+clock.Mark(deficitBin) <= moment {
		kept++
	}
	a.deficits = a.deficits[kept:]
}

// acknowledge forgets the oldest part of the deficit, up to a value of the counter.
func (a *creditAccount) acknowledge(to uint64) {
	from := a.spentTo - a.deficitCount()
	for len(a.deficits) > 0 && from < to {
		oldest := &a.deficits[0]
		count := min(oldest.count, to-from)
		oldest.count -= count
		from += count
		if oldest.count == 0 {
			a.deficits = a.deficits[1:]
		}
	}
}
