package contract

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Guards against the client's key reaching engines and no tenant being named there (UNASKED on shared deployments).
func TestKeyIsWithheldAndTenantIsNamedOnEveryClass(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.model(nil)
	f.awaitEngines("again", 1)
	f.awaitEngines("stream", 1)
	for _, class := range []string{"again", "once", "stream", "resume"} {
		f.expectRanAs(class, f.askUntilExecuted(f.request(class)), f.tenant)
	}
	f.checkTenantRules()
}

// Guards against a client naming the tenant itself.
func TestForgedTenantIsReplacedByTheTenantOfTheKey(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	other := f.tenantOf("second").Label
	for _, forged := range [][]string{{other}, {f.tenant}, {other, other}, {f.tenant, other}, {""}, {"nobody"}} {
		r := f.request("again")
		r.ForgedTenants = forged
		f.expectRanAs(fmt.Sprintf("X-Tenant %q", forged), f.askUntilExecuted(r), f.tenant)
	}
	f.checkTenantRules()
}

// Guards against a forged tenant or a key that passes in an unusual form of its header. Such a request may be refused; if
// it runs, then under the tenant of its key.
func TestUnusualHeaderSyntaxForwardsNoTenantAndNoKey(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	other, otherKey := f.tenantOf("second").Label, f.tenantOf("second").APIKeys[0]
	authorization := "Authorization: Token " + f.key
	for _, lines := range [][]string{
		{authorization, "x-tenant: " + other},
		{authorization, "X-TENANT: " + other, "x-Tenant: " + other},
		{authorization, "X-Tenant:" + other},
		{authorization, "X-Tenant: \t" + other + " \t"},
		{authorization, "X-Tenant : " + other},
		{authorization, "X_Tenant: " + other},
		{authorization, "X-Filler: a", " X-Tenant: " + other},
		{authorization, "Connection: X-Tenant", "X-Tenant: " + other},
		{authorization, "Connection: Authorization"},
		{"authorization: Token " + f.key},
		{"AUTHORIZATION: Token " + f.key},
		{"Authorization:Token " + f.key},
		{"Authorization: \tToken " + f.key + " \t"},
		{"Authorization: token " + f.key},
		{"Authorization: TOKEN  " + f.key},
		{"Authorization: Token\t" + f.key},
		{"Authorization : Token " + f.key},
		{authorization, authorization},
		{authorization, "X-Tenant: " + other, "Authorization: Token unknown"},
	} {
		r := f.request("again")
		r.Key = ""
		attempt, status := f.sendLines(r, lines...)
		f.expectOnlyTenant(fmt.Sprintf("%q", lines), attempt, status, f.tenant)
	}
	for _, lines := range [][]string{
		{authorization, "Authorization: Token " + otherKey},
		{"Authorization: Token " + otherKey, authorization},
		{"Authorization: Token " + f.key + ", Token " + otherKey},
	} {
		r := f.request("again")
		r.Key = ""
		attempt, status := f.sendLines(r, lines...)
		f.expectOnlyTenant(fmt.Sprintf("%q", lines), attempt, status, f.tenant, other)
	}
}

// expectOnlyTenant checks that an attempt was refused with a 4xx or ran under one of some tenants, without a key.
func (f *fixture) expectOnlyTenant(what string, attempt string, status int, allowed ...string) {
	f.t.Helper()
	names, authorized := f.ranAs(attempt)
	refused := len(names) == 0 && (status >= 400 && status < 500 || status == 0 || status == http.StatusServiceUnavailable)
	served := len(names) == 1 && slices.Contains(allowed, names[0]) && status == http.StatusOK
	if !refused && !served || authorized {
		f.t.Errorf("%s: status %d, ran as %q, with a key %t; it should run as one of %q, or be refused", what, status, names, authorized, allowed)
	}
}

// Guards against requests that run with a key that no configuration ever held (ROUTE on shared deployments).
func TestUnknownOrMissingKeyIsUnauthorizedAndReachesNoEngine(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.model(nil)
	f.awaitEngines("again", 1)
	f.awaitEngines("stream", 1)
	for _, class := range []string{"again", "once", "stream", "resume"} {
		for _, key := range []string{"", "unknown", f.key + "x", f.key[1:], strings.ToUpper(f.key), f.tenant} {
			f.expectUnauthorized(fmt.Sprintf("%s with the key %q", class, key), f.askUntilExecuted(f.keyed(class, key, "")))
		}
		missing := f.keyed(class, "", "")
		missing.ForgedTenants = []string{f.tenant}
		f.expectUnauthorized(class+" with a tenant and no key", f.askUntilExecuted(missing))
	}
	for _, value := range []string{"Bearer " + f.key, f.key, "Token", "Basic " + f.key, "Token " + f.key + " more"} {
		r := f.keyed("again", "", "")
		r.Header = map[string]string{protocol.Authorization: value}
		f.expectUnauthorized(fmt.Sprintf("Authorization: %q", value), f.askUntilExecuted(r))
	}
	f.checkTenantRules()
}

