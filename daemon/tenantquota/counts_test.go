package tenantquota

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/process/quota"
)

var (
	granted  = quota.Decision{Outcome: quota.Granted}
	onCredit = quota.Decision{Outcome: quota.Granted, OnCredit: true}
	denied   = quota.Decision{Outcome: quota.Denied}
)

func tokensFor(tenant string, count int) quota.Reply {
	return quota.Reply{Allotments: []quota.Allotment{{Tenant: tenant, Count: count}}}
}

// Guards against tokens that are called lapsed while they are valid, or were spent.
func TestTokenCountsAsLapsedOnlyWhenNeitherSpentNorValid(t *testing.T) {
	counts := newCounter()
	counts.countTokens(tokensFor("acme", 5))
	counts.countDecision("acme", granted)
	counts.countDecision("acme", onCredit)
	counts.countDecision("acme", denied)
	valid := counts.snapshot([]quota.TenantUse{{Tenant: "acme", Tokens: 4}})
	if want := (Counts{Granted: 2, OnCredit: 1, Denied: 1}); valid.Total() != want {
		t.Errorf("%+v", valid.Total())
	}
	expired := counts.snapshot([]quota.TenantUse{{Tenant: "acme", Tokens: 1}})
	if got := expired.Total().Lapsed; got != 3 {
		t.Errorf("%d tokens lapsed", got)
	}
}

// Guards against counters that fall on the metrics page: a tenant that the core has forgotten keeps its counts.
func TestCountsDoNotFallWhenTenantIsForgotten(t *testing.T) {
	counts := newCounter()
	counts.countTokens(tokensFor("acme", 3))
	counts.countDecision("acme", granted)
	before := counts.snapshot([]quota.TenantUse{{Tenant: "acme", Tokens: 2}}).Total()
	forgotten := counts.snapshot(nil).Total()
	counts.countDecision("acme", granted)
	counts.countTokens(tokensFor("acme", 1))
	again := counts.snapshot(nil).Total()
	if forgotten.Granted < before.Granted || forgotten.Lapsed < before.Lapsed || again.Granted != 2 || again.Lapsed != 2 {
		t.Errorf("%+v, then %+v, then %+v", before, forgotten, again)
	}
}

// Guards against a metrics page that grows without a bound: tenants beyond it are counted together, and stay so.
func TestTenantsBeyondBoundAreCountedTogether(t *testing.T) {
	counts := newCounter()
	for number := range maxCountedTenants + 50 {
		for range 2 {
			counts.countDecision(fmt.Sprint("tenant-", number), granted)
		}
	}
	snapshot := counts.snapshot(nil)
	if len(snapshot.Tenants) != maxCountedTenants+1 {
		t.Errorf("%d tenants", len(snapshot.Tenants))
	}
	if first := snapshot.Tenants[0]; first.Tenant != "" || first.Granted != 100 {
		t.Errorf("%+v", first)
	}
	if total := snapshot.Total().Granted; total != 2*(maxCountedTenants+50) {
		t.Errorf("%d requests", total)
	}
}

// Guards against a limiter whose page and metrics miss decisions, or calls to the leader.
func TestLimiterCountsDecisionsAndCalls(t *testing.T) {
	limiter := newTestLimiter(t, leader(limit))
	passed := takeMany(limiter, limit, 200)
	snapshot, running := limiter.Counts()
	total := snapshot.Total()
	if !running || total.Granted != uint64(passed) || total.Denied != uint64(200-passed) || snapshot.Calls == 0 || snapshot.Unanswered != 0 {
		t.Errorf("%d passed: %+v", passed, snapshot)
	}
}

// Guards against operators who are not told that the leader does not answer.
func TestLimiterReportsThatItDecidesOnCredit(t *testing.T) {
	limiter := newTestLimiter(t, func(context.Context, quota.Request) (quota.Reply, error) {
		return quota.Reply{}, errors.New("no leader")
	})
	passed := takeMany(limiter, limit, 20)
	snapshot, _ := limiter.Counts()
	if !limiter.OnCredit() || snapshot.Unanswered == 0 || snapshot.Total().OnCredit != uint64(passed) {
		t.Errorf("on credit %t, %d passed, %+v", limiter.OnCredit(), passed, snapshot)
	}
}
