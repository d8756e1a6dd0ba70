package gateway

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/quota"
)

// withTenants replaces the tenants of the fixture's routing table; the path "again" is public if asked.
func (f *fixture) withTenants(public bool, tenants ...upstream.Tenant) {
	section := *f.index.Load().Section
	section.Tenants = tenants
	section.Paths = slices.Clone(section.Paths)
	for i := range section.Paths {
		section.Paths[i].Public = public && section.Paths[i].Name == "again"
	}
	f.index.Store(upstream.NewIndex(&section))
}

func answering(t *testing.T) *fakeEngine {
	t.Helper()
	return newFakeEngine(t, "e1", func(a arrival) bool { writeText(a, completeText(idOf(a), "pong")); return true })
}

// Guards against work that nobody sent: a client's key that reaches an engine, or a tenant that the client made up.
func TestKeyIsWithheldFromEngineAndTenantIsNamed(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(true, upstream.Tenant{Name: "acme", Keys: []string{"k1", "k2"}}, upstream.Tenant{Name: "other", Keys: []string{"k3"}})
	for _, c := range []struct {
		path   string
		fields []string
		want   []string
	}{
		{"once", []string{"Authorization: Bearer k1"}, []string{"acme"}},
		{"once", []string{"Authorization: bearer  k2 "}, []string{"acme"}},
		{"once", []string{"authorization: Bearer k3", "Cresspond-Tenant: acme", "cresspond-tenant: more"}, []string{"other"}},
		{"again", []string{"Cresspond-Tenant: acme"}, nil},
		{"again", []string{"Authorization: Bearer wrong", "Cresspond-Tenant: acme"}, nil},
		{"again", []string{"Authorization: Bearer k3", "Cresspond-Tenant: acme"}, []string{"other"}},
	} {
		if got := f.call(ask(c.path, "a1", "ping", c.fields...)); got.status != http.StatusOK {
			t.Fatalf("%v: %+v", c.fields, got)
		}
		came := engine.arrivals()
		header := came[len(came)-1].request.Header
		if got := header.Values("Cresspond-Tenant"); !slices.Equal(got, c.want) || len(header.Values("Authorization")) > 0 {
			t.Errorf("%v: tenants %v, credentials %v", c.fields, got, header.Values("Authorization"))
		}
	}
}

// Guards against requests that run with a key that no configuration ever held.
func TestRequestWithoutKnownKeyReachesNoEngine(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}})
	for _, fields := range [][]string{nil, {"Authorization: Bearer k"}, {"Authorization: Basic k1"}, {"Authorization: k1"}, {"Authorization: Bearer k1", "Authorization: Bearer k1"}, {"Cresspond-Tenant: acme"}} {
		if got := f.call(ask("once", "a1", "ping", fields...)); got.status != http.StatusUnauthorized {
			t.Errorf("%v: %+v", fields, got)
		}
	}
	if came := engine.arrivals(); len(came) > 0 {
		t.Errorf("%d requests reached the engine", len(came))
	}
}

// Guards against a change for deployments without tenants: there a client's own header fields go along as before.
func TestCredentialsGoAlongWhereThereAreNoTenants(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.call(ask("once", "a1", "ping", "Authorization: Bearer k1", "Cresspond-Tenant: mine"))
	header := engine.arrivals()[0].request.Header
	if header.Get("Authorization") != "Bearer k1" || header.Get("Cresspond-Tenant") != "mine" {
		t.Errorf("%v", header)
	}
}

// Guards against a withdrawn key that serves a request which was already on its way to an engine.
func TestKeyThatIsWithdrawnBeforeSendIsNotSent(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}})
	f.beforeLook = func() { f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k2"}}) }
	if got := f.call(ask("once", "a1", "ping", "Authorization: Bearer k1")); got.status != http.StatusUnauthorized {
		t.Errorf("%+v", got)
	}
	if came := engine.arrivals(); len(came) > 0 {
		t.Errorf("%d requests reached the engine", len(came))
	}
}

