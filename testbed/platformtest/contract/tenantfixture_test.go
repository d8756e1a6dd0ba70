package contract

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/checker"
	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/operator"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Urgencies of the routes and tenants of tests.
const (
	routeUrgency  = 1
	firstUrgency  = 3
	secondUrgency = 7
)

// Limits of the limited tenant of a test.
const (
	limitedRate  = 2
	limitedBurst = 4
)

// tenantConfig has, beside the pools and routes of config, a public route and three tenants for each service: first has
// two keys, second has one, and limited has a limit.
func tenantConfig() *protocol.Config {
	c := config()
	for i := range c.Routes {
		c.Routes[i].Urgency = routeUrgency
	}
	for n := range services {
		c.Routes = append(c.Routes, protocol.Route{Label: fmt.Sprintf("open-%d", n), Authority: host, PathPrefix: fmt.Sprintf("/open/%d/", n), Class: protocol.Idempotent, DeadlineMs: 20000, TargetMs: 1000,
			Urgency: routeUrgency, Backend: fmt.Sprintf("plain-%d", n), Tries: 3, Public: true})
		c.Tenants = append(c.Tenants,
			protocol.Tenant{Label: fmt.Sprintf("first-%d", n), APIKeys: []string{fmt.Sprintf("z%dfirst", n), fmt.Sprintf("a%dfurther", n)}, Urgency: firstUrgency},
			protocol.Tenant{Label: fmt.Sprintf("second-%d", n), APIKeys: []string{fmt.Sprintf("k%dsecond", n)}, Urgency: secondUrgency},
			protocol.Tenant{Label: fmt.Sprintf("limited-%d", n), APIKeys: []string{fmt.Sprintf("k%dlimited", n)}, Urgency: firstUrgency, RatePerS: limitedRate, Burst: limitedBurst})
	}
	return c
}

// newTenantFixture gives a test its service and tenants on the fleet with tenants; its requests carry the first's key.
func newTenantFixture(t *testing.T) *fixture {
	t.Helper()
	t.Parallel()
	f := tenants.newFixture(t)
	first := f.tenantOf("first")
	f.tenant, f.key = first.Label, first.APIKeys[0]
	return f
}

// tenantOf is one of the test's tenants as the newest configuration has it; nil if it has none.
func (f *fixture) tenantOf(name string) *protocol.Tenant {
	tenants.change.Lock()
	defer tenants.change.Unlock()
	return tenants.current.Clone().Tenant(fmt.Sprintf("%s-%d", name, f.number))
}

// keyed makes a request with a key, and the tenant that has it; an empty key is none.
func (f *fixture) keyed(class, key, tenant string) *client.Request {
	r := f.request(class)
	r.Key, r.Tenant = key, tenant
	return r
}

// changeTenants sends a patch of tenants on the newest version; fault says what makes it invalid. What is acknowledged is
// the newest version from then on.
func (f *fixture) changeTenants(upsert []protocol.Tenant, remove []string, fault string) *history.Change {
	f.t.Helper()
	tenants.change.Lock()
	defer tenants.change.Unlock()
	patch := protocol.Patch{Generation: tenants.current.Generation + 1}
	patch.Upsert.Tenants, patch.Remove.Tenants = upsert, remove
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	change := operator.New("tenants", uint64(f.number), f.recorder, f.fleet.Controls).Patch(ctx, tenants.current, patch, fault)
	if change.Outcome == history.Acknowledged {
		tenants.current = change.Config
	}
	return change
}

// putTenants sends a whole configuration that is invalid: the newest with one tenant replaced.
func (f *fixture) putTenants(invalid protocol.Tenant) *history.Change {
	f.t.Helper()
	tenants.change.Lock()
	defer tenants.change.Unlock()
	next := tenants.current.Clone()
	next.Generation++
	*next.Tenant(invalid.Label) = invalid
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	change := operator.New("tenants", uint64(f.number), f.recorder, f.fleet.Controls).Put(ctx, tenants.current.Generation, next, next.Fault(tenants.current.Generation))
	if change.Outcome == history.Acknowledged {
		tenants.current = next
	}
	return change
}

