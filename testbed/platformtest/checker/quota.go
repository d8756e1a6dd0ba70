package checker

import (
	"cmp"
	"math"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// never is later than all times of a run.
const never = clock.Mark(math.MaxInt64)

// execution is one request that ran, from when it was sent until it arrived at its engine.
type execution struct{ sent, arrived clock.Mark }

// quotas checks that no tenant gets more than its limit within any window, over all machines.
func (b *index) quotas() Finding {
	f := Finding{Rule: "QUOTA"}
	inForce := b.limitsInForce()
	for tenant, executions := range b.executionsByTenant() {
		slices.SortFunc(executions, func(x, y execution) int { return cmp.Compare(x.sent, y.sent) })
		for place, first := range executions {
			until := first.sent + clock.Mark(b.bounds.QuotaWindow)
			limit, limited := b.limit(tenant, inForce, first.sent, until)
			if !limited {
				continue
			}
			f.Checked++
			allowed := b.allowance(limit)*(1+b.bounds.QuotaExcess) + float64(b.bounds.QuotaMargin)
			if count := countUntil(executions[place:], until); float64(count) > allowed {
				f.violation("%s ran %d requests within %v, and %.0f are allowed", tenant, count, b.bounds.QuotaWindow, allowed)
				break
			}
		}
	}
	slices.Sort(f.Violations)
	return f
}

// countUntil counts the executions, sorted by when they were sent, that were sent and arrived up to a time.
func countUntil(executions []execution, until clock.Mark) (count int) {
	for _, one := range executions {
		if one.sent > until {
			break
		}
		if one.arrived <= until {
			count++
		}
	}
	return count
}

// executionsByTenant groups the requests that ran by their tenants; each counts once.
func (b *index) executionsByTenant() map[string][]execution {
	out := map[string][]execution{}
	for _, attempt := range b.Attempts {
		for _, arrival := range b.arrivals[attempt.AttemptID] {
			if !arrival.Ran() {
				continue
			}
			if tenant := b.tenantOf(attempt, arrival); tenant != "" {
				out[tenant] = append(out[tenant], execution{sent: max(attempt.Began, min(attempt.Sent, arrival.At)), arrived: arrival.At})
			}
			break
		}
	}
	return out
}

// tenantOf is the tenant that an execution counts for: the one that the engine was told, where that may be, and else the
// one that holds the key.
func (b *index) tenantOf(attempt *history.Attempt, arrival *history.Arrival) string {
	if len(arrival.Tenants) == 1 && b.hasKeyInAnyVersion(arrival.Tenants[0], attempt.Key) {
		return arrival.Tenants[0]
	}
	return attempt.Tenant
}

// allowance is how many requests a limit allows within one window.
func (b *index) allowance(limit protocol.Tenant) float64 {
	return limit.RatePerS*b.bounds.QuotaWindow.Seconds() + limit.Burst
}

// limitsInForce lists, by version, from when on no older version's limits count: every front machine has been in touch
// later than the version's bound.
func (b *index) limitsInForce() []clock.Mark {
	out := make([]clock.Mark, len(b.versions))
	for i, version := range b.versions {
		out[i] = never
		if version.Outcome != history.Acknowledged {
			continue
		}
		bound := version.Answered + clock.Mark(b.applyBound(version.Answered))
		out[i] = bound
		for _, machine := range b.Edges {
			out[i] = max(out[i], b.nextContact(machine, bound))
		}
	}
	return out
}

// nextContact is the first time, from a time on, at which a machine is in contact.
func (b *index) nextContact(machine string, from clock.Mark) clock.Mark {
	if b.inContact(machine, from) {
		return from
	}
	earliest := never
	for _, disruption := range b.Disruptions {
		calm := disruption.Until + clock.Mark(b.bounds.Contact) + 1
		if disruption.Until != 0 && calm > from && calm < earliest && b.inContact(machine, calm) {
			earliest = calm
		}
	}
	return earliest
}

// limit is the largest limit of a tenant over all versions that may be in force in a window; limited is false where one
// of them has none, or where none of them has the tenant.
func (b *index) limit(label string, inForce []clock.Mark, from, until clock.Mark) (largest protocol.Tenant, limited bool) {
	oldest := 0
	for i, since := range inForce {
		if since <= from {
			oldest = i
		}
	}
	for _, version := range b.versions[min(oldest, len(b.versions)):] {
		if version.Began > until {
			continue
		}
		tenant := version.Config.Tenant(label)
		if !version.Config.HasTenants() || tenant != nil && !tenant.Limited() {
			return protocol.Tenant{}, false
		}
		if tenant != nil && (!limited || b.allowance(*tenant) > b.allowance(largest)) {
			largest, limited = *tenant, true
		}
	}
	return largest, limited
}
