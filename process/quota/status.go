package quota

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// TenantUse is what one daemon reports of a tenant.
type TenantUse struct {
	Tenant string
	Limit  Limit
	// Granted is the number of requests that were allowed, OnCredit those of them that were allowed without the leader,
	// Denied those that were not allowed, and Lapsed the number of tokens that lapsed unspent. They count from when the
	// tenant came into use on the daemon.
	Granted, OnCredit, Denied, Lapsed uint64
	// Lent is the number of tokens lent to neighbours, which are in the deficit, Borrowed of those that they lent.
	Lent, Borrowed uint64
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// Tokens is the number of valid tokens.
	Tokens int
	// RatePerSecond is the smoothed rate of spending.
	RatePerSecond float64
	// StandingRate is the rate in requests a second that may be spent on credit now.
	StandingRate float64
	// Deficit is what was spent on credit and no leader has acknowledged.
	Deficit uint64
}

// Status returns the tenants in use on this daemon, by name.
func (l *Limiter) Status(now clock.Mark) []TenantUse {
	uses := make([]TenantUse, 0, len(l.tenants))
	for name, tenant := range l.tenants {
		uses = append(uses, TenantUse{
			Tenant:        name,
			Limit:         tenant.limit,
			Granted:       tenant.counters.granted,
			OnCredit:      tenant.counters.onCredit,
			Denied:        tenant.counters.denied,
			Lapsed:        tenant.counters.lapsed,
			Lent:          tenant.counters.lent,
			Borrowed:      tenant.counters.borrowed,
			Waiting:       len(tenant.waiting),
			Tokens:        tenant.validTokens(now),
			RatePerSecond: tenant.rate.at(now),
			StandingRate:  tenant.standing.at(now),
			Deficit:       tenant.credit.deficitCount(),
		})
	}
	slices.SortFunc(uses, func(a, b TenantUse) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return uses
}

// Unreachable reports whether the leader did not answer the last request, so that requests are decided by credit.
func (l *Limiter) Unreachable() bool { return l.contact.unreachable }

// validTokens counts the tokens that may be spent.
func (t *tenantTokens) validTokens(now clock.Mark) int {
	total := 0
	for _, lease := range t.tokens {
		if now < lease.expires {
			total += lease.count
		}
	}
	return total
}

// TenantBucket is what the leader reports of a tenant.
type TenantBucket struct {
	Tenant string
	Limit  Limit
	// Level is the number of tokens in the bucket, Capacity its highest. A negative level is what was spent on credit
	// beyond the limit, or reserved for daemons out of contact.
	Level, Capacity float64
	// Granted and Denied count tokens and claimed requests since the tenant came into use under this leader.
	Granted, Denied uint64
	// Daemons are those with a standing rate.
	Daemons []DaemonAllowance
}

// DaemonAllowance is what one daemon may spend of a tenant without the leader.
type DaemonAllowance struct {
	Daemon ident.NodeID
	// StandingRate is in requests a second.
	StandingRate float64
	// Reserved is the number of tokens taken out of the bucket since the daemon was last in contact.
	Reserved float64
	// Overdue reports that the daemon is out of contact.
	Overdue bool
}

// Status returns the tenants in use, by name; nothing if the allocator doesn't lead.
func (a *Allocator) Status(now clock.Mark) []TenantBucket {
	buckets := make([]TenantBucket, 0, len(a.tenants))
	for name, tenant := range a.tenants {
		a.advance(tenant, now)
		buckets = append(buckets, TenantBucket{
			Tenant:   name,
			Limit:    tenant.bucket.limit,
			Level:    tenant.bucket.level,
			Capacity: tenant.bucket.capacity,
			Granted:  tenant.granted,
			Denied:   tenant.denied,
			Daemons:  tenant.allowancesAt(now),
		})
	}
	slices.SortFunc(buckets, func(x, y TenantBucket) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return buckets
}

// allowancesAt returns the allowances of a tenant, by daemon.
func (t *tenantBucket) allowancesAt(now clock.Mark) []DaemonAllowance {
	var allowances []DaemonAllowance
	for _, current := range t.allowances {
		allowances = append(allowances, DaemonAllowance{
			Daemon:       current.daemon.id,
			StandingRate: current.at(now),
			Reserved:     current.reserved,
			Overdue:      current.daemon.overdue(now),
		})
	}
	slices.SortFunc(allowances, func(x, y DaemonAllowance) int { return cmp.Compare(x.Daemon, y.Daemon) })
	return allowances
}
