package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// Guards against seeds that play other faults than before there were tenants.
func TestTenantFaultsAreBesideWhatASeedDraws(t *testing.T) {
	drawn := drawnFaults[:7]
	plan := withTenantFaults(drawn, rand.New(rand.NewPCG(1, 11)))
	beside := map[string]bool{}
	var base []string
	for _, one := range plan {
		name, tenant, both := strings.Cut(one.name, " beside ")
		base = append(base, name)
		if both {
			beside[tenant] = true
		}
	}
	if want := names(drawn); !slices.Equal(base, want) {
		t.Errorf("played %q, want %q", base, want)
	}
	for _, one := range tenantFaults {
		if !beside[one.name] {
			t.Errorf("%s is not played beside any of 7 faults", one.name)
		}
	}
}

// Guards against a run whose first configuration is invalid, and so without any request.
func TestFirstConfigurationWithTenantsIsValid(t *testing.T) {
	config := withTenants(firstConfig())
	if fault := config.Fault(0); fault != "" {
		t.Error(fault)
	}
	if limited := limitedTenants(config); len(limited) != tenantCount-1 || slices.Contains(limited, unlimitedTenant) {
		t.Errorf("%q have limits", limited)
	}
}
