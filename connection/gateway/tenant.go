package gateway

import (
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
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

// tenancy is whose request it is by one routing table, and what an engine is told of that.
type tenancy struct {
	// tenant is the name of the tenant whose key the request bears; empty is nobody's.
	tenant string
	// allowed reports that the table lets the request be sent, limited that the tenant's limit counts it, and hidesKey
	// that the engine gets the tenant's name in place of the key.
	allowed, limited, hidesKey bool
}

// tenancyBy gives the request's tenancy by a routing table, which its callers read once: the next read may find another
// one.
func (f *exchange) tenancyBy(index *upstream.Index) tenancy {
	if index == nil {
		return tenancy{}
	}
	if !index.HasTenants() {
		return tenancy{allowed: true}
	}
	path, found := index.Lookup(f.request.Host, f.request.URLPath)
	if !found {
		return tenancy{hidesKey: true}
	}
	name, allowed := forwarding.TenantName(index, path, f.request.Attributes.Key)
	tenant, _ := index.Tenant(name)
	return tenancy{tenant: name, allowed: allowed, limited: tenant.Limited(), hidesKey: true}
}

// takeQuota takes a token for a limited tenant's request, or notes when there may be one. It reports whether the request
// may be sent. A token taken before counts for as long as it is valid.
func (f *exchange) takeQuota() bool {
	tenancy := f.tenancyBy(f.Index())
	if !f.needsToken(tenancy) {
		return true
	}
	decision := f.TakeQuota(tenancy.tenant)
	if !decision.Granted {
		f.request.QuotaRetryAfter = max(decision.RetryAfter, time.Millisecond)
		return false
	}
	f.token = quotaToken{tenant: tenancy.tenant, token: decision.Token}
	return true
}

// needsToken reports whether the request can't be sent without another token of its tenant's limit.
func (f *exchange) needsToken(tenancy tenancy) bool {
	if f.TakeQuota == nil || !tenancy.limited || f.mayHaveRun {
		return false
	}
	return f.token.tenant != tenancy.tenant || !f.token.token.Valid(f.Clock.Elapsed())
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
