package gateway

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/request/forwarding"
)

// QuotaDecision says whether a limited tenant's request may be sent: until ValidUntil if it is granted, else when it may
// be, after RetryAfter.
type QuotaDecision struct {
	Granted    bool
	ValidUntil clock.Mark
	RetryAfter time.Duration
}

// quotaToken is a tenant's token for one request.
type quotaToken struct {
	tenant     string
	validUntil clock.Mark
}

// tenantInForce gives the tenant whose key the request bears, by the routing table in force; false where the request may
// not be sent under that table.
func (f *exchange) tenantInForce() (name string, allowed bool) {
	index := f.Index()
	if index == nil {
		return "", false
	}
	path, found := index.Lookup(f.request.Host, f.request.URLPath)
	if !found {
		return "", false
	}
	return forwarding.TenantName(index, path, f.request.Attributes.Key)
}

// takeQuota takes a token for a limited tenant's request, or notes when there may be one. It reports whether the request
// may be sent. A token taken before counts for as long as it is valid.
func (f *exchange) takeQuota() bool {
	tenant, allowed := f.tenantInForce()
	if f.TakeQuota == nil || !allowed || !f.isLimited(tenant) {
		return true
	}
	if f.holdsToken(tenant) {
		return true
	}
	decision := f.TakeQuota(tenant)
	if !decision.Granted {
		f.request.QuotaRetryAfter = max(decision.RetryAfter, time.Millisecond)
		return false
	}
	f.token = quotaToken{tenant: tenant, validUntil: decision.ValidUntil}
	return true
}

// holdsToken reports whether a token of the tenant's limit was taken and is still valid.
func (f *exchange) holdsToken(tenant string) bool {
	return f.token.tenant == tenant && f.Clock.Elapsed() < f.token.validUntil
}

// isLimited reports whether the routing table in force limits a tenant.
func (f *exchange) isLimited(name string) bool {
	tenant, known := f.Index().Tenant(name)
	return known && tenant.Limited()
}
