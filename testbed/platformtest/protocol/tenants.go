package protocol

import (
	"slices"
)

// authorizationScheme precedes the key in the Authorization header.
const authorizationScheme = "Token "

// Tenant is one tenant of a configuration.
type Tenant struct {
	Label   string   `json:"label"`
	APIKeys []string `json:"api-keys"`
	// Urgency takes precedence over that of the route.
	Urgency int `json:"urgency"`
	// RatePerS is how many requests a second all daemons together let through, Burst how many above that. A rate of zero
	// is no limit.
	RatePerS float64 `json:"rate-per-s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// Limited says whether the tenant has a limit.
func (t *Tenant) Limited() bool { return t.RatePerS > 0 }

// AuthorizationValue is the value of the Authorization header that carries a key.
func AuthorizationValue(key string) string { return authorizationScheme + key }

// HasTenants says whether requests need keys.
func (c *Config) HasTenants() bool { return len(c.Tenants) > 0 }

// Tenant returns the tenant of a label; nil if there is none.
func (c *Config) Tenant(label string) *Tenant {
	for place := range c.Tenants {
		if c.Tenants[place].Label == label {
			return &c.Tenants[place]
		}
	}
	return nil
}

// TenantByKey returns the tenant that holds a key; nil if there is none.
func (c *Config) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	for place := range c.Tenants {
		if slices.Contains(c.Tenants[place].APIKeys, key) {
			return &c.Tenants[place]
		}
	}
	return nil
}

// Admits says whether a request on a route may run with a key; an empty one is none.
func (c *Config) Admits(route *Route, key string) bool {
	return !c.HasTenants() || route.Public || c.TenantByKey(key) != nil
}

// Names says whether a request on a route, with a key, may reach an engine under the name of a tenant; an empty name is
// none. A public route needs no key, but a key that is held names its tenant there too.
func (c *Config) Names(route *Route, key, tenant string) bool {
	if !c.HasTenants() {
		return true
	}
	owner := c.TenantByKey(key)
	if owner == nil {
		return route.Public && tenant == ""
	}
	return tenant == owner.Label || route.Public && tenant == ""
}

// tenantFault says why the tenants make a configuration invalid; empty is valid.
func (c *Config) tenantFault() string {
	byKey := map[string]string{}
	for _, tenant := range c.Tenants {
		for _, key := range tenant.APIKeys {
			if key == "" {
				return "a tenant has an empty key"
			}
			if other, taken := byKey[key]; taken && other != tenant.Label {
				return "two tenants share a key"
			}
			byKey[key] = tenant.Label
		}
	}
	return ""
}

// applyTenants applies the part of a patch that concerns tenants.
func (c *Config) applyTenants(patch Patch) {
	for _, label := range patch.Remove.Tenants {
		c.Tenants = without(c.Tenants, func(t Tenant) bool { return t.Label == label })
	}
	for _, tenant := range patch.Upsert.Tenants {
		if old := c.Tenant(tenant.Label); old != nil {
			*old = tenant
		} else {
			c.Tenants = append(c.Tenants, tenant)
		}
	}
}
