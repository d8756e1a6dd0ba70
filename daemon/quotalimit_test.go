package daemon

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/quota"
)

// Guards against requests that are denied because their tenant's limit was lifted, on daemons that have yet to learn it.
func TestLeaderDistinguishesTenantsWithoutLimitFromUnknownOnes(t *testing.T) {
	index := upstream.NewIndex(&upstream.Section{Tenants: []upstream.Tenant{
		{Name: "limited", Keys: []string{"k1"}, RatePerSecond: 2, Burst: 3},
		{Name: "free", Keys: []string{"k2"}},
	}})
	for name, want := range map[string]struct {
		limit quota.Limit
		known bool
	}{
		"limited": {quota.Limit{RatePerSecond: 2, Burst: 3}, true},
		"free":    {quota.Limit{}, true},
		"nobody":  {quota.Limit{}, false},
	} {
		if limit, known := allottedLimitOf(index, name); limit != want.limit || known != want.known {
			t.Errorf("%s: %+v, %v", name, limit, known)
		}
	}
	if _, known := allottedLimitOf(nil, "limited"); known {
		t.Error("a tenant is known without a table")
	}
}
