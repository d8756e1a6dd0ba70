package daemon

import (
	"fmt"
	"io"

	"github.com/cresspond/cresspond/connection/metrics"
	"github.com/cresspond/cresspond/daemon/tenantquota"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/request/forwarding"
)

// TenantCounts gives the counts of limited tenants that have sent requests here. Their number is bounded by that of the
// configuration's tenants, and by what the limiter counts one by one.
func (d *Daemon) TenantCounts() []metrics.TenantCounts {
	var out []metrics.TenantCounts
	for _, tenant := range d.quotaCounts().Tenants {
		out = append(out, metrics.TenantCounts{
			Tenant:   tenant.Tenant,
			Granted:  tenant.Granted,
			OnCredit: tenant.OnCredit,
			Refused:  tenant.Denied,
			Lapsed:   tenant.Lapsed,
		})
	}
	return out
}

// UnknownKeys is the number of requests refused here since they bore no known key.
func (d *Daemon) UnknownKeys() uint64 {
	if d.forwarding.actor == nil {
		return 0
	}
	var unknown uint64
	d.forwarding.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) { unknown = core.Counters.UnknownKeys })
	return unknown
}

// quotaCounts returns what the limiter has counted; nothing where no requests are sent.
func (d *Daemon) quotaCounts() tenantquota.Snapshot {
	if d.quotaLimiter == nil {
		return tenantquota.Snapshot{}
	}
	counts, _ := d.quotaLimiter.Counts()
	return counts
}

// eachQuotaCounter lists the counters of the limits of tenants: as a daemon that sends requests, and as the leader.
func (d *Daemon) eachQuotaCounter(report reportCounter) {
	if d.quotaLimiter != nil {
		counts := d.quotaCounts()
		total := counts.Total()
		report("quota_granted", total.Granted)
		report("quota_on_credit", total.OnCredit)
		report("quota_denied", total.Denied)
		report("quota_lapsed", total.Lapsed)
		report("quota_calls", counts.Calls)
		report("quota_calls_unanswered", counts.Unanswered)
	}
	if d.config.Serves(daemonconfig.Control) {
		answered := d.quotaAllotter.Counts()
		report("quota_calls_answered", answered.Calls)
		report("quota_credit_reported", answered.CreditReported)
	}
}

// writeTenantCounts writes the lines of one tenant on the counters page.
func writeTenantCounts(out io.Writer, tenant metrics.TenantCounts) {
	for _, line := range []struct {
		outcome string
		count   uint64
	}{{"granted", tenant.Granted}, {"on_credit", tenant.OnCredit}, {"denied", tenant.Refused}, {"lapsed", tenant.Lapsed}} {
		fmt.Fprintf(out, "tenant_requests{tenant=%q,outcome=%q} %d\n", tenant.Tenant, line.outcome, line.count)
	}
}
