package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// tenantFaults are what tenants do, and what operators do to tenants. A run draws them apart from the others and plays
// them beside those, see withTenantFaults.
var tenantFaults = []fault{
	{name: "hot-tenant", rest: time.Second, play: (*Run).hotTenant},
	{name: "revoke", rest: time.Second, play: (*Run).revoke},
	{name: "retry-abuse", rest: time.Second, play: (*Run).retryAbuse},
	{name: "change-quota", rest: time.Second, play: (*Run).changeQuota},
}

const (
	// hotRate is what a hot tenant sends a second: many times its usual, and above the limit of each.
	hotRate, hotFor = 80, 4 * time.Second
	// abuseRate is what the clients of an abuser ask a second; each repeats at once, up to abuseTries times.
	abuseRate, abuseTries, abuseFor = 8, 12, 4 * time.Second
	// revocations is the number of keys that are taken away in series.
	revocations = 3
	// Limits that change-quota sets, lowered far beneath what the tenant sends meanwhile.
	loweredRate, loweredBurst    = 0.5, 1
	raisedRate, raisedBurst      = 30, 40
	loweredSends, loweredWindows = 15, 1
)

// hotTenant has a limited tenant send many times its usual.
func (r *Run) hotTenant(ctx context.Context) error {
	label, ok := r.drawLimited()
	if !ok {
		return nil
	}
	during, cancel := context.WithTimeout(ctx, hotFor)
	defer cancel()
	r.sendAs(during, label, hotRate, nil)
	return nil
}

// retryAbuse has the clients of a limited tenant repeat at once and often.
func (r *Run) retryAbuse(ctx context.Context) error {
	label, ok := r.drawLimited()
	if !ok {
		return nil
	}
	during, cancel := context.WithTimeout(ctx, abuseFor)
	defer cancel()
	r.sendAs(during, label, abuseRate, func(request *client.Request) { request.Impatient, request.MaxAttempts = true, abuseTries })
	return nil
}

// drawLimited draws a tenant that has a limit; false if there is none.
func (r *Run) drawLimited() (label string, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	labels := limitedTenants(r.current)
	if len(labels) == 0 {
		return "", false
	}
	return labels[r.random.IntN(len(labels))], true
}

// revoke takes keys away from connected clients, one after the other. The last one passes on to another tenant.
func (r *Run) revoke(ctx context.Context) error {
	if !r.hasTenants() {
		return nil
	}
	var gone []tenantKey
	for n := range revocations {
		gone = append(gone, r.revokeOne(ctx, n == revocations-1)...)
		r.pause(ctx, 400*ms)
	}
	r.pause(ctx, Bounds.Apply+100*ms)
	for _, removed := range gone {
		r.probeKey(removed)
	}
	return nil
}

// revokeOne takes a tenant's oldest key away and gives it another one; passOn gives the key to another tenant. It returns
// the key that nobody holds any more, if that was acknowledged.
func (r *Run) revokeOne(ctx context.Context, passOn bool) (gone []tenantKey) {
	var removed tenantKey
	change := r.changeTenants(ctx, func(generation uint64) (patch protocol.Patch) {
		tenant, other := r.drawTenants()
		if len(tenant.APIKeys) == 0 {
			return patch
		}
		removed = tenantKey{key: tenant.APIKeys[0], tenant: tenant.Label}
		tenant.APIKeys = append(tenant.APIKeys[1:], fmt.Sprintf("key-%s-%d", tenant.Label, generation))
		patch.Upsert.Tenants = []protocol.Tenant{tenant}
		if passOn {
			other.APIKeys = append(other.APIKeys, removed.key)
			patch.Upsert.Tenants = append(patch.Upsert.Tenants, other)
		}
		return patch
	})
	if change.Outcome != history.Acknowledged || passOn {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revoked = append(r.revoked, removed)
	return []tenantKey{removed}
}

// drawTenants draws two tenants.
func (r *Run) drawTenants() (one, other protocol.Tenant) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := r.current.Clone().Tenants
	if len(list) < 2 {
		return one, other
	}
	order := r.random.Perm(len(list))
	return list[order[0]], list[order[1]]
}

// changeTenants sends a patch of tenants on the newest configuration.
func (r *Run) changeTenants(ctx context.Context, patchFor func(generation uint64) protocol.Patch) *history.Change {
	r.changing.Lock()
	defer r.changing.Unlock()
	bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r.mutex.Lock()
	on := r.current
	r.mutex.Unlock()
	patch := patchFor(on.Generation + 1)
	patch.Generation = on.Generation + 1
	change := r.tenantOperator.Patch(bounded, on, patch, on.Apply(patch).Fault(on.Generation))
	if change.Outcome != history.Acknowledged {
		r.resync(ctx)
	} else {
		r.setCurrent(change.Config)
	}
	return change
}

// changeQuota lowers the limit of a tenant far beneath what it sends, raises it, and sets it back.
func (r *Run) changeQuota(ctx context.Context) error {
	label, ok := r.drawLimited()
	if !ok {
		return nil
	}
	r.mutex.Lock()
	usual := *r.current.Tenant(label)
	r.mutex.Unlock()
	during, cancel := context.WithCancel(ctx)
	var sending sync.WaitGroup
	sending.Go(func() { r.sendAs(during, label, loweredSends, nil) })
	defer sending.Wait()
	defer cancel()
	r.setLimit(ctx, label, loweredRate, loweredBurst)
	r.pause(ctx, Bounds.Apply+loweredWindows*Bounds.QuotaWindow+500*ms)
	r.setLimit(ctx, label, raisedRate, raisedBurst)
	r.pause(ctx, time.Second)
	r.setLimit(ctx, label, usual.RatePerS, usual.Burst)
	return nil
}

// setLimit changes the limit of a tenant, whatever keys it has by now.
func (r *Run) setLimit(ctx context.Context, label string, rate, burst float64) {
	r.changeTenants(ctx, func(uint64) (patch protocol.Patch) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if tenant := r.current.Tenant(label); tenant != nil {
			changed := *tenant
			changed.RatePerS, changed.Burst = rate, burst
			patch.Upsert.Tenants = []protocol.Tenant{changed}
		}
		return patch
	})
}