// Guards against a public route that asks for a key, or passes a key or a forged tenant on.
func TestPublicRouteNeedsNoKeyAndPassesNoForgedTenant(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	f.expectRanWithoutTenant("without a key", f.askUntilExecuted(f.keyed("open", "", "")))
	for _, forged := range [][]string{{f.tenant}, {f.tenant, "other"}, {""}} {
		r := f.keyed("open", "", "")
		r.ForgedTenants = forged
		f.expectRanWithoutTenant(fmt.Sprintf("X-Tenant %q", forged), f.askUntilExecuted(r))
	}
	for _, lines := range [][]string{{"x-tenant: " + f.tenant}, {"X-TENANT:" + f.tenant, "X-Tenant: " + f.tenant}, {"Connection: X-Tenant", "X-Tenant: " + f.tenant}} {
		attempt, status := f.sendLines(f.keyed("open", "", ""), lines...)
		f.expectOnlyTenant(fmt.Sprintf("%q", lines), attempt, status, "")
	}
	known := f.askUntilExecuted(f.request("open"))
	f.expectOnlyTenant("with a key", known.AttemptID, known.Status, f.tenant, "")
	f.checkTenantRules()
}

// expectRanWithoutTenant checks that an attempt ran under no tenant and without a key.
func (f *fixture) expectRanWithoutTenant(what string, attempt *history.Attempt) {
	f.t.Helper()
	arrivals := f.arrivalsOf(attempt.AttemptID)
	if !attempt.Success() || len(arrivals) == 0 || len(arrivals[len(arrivals)-1].Tenants) > 0 || arrivals[len(arrivals)-1].Authorized {
		f.t.Errorf("%s: status %d after %d arrivals; it should run with no X-Tenant and no key", what, attempt.Status, len(arrivals))
	}
}

func TestAllKeysOfATenantNameIt(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	for _, key := range f.tenantOf("first").APIKeys {
		f.expectRanAs("the key "+key, f.askUntilExecuted(f.keyed("again", key, f.tenant)), f.tenant)
	}
	second := f.tenantOf("second")
	f.expectRanAs("another tenant", f.askUntilExecuted(f.keyed("again", second.APIKeys[0], second.Label)), second.Label)
	f.checkTenantRules()
}

// Guards against one connection keeping the tenant of its first request.
func TestEachRequestOfAConnectionNamesTheTenantOfItsOwnKey(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	c, second := f.keptClient(), f.tenantOf("second")
	for range 3 {
		f.expectRanAs("the first tenant", f.sendOn(c, f.request("again")), f.tenant)
		f.expectRanAs("the second tenant", f.sendOn(c, f.keyed("again", second.APIKeys[0], second.Label)), second.Label)
		f.expectUnauthorized("no key", f.sendOn(c, f.keyed("again", "", "")))
	}
	f.checkTenantRules()
}

// Guards against requests that reach engines with the urgency of their route.
func TestUrgencyOfTheTenantPrecedesThatOfTheRoute(t *testing.T) {
	f := newTenantFixture(t)
	f.model(nil)
	f.plain(nil)
	f.awaitEngines("stream", 1)
	f.awaitEngines("again", 1)
	second := f.tenantOf("second")
	for _, class := range []string{"stream", "resume"} {
		f.expectUrgency(f.askUntilExecuted(f.request(class)), firstUrgency)
		f.expectUrgency(f.askUntilExecuted(f.keyed(class, second.APIKeys[0], second.Label)), secondUrgency)
	}
	changed := *f.tenantOf("first")
	changed.Urgency = 0
	f.mustChangeTenants([]protocol.Tenant{changed})
	f.awaitInForce("the tenant's new urgency", f.keptClient(), func() *client.Request { return f.request("stream") }, func(attempt *history.Attempt) bool {
		arrivals := f.arrivalsOf(attempt.AttemptID)
		return attempt.Success() && arrivals[len(arrivals)-1].Urgency == "0"
	})
	f.checkTenantRules()
}

// expectUrgency checks the urgency with which an attempt reached its engine.
func (f *fixture) expectUrgency(attempt *history.Attempt, urgency int) {
	f.t.Helper()
	for _, arrival := range f.arrivalsOf(attempt.AttemptID) {
		if arrival.Urgency != strconv.Itoa(urgency) {
			f.t.Errorf("%s of %s reached its engine with the urgency %q; it should be %d", attempt.Kind, attempt.Tenant, arrival.Urgency, urgency)
		}
	}
}
