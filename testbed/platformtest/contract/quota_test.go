package contract

import (
	"net/http"
	"testing"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// tooMany says whether an attempt was answered 429.
func tooMany(attempt *history.Attempt) bool { return attempt.Status == http.StatusTooManyRequests }

// sendMany sends so many requests of a tenant over one connection and counts those that succeed and those answered 429.
func (f *fixture) sendMany(count int, tenant *protocol.Tenant) (served, refused int) {
	f.t.Helper()
	c := f.keptClient()
	for range count {
		attempt := f.sendOn(c, f.keyed("again", tenant.APIKeys[0], tenant.Label))
		switch {
		case attempt.Success():
			served++
		case tooMany(attempt):
			refused++
		default:
			f.t.Errorf("%s was answered %d %s", attempt.AttemptID, attempt.Status, attempt.Err)
		}
	}
	return served, refused
}

// Guards against a tenant that gets more than its limit (QUOTA on shared deployments).
func TestRequestsBeyondTheLimitGet429(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(func(c *engine.Config) { c.Slots = 32 })
	f.awaitEngines("again", 1)
	limited, free := f.tenantOf("limited"), f.tenantOf("second")
	served, refused := f.sendMany(limitedBurst, limited)
	if served != limitedBurst {
		t.Errorf("%d of a burst of %d were served, and %d refused", served, limitedBurst, refused)
	}
	if _, refused := f.sendMany(100, limited); refused == 0 {
		t.Error("none of 100 requests beyond the limit got 429")
	}
	if served, _ := f.sendMany(20, free); served != 20 {
		t.Errorf("%d of 20 requests of another tenant were served", served)
	}
	f.checkTenantRules()
}

// Guards against requests refused although their tenant asks under its limit.
func TestRequestsUnderTheLimitAreServed(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	ample := *f.tenantOf("second")
	ample.RatePerS, ample.Burst = 50, 200
	f.mustChangeTenants([]protocol.Tenant{ample})
	if served, refused := f.sendMany(200, &ample); served != 200 {
		t.Errorf("%d of 200 requests were served, and %d got 429", served, refused)
	}
	f.checkTenantRules()
}

// Guards against a limit that stays as it was in an older version.
func TestLimitOfTheNewestVersionIsInForce(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	limited := *f.tenantOf("limited")
	key := func() *client.Request { return f.keyed("again", limited.APIKeys[0], limited.Label) }
	f.awaitInForce("the limit", f.keptClient(), key, tooMany)
	limited.RatePerS, limited.Burst = 0, 0
	f.mustChangeTenants([]protocol.Tenant{limited})
	c, row := f.keptClient(), 0
	f.awaitInForce("no limit", c, key, func(attempt *history.Attempt) bool {
		if row++; !attempt.Success() {
			row = 0
		}
		return row == 60
	})
	limited.RatePerS, limited.Burst = limitedRate, limitedBurst
	f.mustChangeTenants([]protocol.Tenant{limited})
	f.awaitInForce("the limit again", c, key, tooMany)
	f.checkTenantRules()
}