// mustChangeTenants sends a valid patch of tenants and waits for its acknowledgement.
func (f *fixture) mustChangeTenants(upsert []protocol.Tenant, remove ...string) {
	f.t.Helper()
	if change := f.changeTenants(upsert, remove, ""); change.Outcome != history.Acknowledged {
		f.t.Fatalf("the tenants were not changed: %+v", change)
	}
}

// rawClients is the part of the configuration on tenants as the operator reads it.
func (f *fixture) rawClients() []byte {
	f.t.Helper()
	_, text := f.call(http.MethodGet, protocol.PathConfig, nil, nil)
	var complete struct {
		Clients json.RawMessage `json:"clients"`
	}
	if err := json.Unmarshal(text, &complete); err != nil {
		f.t.Fatal(err)
	}
	return complete.Clients
}

// keptClient makes a client that keeps its connection.
func (f *fixture) keptClient() *client.Client {
	c := f.newClient()
	c.KeepAlive = true
	return c
}

// sendOn sends a request once over a client's connection.
func (f *fixture) sendOn(c *client.Client, r *client.Request) *history.Attempt {
	f.t.Helper()
	attempts := c.Do(context.Background(), r)
	if len(attempts) == 0 {
		f.t.Fatal("no attempt was made")
	}
	return attempts[0]
}

// sendLines sends a request with lines of a head added as they are, and returns the status of its answer; 0 is none.
func (f *fixture) sendLines(r *client.Request, lines ...string) (attempt string, status int) {
	f.t.Helper()
	attempt, data := f.wire(r)
	head, rest, _ := bytes.Cut(data, []byte("\r\n"))
	head = append(slices.Clone(head), "\r\n"+strings.Join(lines, "\r\n")+"\r\n"...)
	conn := f.dial()
	defer conn.Close()
	if _, err := conn.Write(append(head, rest...)); err != nil {
		return attempt, 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		return attempt, 0
	}
	response.Body.Close()
	return attempt, response.StatusCode
}

// ranAs lists the values of X-Tenant under which an attempt ran, joined for each engine, and whether a key came along.
func (f *fixture) ranAs(attempt string) (names []string, authorized bool) {
	for _, arrival := range f.arrivalsOf(attempt) {
		if arrival.Ran() {
			names = append(names, strings.Join(arrival.Tenants, ","))
		}
		authorized = authorized || arrival.Authorized
	}
	return names, authorized
}

// expectRanAs checks that an attempt ran under one tenant, and that its key was withheld.
func (f *fixture) expectRanAs(what string, attempt *history.Attempt, tenant string) {
	f.t.Helper()
	names, authorized := f.ranAs(attempt.AttemptID)
	if !attempt.Success() || !slices.Equal(names, []string{tenant}) || authorized {
		f.t.Errorf("%s: status %d, ran as %q, with its key %t; it should run as %q without", what, attempt.Status, names, authorized, tenant)
	}
}

// expectUnauthorized checks that an attempt was answered 401 and reached no engine.
func (f *fixture) expectUnauthorized(what string, attempt *history.Attempt) {
	f.t.Helper()
	if arrivals := f.arrivalsOf(attempt.AttemptID); attempt.Status != http.StatusUnauthorized || len(arrivals) > 0 {
		f.t.Errorf("%s: status %d %s after %d arrivals; it should be 401 after none", what, attempt.Status, attempt.Err, len(arrivals))
	}
}

// tenantRules are the rules on tenants, beside answerRules.
var tenantRules = []string{"CONFIG in force late", "CONFIG goes back", "DENIED", "QUOTA"}

// checkTenantRules holds what this test's engines and clients saw against the rules on answers and tenants.
func (f *fixture) checkTenantRules() {
	f.t.Helper()
	f.checkRules(tenantRules...)
}

// sameTenants says whether the configuration that the operator reads is the newest.
func (f *fixture) sameTenants() bool {
	tenants.change.Lock()
	defer tenants.change.Unlock()
	back := operator.New("reader", 1, f.recorder, f.fleet.Controls).Get(context.Background(), false)
	return back.Config != nil && checker.Same(back.Config, tenants.current)
}