// Guards against a request that runs in the name of a tenant whose key it was, after the key was passed on.
func TestKeyThatIsPassedOnBeforeSendNamesItsNewTenant(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}})
	f.beforeLook = func() { f.withTenants(false, upstream.Tenant{Name: "other", Keys: []string{"k1"}}) }
	if got := f.call(ask("once", "a1", "ping", "Authorization: Bearer k1")); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}
	if tenant := engine.arrivals()[0].request.Header.Get("Cresspond-Tenant"); tenant != "other" {
		t.Errorf("tenant %q", tenant)
	}
}

// Guards against a tenant that gets more than its limit: beyond it nothing reaches an engine, and a token that was taken
// before a request had to wait is replaced right before it is sent.
func TestRequestBeyondLimitReachesNoEngine(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}, RatePerSecond: 1}, upstream.Tenant{Name: "free", Keys: []string{"k2"}})
	granted, validFor := 1, time.Hour
	f.gateway.TakeQuota = func(tenant string) QuotaDecision {
		if tenant != "acme" || granted == 0 {
			return QuotaDecision{RetryAfter: 400 * time.Millisecond}
		}
		granted--
		return QuotaDecision{Granted: true, Token: quota.TokenUntil(f.gateway.Clock.Elapsed() + clock.Mark(validFor))}
	}
	for _, c := range []struct {
		key    string
		status int
	}{{"k1", http.StatusOK}, {"k1", http.StatusTooManyRequests}, {"k2", http.StatusOK}} {
		if got := f.call(ask("once", "a1", "ping", "Authorization: Bearer "+c.key)); got.status != c.status {
			t.Errorf("%s: %+v", c.key, got)
		}
	}
	granted, validFor = 1, -time.Second
	if got := f.call(ask("once", "a1", "ping", "Authorization: Bearer k1")); got.status != http.StatusTooManyRequests || got.head.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
	if came := engine.arrivals(); len(came) != 2 {
		t.Errorf("%d requests reached the engine", len(came))
	}
}

// Guards against what changes while a request waits for its token right before it is sent: what was checked before the
// wait no longer holds.
func TestKeyThatIsWithdrawnDuringWaitForTokenIsNotSent(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}, RatePerSecond: 1})
	taken := 0
	f.gateway.TakeQuota = func(string) QuotaDecision {
		if taken++; taken == 1 {
			return QuotaDecision{Granted: true, Token: quota.TokenUntil(f.gateway.Clock.Elapsed() - 1)}
		}
		f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k2"}, RatePerSecond: 1})
		return QuotaDecision{Granted: true, Token: quota.TokenUntil(f.gateway.Clock.Elapsed() + clock.Mark(time.Hour))}
	}
	if got := f.call(ask("once", "a1", "ping", "Authorization: Bearer k1")); got.status != http.StatusUnauthorized {
		t.Errorf("%+v", got)
	}
	if came := engine.arrivals(); len(came) > 0 || taken != 2 {
		t.Errorf("%d requests reached the engine, and %d tokens were taken", len(came), taken)
	}
}

// Guards against a tenant under its limit that pays twice for requests that wait for an engine: their tokens lapse
// meanwhile, unless others spend them.
func TestTokenOfQueuedRequestIsReturned(t *testing.T) {
	f := newFixture(t)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}, RatePerSecond: 1})
	token := quota.TokenUntil(f.gateway.Clock.Elapsed() + clock.Mark(time.Hour))
	f.gateway.TakeQuota = func(string) QuotaDecision { return QuotaDecision{Granted: true, Token: token} }
	returned := make(chan quota.Token, 2)
	f.gateway.ReturnQuota = func(_ string, token quota.Token) { returned <- token }
	f.call(ask("once", "a1", "ping", "Authorization: Bearer k1", "X-Deadline-Ms: 300"))
	if got := <-returned; got != token || len(returned) > 0 {
		t.Errorf("%+v was returned, and %d more", got, len(returned))
	}
}

