package upstream

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
)

// Tenant is a customer of the operators, whom its keys identify.
type Tenant struct {
	Name string `json:"name" validate:"required,max=200"`
	// Keys are the secrets that requests of the tenant bear, any one of them. A key belongs to one tenant.
	Keys []string `json:"keys,omitempty" validate:"dive,required,max=1024"`
	// Rank is the urgency of its requests, in place of the path's; nil leaves the path's.
	Rank *int `json:"rank,omitempty" validate:"omitempty,gte=0,lte=1000000"`
	// RatePerSecond is how many of its requests the whole fleet sends to engines each second, and Burst how many beyond
	// that at once. A rate of zero is no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" validate:"gte=0,lte=1000000000"`
	Burst         float64 `json:"burst,omitempty" validate:"gte=0,lte=1000000000"`
	// Note is retained and given back, and not interpreted.
	Note json.RawMessage `json:"note,omitempty"`
}

// Limited reports whether the tenant's requests are limited.
func (t *Tenant) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// KeyDigest is what keys are looked up by, so that a look-up takes the same time however much of a wrong key is right.
type KeyDigest [sha256.Size]byte

// DigestOf gives the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// validateTenants reports names that stand twice, and keys that more than one tenant has. Reasons never hold a key.
func (s *Section) validateTenants(report func(path, reason string)) {
	names := make(map[string]bool, len(s.Tenants))
	owners := map[string]string{}
	for i := range s.Tenants {
		tenant := &s.Tenants[i]
		if names[tenant.Name] {
			report(fmt.Sprintf("tenants[%d].name", i), "stands twice")
		}
		names[tenant.Name] = true
		for j, key := range tenant.Keys {
			if owner, taken := owners[key]; taken && owner != tenant.Name {
				report(fmt.Sprintf("tenants[%d].keys[%d]", i, j), "tenant "+owner+" has the same key")
			}
			owners[key] = tenant.Name
		}
	}
}
