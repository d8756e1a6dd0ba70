package forwarding

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/configuration/upstream"
)

// withTenants adds tenants to the fixture's routing table.
func (fixture *coreFixture) withTenants(tenants ...upstream.Tenant) {
	section := *fixture.index.Section
	section.Tenants = tenants
	fixture.index = upstream.NewIndex(&section)
}

func key(value string) func(*Request) {
	return func(request *Request) { request.Attributes.Key = value }
}

// Guards against requests that run with a key that no configuration ever held.
func TestUnknownKeyIsUnauthorizedOnlyWhenTableIsCurrent(t *testing.T) {
	public := pathOf("public", upstream.Idempotent, "plain")
	public.Public = true
	fixture := newCoreFixture(t, pathOf("again", upstream.Idempotent, "plain"), public)
	fixture.withTenants(upstream.Tenant{Name: "acme", Keys: []string{"k1", "k2"}})
	fixture.register(engineOf("plain", 0, 8))
	for _, wrong := range []string{"", "k", "k3", "acme"} {
		fixture.current = true
		fixture.ended(fixture.admit("again", key(wrong)), fasthttp.StatusUnauthorized, CauseUnknownKey)
		fixture.current = false
		fixture.ended(fixture.admit("again", key(wrong)), fasthttp.StatusServiceUnavailable, CauseNoTable)
		fixture.sent(fixture.admit("public", key(wrong)))
	}
	fixture.sent(fixture.admit("again", key("k1")))
	fixture.sent(fixture.admit("again", key("k2")))
}

// Guards against a withdrawn key that still serves requests which were queued before.
func TestQueuedRequestIsUnauthorizedOnceItsKeyIsWithdrawn(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("again", upstream.Idempotent, "plain"))
	fixture.withTenants(upstream.Tenant{Name: "acme", Keys: []string{"old", "new"}})
	withdrawn, kept := fixture.admit("again", key("old")), fixture.admit("again", key("new"))
	fixture.withTenants(upstream.Tenant{Name: "acme", Keys: []string{"new"}})
	fixture.register(engineOf("plain", 0, 8))
	fixture.core.DispatchQueued(fixture.world())
	fixture.ended(withdrawn, fasthttp.StatusUnauthorized, CauseUnknownKey)
	fixture.sent(kept)
}

// Guards against an answer that denies a run: a request that may have run is never answered as if it had not.
func TestRequestThatMayHaveRunIsNotAnsweredUnauthorized(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("again", upstream.Idempotent, "plain"))
	fixture.withTenants(upstream.Tenant{Name: "acme", Keys: []string{"k"}})
	fixture.register(enginesOf("plain", 2, 8)...)
	request := fixture.admit("again", key("k"))
	fixture.sent(request)
	fixture.withTenants(upstream.Tenant{Name: "acme"})
	fixture.core.AttemptEnded(request, OutcomeResponseLost, fixture.world())
	fixture.ended(request, fasthttp.StatusBadGateway, CauseUnknownKey)
}

// Guards against keys that are accepted by a daemon that cannot know of their withdrawal, where none may be.
func TestKeysAreRejectedWhileOutdatedWhereRevocationIsClosed(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("again", upstream.Idempotent, "plain"))
	fixture.withTenants(upstream.Tenant{Name: "acme", Keys: []string{"k"}})
	fixture.register(engineOf("plain", 0, 8))
	env := fixture.world()
	env.KeysOutdated = true
	request := fixture.record("again", key("k"))
	fixture.core.Admit(request, env)
	fixture.ended(request, fasthttp.StatusServiceUnavailable, CauseNoTable)
	fixture.sent(fixture.admit("again", key("k")))
}

// Guards against a tenant's urgency that is not heeded: it goes before the path's.
func TestTenantsRankTakesPrecedenceOverPaths(t *testing.T) {
	first, second := 0, 7
	path := pathOf("again", upstream.Idempotent, "plain")
	path.Rank = 3
	fixture := newCoreFixture(t, path)
	fixture.withTenants(upstream.Tenant{Name: "urgent", Keys: []string{"u"}, Rank: &first}, upstream.Tenant{Name: "patient", Keys: []string{"p"}, Rank: &second}, upstream.Tenant{Name: "plain", Keys: []string{"n"}})
	patient, plain, urgent := fixture.admit("again", key("p")), fixture.admit("again", key("n")), fixture.admit("again", key("u"))
	fixture.register(engineOf("plain", 0, 64))
	fixture.core.DispatchQueued(fixture.world())
	for _, c := range []struct {
		request *Request
		want    int
	}{{urgent, 0}, {plain, 3}, {patient, 7}} {
		if attempt := fixture.sent(c.request); attempt.Urgency != c.want {
			t.Errorf("urgency %d, want %d", attempt.Urgency, c.want)
		}
	}
}

// Guards against a tenant that gets more than its limit, also when the limit is reached only while the request is queued.
func TestRequestBeyondLimitIsAnsweredWithTooManyRequests(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("again", upstream.Idempotent, "plain"))
	fixture.withTenants(upstream.Tenant{Name: "acme", Keys: []string{"k"}, RatePerSecond: 1})
	fixture.register(engineOf("plain", 0, 8))
	beyond := func(request *Request) { request.QuotaRetryAfter = 300 * time.Millisecond }
	if answer := fixture.ended(fixture.admit("again", key("k"), beyond), fasthttp.StatusTooManyRequests, CauseQuotaExceeded); answer.RetryAfter != 300*time.Millisecond {
		t.Errorf("retry after %v", answer.RetryAfter)
	}
	request := fixture.admit("again", key("k"))
	fixture.sent(request)
	request.QuotaRetryAfter = 200 * time.Millisecond
	fixture.core.AttemptEnded(request, OutcomeQuotaExceeded, fixture.world())
	if answer := fixture.ended(request, fasthttp.StatusTooManyRequests, CauseQuotaExceeded); answer.RetryAfter != 200*time.Millisecond {
		t.Errorf("retry after %v", answer.RetryAfter)
	}
}