// Guards against a token that two requests spend: one that was sent keeps its token.
func TestTokenOfSentRequestIsNotReturned(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}, RatePerSecond: 1})
	f.gateway.TakeQuota = func(string) QuotaDecision {
		return QuotaDecision{Granted: true, Token: quota.TokenUntil(f.gateway.Clock.Elapsed() + clock.Mark(time.Hour))}
	}
	returned := make(chan quota.Token, 8)
	f.gateway.ReturnQuota = func(_ string, token quota.Token) { returned <- token }
	for range 8 {
		if got := f.call(ask("once", "a1", "ping", "Authorization: Bearer k1")); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}
	if len(returned) > 0 {
		t.Errorf("%d tokens of sent requests were returned", len(returned))
	}
}

// Guards against a request that is sent after its deadline, or after its engine left, as it waited for its tenant's token
// behind these checks.
func TestEngineThatLeavesWhileTokenIsAwaitedGetsNothing(t *testing.T) {
	engine := answering(t)
	f := newFixture(t, engine)
	f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}, RatePerSecond: 1})
	asked := 0
	f.gateway.TakeQuota = func(string) QuotaDecision {
		asked++
		if asked == 1 {
			return QuotaDecision{Granted: true}
		}
		f.engines()
		return QuotaDecision{Granted: true, Token: quota.TokenUntil(f.gateway.Clock.Elapsed() + clock.Mark(time.Hour))}
	}
	f.call(ask("once", "a1", "ping", "Authorization: Bearer k1", "Cresspond-Deadline-Ms: 300"))
	if came := engine.arrivals(); len(came) > 0 {
		t.Errorf("%d requests reached the engine", len(came))
	}
}

// switchedIndex gives one routing table for a number of calls and another from then on.
type switchedIndex struct {
	before, after *upstream.Index
	left          atomic.Int64
	switched      atomic.Bool
}

func (s *switchedIndex) load() *upstream.Index {
	if s.left.Add(-1) >= 0 {
		return s.before
	}
	s.switched.Store(true)
	return s.after
}

// Guards against a client's key that reaches an engine, since the first tenants come in force while a request's header is
// written.
func TestKeyIsWithheldWhenTenantsComeInForceBetweenAnyTwoSteps(t *testing.T) {
	for calls := range 20 {
		engine := answering(t)
		f := newFixture(t, engine)
		index := &switchedIndex{before: f.index.Load()}
		f.withTenants(true, upstream.Tenant{Name: "acme", Keys: []string{"k1"}})
		index.after = f.index.Load()
		index.left.Store(int64(calls))
		f.gateway.Index = index.load
		if got := f.call(ask("again", "a1", "ping", "Authorization: Bearer k1", "Cresspond-Tenant: mine")); got.status != http.StatusOK {
			t.Errorf("after %d look-ups: %+v", calls, got)
		}
		header := engine.arrivals()[0].request.Header
		if index.switched.Load() && (header.Get("Authorization") != "" || header.Get("Cresspond-Tenant") != "acme") {
			t.Errorf("after %d look-ups: credentials %q, tenant %q", calls, header.Get("Authorization"), header.Get("Cresspond-Tenant"))
		}
	}
}

// Guards against a process that ends, since the routing table of a limited tenant is withdrawn while a request is read.
func TestTableThatIsWithdrawnBetweenAnyTwoStepsEndsNoProcess(t *testing.T) {
	for calls := range 20 {
		f := newFixture(t, answering(t))
		f.withTenants(false, upstream.Tenant{Name: "acme", Keys: []string{"k1"}, RatePerSecond: 1})
		index := &switchedIndex{before: f.index.Load()}
		index.left.Store(int64(calls))
		f.gateway.Index = index.load
		f.gateway.TakeQuota = func(string) QuotaDecision {
			return QuotaDecision{Granted: true, Token: quota.TokenUntil(f.gateway.Clock.Elapsed() + clock.Mark(time.Hour))}
		}
		if got := f.call(ask("once", "a1", "ping", "Authorization: Bearer k1")); got.err != nil {
			t.Errorf("after %d look-ups: %+v", calls, got)
		}
	}
}
