package scenario

import (
	"math/rand/v2"
	"testing"

	"github.com/cresspond/cresspond/testbed/platformtest/checker"
)

// Guards against a soak of the configuration that changes little, or sends what is invalid.
func TestChangesOfAConfigurationSoakAreValidAndReachAllOfIt(t *testing.T) {
	routes, services, tenants, models, withdrawals := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, 0
	for seed := range uint64(40) {
		soak := &changingItems{random: rand.New(rand.NewPCG(seed, 43))}
		config := withTenants(firstConfig())
		first := config.Clone()
		for range 60 {
			next := soak.next(config)
			if fault := next.Fault(config.Generation); fault != "" {
				t.Fatalf("seed %d: %s", seed, fault)
			}
			if patched := config.Apply(patchBetween(config, next)); !checker.Same(patched, next) {
				t.Fatalf("seed %d: a patch makes another configuration", seed)
			}
			if kept := inBoth(config, next); len(kept.Routes) < len(first.Routes) || len(kept.Tenants) < len(first.Tenants) {
				t.Fatalf("seed %d: what stays is withdrawn", seed)
			}
			for _, route := range next.Routes {
				routes[route.Label] = true
			}
			for _, service := range next.Backends {
				services[service.Label] = true
			}
			for _, tenant := range next.Tenants {
				tenants[tenant.Label] = true
			}
			for _, model := range next.Backend("lm").Engine.Models {
				models[model.Label] = true
			}
			if len(next.Routes) < len(config.Routes) && len(next.Tenants) < len(config.Tenants) {
				withdrawals++
			}
			config = next
		}
		restored := withoutChanging(config)
		restored.Generation = first.Generation
		if !checker.Same(restored, first) {
			t.Errorf("seed %d: the soak leaves something behind", seed)
		}
	}
	if len(routes) != 5+changingRoutes || len(services) != 3+changingServices || len(tenants) != tenantCount+changingTenants || len(models) != 6+changingModels || withdrawals == 0 {
		t.Errorf("%d routes, %d services, %d tenants and %d models came and went, %d changes withdrew several kinds", len(routes), len(services), len(tenants), len(models), withdrawals)
	}
}
