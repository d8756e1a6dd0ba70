package tenantquota

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/process/quota"
)

// maxCountedTenants bounds the tenants that are counted one by one on a daemon, and with that the size of a metrics page.
// Later ones are counted together.
const maxCountedTenants = 1000

// Counts count requests and tokens since the daemon started. They only rise, also where a tenant is forgotten while it is
// idle.
type Counts struct {
	// Granted is the number of requests that were allowed, OnCredit of those that were allowed without the leader, Denied
	// of those that were not allowed, Lapsed of tokens that lapsed unspent.
	Granted, OnCredit, Denied, Lapsed uint64
}

// TenantCounts are the counts of one tenant; those of all tenants beyond the bound stand under an empty name.
type TenantCounts struct {
	Tenant string
	Counts
}

// Snapshot is what a limiter has counted.
type Snapshot struct {
	// Tenants are by name.
	Tenants []TenantCounts
	// Calls is the number of calls to the leader that ended, Unanswered of those without an answer.
	Calls, Unanswered uint64
}

// Total adds up the counts of all tenants.
func (s Snapshot) Total() Counts {
	var total Counts
	for _, tenant := range s.Tenants {
		total.Granted += tenant.Granted
		total.OnCredit += tenant.OnCredit
		total.Denied += tenant.Denied
		total.Lapsed += tenant.Lapsed
	}
	return total
}

// tally counts the decisions and tokens of one tenant.
type tally struct {
	granted, onCredit, denied uint64
	// received is the number of tokens that the leader granted.
	received uint64
}

// counter counts by tenant. It belongs to the limiter's actor. A tenant's place in it is never given to another, so that
// no count falls.
type counter struct {
	byTenant map[string]*tally
	// others counts the tenants for which there was no place.
	others *tally
	// onCredit counts over all tenants.
	onCredit          uint64
	calls, unanswered uint64
}

func newCounter() counter {
	return counter{byTenant: make(map[string]*tally), others: &tally{}}
}

// of returns what a tenant is counted in.
func (c *counter) of(tenant string) *tally {
	if found, known := c.byTenant[tenant]; known {
		return found
	}
	if len(c.byTenant) >= maxCountedTenants {
		return c.others
	}
	created := &tally{}
	c.byTenant[tenant] = created
	return created
}

// countDecision counts a decision that is not pending.
func (c *counter) countDecision(tenant string, decision quota.Decision) {
	counted := c.of(tenant)
	if decision.Outcome == quota.Denied {
		counted.denied++
		return
	}
	counted.granted++
	if decision.OnCredit {
		counted.onCredit++
		c.onCredit++
	}
}

// countTokens counts the tokens of a reply.
func (c *counter) countTokens(reply quota.Reply) {
	for _, allotment := range reply.Allotments {
		if allotment.Count > 0 {
			c.of(allotment.Tenant).received += uint64(allotment.Count)
		}
	}
}

// snapshot returns the counts, given the tenants in use: a token that was received, and is neither spent nor valid any
// longer, has lapsed.
func (c *counter) snapshot(uses []quota.TenantUse) Snapshot {
	validTokens := make(map[*tally]uint64, len(uses))
	for _, use := range uses {
		validTokens[c.of(use.Tenant)] += uint64(use.Tokens)
	}
	out := Snapshot{Calls: c.calls, Unanswered: c.unanswered}
	for name, counted := range c.byTenant {
		out.Tenants = append(out.Tenants, TenantCounts{Tenant: name, Counts: counted.counts(validTokens[counted])})
	}
	if *c.others != (tally{}) {
		out.Tenants = append(out.Tenants, TenantCounts{Counts: c.others.counts(validTokens[c.others])})
	}
	slices.SortFunc(out.Tenants, func(a, b TenantCounts) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return out
}

// counts returns the counts of a tenant, given the number of its valid tokens.
func (t *tally) counts(validTokens uint64) Counts {
	spent := t.granted - t.onCredit
	return Counts{Granted: t.granted, OnCredit: t.onCredit, Denied: t.denied, Lapsed: t.received - spent - validTokens}
}
