package gateway

import (
	"time"

	"github.com/cresspond/cresspond/process/quota"
	"github.com/cresspond/cresspond/request/forwarding"
)

// queuedTokenTime is how long a request waits for an engine with its token. Then it returns that, for another request of
// the tenant to spend before it lapses, and takes one when it is sent.
const queuedTokenTime = 10 * time.Millisecond

// QuotaDecision says whether a limited tenant's request may be sent: now, or while Token is valid, if it is granted, else
// when it may be, after RetryAfter.
type QuotaDecision struct {
	Granted    bool
	Token      quota.Token
	RetryAfter time.Duration
}

// quotaToken is a tenant's token for one request.
type quotaToken struct {
	tenant string
	token  quota.Token
	// spent reports that the request was sent with the token.
	spent bool
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
	if f.token.tenant == tenant && f.token.token.Valid(f.Clock.Elapsed()) {
		return true
	}
	decision := f.TakeQuota(tenant)
	if !decision.Granted {
		f.request.QuotaRetryAfter = max(decision.RetryAfter, time.Millisecond)
		return false
	}
	f.token = quotaToken{tenant: tenant, token: decision.Token}
	return true
}

// returnToken returns the token of a request that was not sent with it. One that was sent keeps it for another attempt, if
// that comes before it lapses: an engine that did not run the request leaves it unspent.
func (f *exchange) returnToken() {
	if f.token.spent {
		return
	}
	if f.ReturnQuota != nil && f.token.token.Valid(f.Clock.Elapsed()) {
		f.ReturnQuota(f.token.tenant, f.token.token)
	}
	f.token = quotaToken{}
}

// isLimited reports whether the routing table in force limits a tenant.
func (f *exchange) isLimited(name string) bool {
	tenant, known := f.Index().Tenant(name)
	return known && tenant.Limited()
}
