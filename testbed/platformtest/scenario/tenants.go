package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Tenants of a run: a few are large, and one of these has no limit; the others are small.
const (
	unlimitedTenant = "house-0"
	largeTenants    = 3
	tenantCount     = 12
	// One request in largeShare comes from a small tenant.
	largeShare = 3
	// Limits of large and small tenants, several times what they usually send.
	largeRate, largeBurst = 10, 20
	smallRate, smallBurst = 3, 6
	keysPerTenant         = 2
)

const (
	// One request in unknownKeyEvery carries a key that no configuration ever holds, one in forgeEvery an X-Tenant.
	unknownKeyEvery, forgeEvery = 53, 17
	// One request in oldKeyEvery of a tenant whose key was taken away still carries that key.
	oldKeyEvery = 4
	unknownKey  = "never-held"
)

// publicPath is of the route that needs no key.
const publicPath = "/open/"

func tenantName(n int) string { return fmt.Sprintf("house-%d", n) }

// firstTenants are the tenants of the first configuration.
func firstTenants() (out []protocol.Tenant) {
	for n := range tenantCount {
		tenant := protocol.Tenant{Label: tenantName(n), Urgency: n % 3, RatePerS: smallRate, Burst: smallBurst}
		if n < largeTenants {
			tenant.RatePerS, tenant.Burst = largeRate, largeBurst
		}
		if tenant.Label == unlimitedTenant {
			tenant.RatePerS, tenant.Burst = 0, 0
		}
		for k := range keysPerTenant {
			tenant.APIKeys = append(tenant.APIKeys, fmt.Sprintf("key-%d-%d", n, k))
		}
		out = append(out, tenant)
	}
	return out
}

// withTenants adds tenants and a public route to a configuration.
func withTenants(config *protocol.Config) *protocol.Config {
	config.Tenants = firstTenants()
	config.Routes = append(config.Routes, protocol.Route{Label: "open", Authority: host, PathPrefix: publicPath, Class: protocol.Idempotent, DeadlineMs: 3000, TargetMs: 500, Urgency: 1, Backend: "notes", Tries: 3, Public: true})
	return config
}

// hasTenants says whether the run has tenants: an earlier build may not know them.
func (r *Run) hasTenants() bool { return r.OtherProgram == "" }

// tenantKey is a key and the tenant that holds it.
type tenantKey struct{ key, tenant string }

// identify gives a request its tenant and key.
func (r *Run) identify(request *client.Request, number int, random *rand.Rand) {
	if !r.hasTenants() {
		return
	}
	label := tenantName(random.IntN(largeTenants))
	if random.IntN(largeShare) == 0 {
		label = tenantName(largeTenants + random.IntN(tenantCount-largeTenants))
	}
	r.identifyAs(request, label, number, random)
}

// identifyAs gives a request a key of a tenant.
func (r *Run) identifyAs(request *client.Request, label string, number int, random *rand.Rand) {
	credential := r.pickKey(label, random)
	request.Key, request.Tenant = credential.key, credential.tenant
	if number%forgeEvery == 0 {
		request.ForgedTenants = []string{tenantName(random.IntN(tenantCount))}
	}
	if number%unknownKeyEvery == 0 {
		request.Key, request.Tenant = unknownKey, ""
	}
}

// pickKey draws a key for a request of a tenant, sometimes one that was taken away from it.
func (r *Run) pickKey(label string, random *rand.Rand) tenantKey {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var old []tenantKey
	for _, revoked := range r.revoked {
		if revoked.tenant == label {
			old = append(old, revoked)
		}
	}
	if len(old) > 0 && random.IntN(oldKeyEvery) == 0 {
		return old[len(old)-1]
	}
	tenant := r.current.Tenant(label)
	if tenant == nil || len(tenant.APIKeys) == 0 {
		return tenantKey{key: unknownKey}
	}
	return tenantKey{key: tenant.APIKeys[random.IntN(len(tenant.APIKeys))], tenant: label}
}

// currentKey is a key that a tenant holds by the newest configuration.
func (r *Run) currentKey(label string) tenantKey {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tenant := r.current.Tenant(label)
	if tenant == nil || len(tenant.APIKeys) == 0 {
		return tenantKey{key: unknownKey}
	}
	return tenantKey{key: tenant.APIKeys[len(tenant.APIKeys)-1], tenant: label}
}

// limitedTenants lists the labels of the tenants that have limits, in order.
func limitedTenants(config *protocol.Config) (out []string) {
	for _, tenant := range config.Tenants {
		if tenant.Limited() {
			out = append(out, tenant.Label)
		}
	}
	slices.Sort(out)
	return out
}
