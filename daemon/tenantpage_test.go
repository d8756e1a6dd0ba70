package daemon

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/quota"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

func TestTenantRowsHoldLimitsAndNoKeys(t *testing.T) {
	rank := 3
	index := upstream.NewIndex(&upstream.Section{Tenants: []upstream.Tenant{
		{Name: "acme", Keys: []string{"secret-1", "secret-2"}, Rank: &rank, RatePerSecond: 50, Burst: 100},
		{Name: "free", Keys: []string{"secret-3"}},
	}})
	rows := tenantRows(index, "")
	page, err := json.Marshal(rows)
	if err != nil || strings.Contains(string(page), "secret") {
		t.Fatalf("%s %v", page, err)
	}
	if len(rows) != 2 || rows[0].Keys != 2 || *rows[0].Rank != 3 || rows[0].RatePerSecond != 50 || rows[0].Burst != 100 || rows[1].Rank != nil {
		t.Errorf("%s", page)
	}
	if one := tenantRows(index, "free"); len(one) != 1 || one[0].Name != "free" {
		t.Errorf("%+v", one)
	}
	if none := tenantRows(nil, ""); none == nil || len(none) > 0 {
		t.Errorf("%+v", none)
	}
}

// Guards against a column that shows another one's figure.
func TestTenantUseAndBucketKeepAllFigures(t *testing.T) {
	limit := quota.Limit{RatePerSecond: 50, Burst: 100}
	use := tenantUseOf(quota.TenantUse{
		Tenant: "acme", Limit: limit, Granted: 1, OnCredit: 2, Denied: 3, Lapsed: 4, Waiting: 5, Tokens: 6,
		RatePerSecond: 7, StandingRate: 8, Deficit: 9,
	})
	wantUse := operatorapi.TenantUse{
		Tenant: "acme", TenantLimit: operatorapi.TenantLimit{RatePerSecond: 50, Burst: 100}, Granted: 1, OnCredit: 2, Denied: 3, Lapsed: 4,
		Waiting: 5, Tokens: 6, SentPerSecond: 7, StandingRate: 8, Deficit: 9,
	}
	if use != wantUse {
		t.Errorf("%+v", use)
	}
	bucket := tenantBucketOf(quota.TenantBucket{
		Tenant: "acme", Limit: limit, Level: -1, Capacity: 2, Granted: 3, Denied: 4,
		Daemons: []quota.DaemonAllowance{{Daemon: "edge#1", StandingRate: 5, Reserved: 6, Overdue: true}},
	})
	if bucket.Tenant != "acme" || bucket.RatePerSecond != 50 || bucket.Level != -1 || bucket.Capacity != 2 || bucket.Granted != 3 || bucket.Denied != 4 {
		t.Errorf("%+v", bucket)
	}
	if want := (operatorapi.TenantAllowance{Daemon: "edge#1", StandingRate: 5, Reserved: 6, Overdue: true}); bucket.Daemons[0] != want {
		t.Errorf("%+v", bucket.Daemons[0])
	}
}
