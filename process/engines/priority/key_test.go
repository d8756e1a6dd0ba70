package priority

import (
	"maps"
	"slices"
	"testing"
)

func TestCompareOrdersByAssignmentValueRankAndServedCount(t *testing.T) {
	served := ServedCounts{"busy": 3, "idle": 1}
	for _, c := range []struct {
		name          string
		first, second Key
	}{
		{"assigned before higher value", Key{Assigned: true, Value: 1}, Key{Value: 9}},
		{"higher value before lower rank", Key{Value: 2, Rank: 7}, Key{Value: 1, Rank: 0}},
		{"lower rank before the tenant served less", Key{Rank: 0, Tenant: "busy"}, Key{Rank: 1, Tenant: "idle"}},
		{"tenant served less", Key{Tenant: "idle"}, Key{Tenant: "busy"}},
		{"tenant never served", Key{Tenant: "new"}, Key{Tenant: "idle"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if served.Compare(c.first, c.second) >= 0 || served.Compare(c.second, c.first) <= 0 {
				t.Errorf("%+v does not go before %+v", c.first, c.second)
			}
		})
	}
	if served.Compare(Key{Tenant: "idle"}, Key{Tenant: "idle"}) != 0 {
		t.Error("equal keys differ")
	}
}

func TestServeGivesAnIdleTenantNoCredit(t *testing.T) {
	served := ServedCounts{"a": 10, "b": 12}
	served.Serve("new", slices.Values([]string{"a", "b"}))
	if want := (ServedCounts{"a": 10, "b": 12, "new": 11}); !maps.Equal(served, want) {
		t.Errorf("%v, want %v", served, want)
	}
	served.Serve("a", slices.Values([]string(nil)))
	if served["a"] != 11 {
		t.Errorf("alone it counts on from its own count: %v", served["a"])
	}
}
