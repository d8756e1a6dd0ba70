package contract

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// awaitInForce sends requests over a connection until one shows that a change is in force, and checks that this takes no
// longer than the bound.
func (f *fixture) awaitInForce(what string, c *client.Client, r func() *client.Request, shows func(*history.Attempt) bool) {
	f.t.Helper()
	began := f.recorder.Now()
	guard := began + clock.Mark(10*bounds.Apply)
	for f.recorder.Now() < guard {
		if shows(f.sendOn(c, r())) {
			if took := f.recorder.Now().Since(began); took > bounds.Apply {
				f.t.Errorf("%s after %v, and %v is the bound", what, took, bounds.Apply)
			}
			return
		}
	}
	f.t.Fatalf("not seen within %v: %s", 10*bounds.Apply, what)
}

// unauthorized says whether an attempt was answered 401.
func unauthorized(attempt *history.Attempt) bool { return attempt.Status == http.StatusUnauthorized }

// Guards against a key that serves on after a version has taken it away (CONFIG on shared deployments).
func TestRemovedKeyIsUnauthorizedOnKeptConnections(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	before, first := f.keptClient(), f.tenantOf("first")
	f.expectRanAs("before", f.sendOn(before, f.request("again")), f.tenant)
	rest := *first
	rest.APIKeys = first.APIKeys[1:]
	f.mustChangeTenants([]protocol.Tenant{rest})
	f.awaitInForce("the key is refused", before, func() *client.Request { return f.request("again") }, unauthorized)
	for range 10 {
		f.expectUnauthorized("the removed key", f.sendOn(before, f.request("again")))
		f.expectUnauthorized("the removed key on a new connection", f.ask(f.request("again")))
	}
	f.expectRanAs("the tenant's other key", f.sendOn(before, f.keyed("again", rest.APIKeys[0], f.tenant)), f.tenant)
	f.mustChangeTenants(nil, f.tenant)
	f.awaitInForce("the removed tenant's key is refused", before, func() *client.Request { return f.keyed("again", rest.APIKeys[0], f.tenant) }, unauthorized)
	f.checkTenantRules()
}

// Guards against a request that runs because it was read before its key was taken away, however long it has waited.
func TestRequestQueuedWhenItsKeyIsRemovedDoesNotRun(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(func(c *engine.Config) { c.Slots, c.Waiting = 1, 1 })
	f.awaitEngines("once", 1)
	first, second := f.tenantOf("first"), f.tenantOf("second")
	busy, free := f.occupy(f.keyed("once", second.APIKeys[0], second.Label))
	defer free()
	queued := make(chan *history.Attempt, 1)
	go func() {
		if attempts := f.newClient().Do(context.Background(), f.request("once")); len(attempts) > 0 {
			queued <- attempts[0]
		}
	}()
	f.awaitQueued(second)
	rest := *first
	rest.APIKeys = first.APIKeys[1:]
	changed := f.recorder.Now()
	f.mustChangeTenants([]protocol.Tenant{rest})
	f.awaitInForce("the key is refused", f.keptClient(), func() *client.Request { return f.request("once") }, unauthorized)
	free()
	busy.Wait()
	attempt := <-queued
	if attempt.Ended < changed {
		t.Errorf("the request was answered %d before its key was taken away, so it was not queued", attempt.Status)
	}
	if arrivals := f.arrivalsOf(attempt.AttemptID); len(arrivals) > 0 || attempt.Status != http.StatusUnauthorized {
		t.Errorf("the queued request was answered %d %s and reached engines %d times; it should be 401 and reach none", attempt.Status, attempt.Err, len(arrivals))
	}
	f.checkTenantRules()
}

// occupy has a request take the slot of the only engine until free is called, and another the place behind it, so that the
// router sends no more there; free may be called again.
func (f *fixture) occupy(r *client.Request) (busy *sync.WaitGroup, free func()) {
	f.t.Helper()
	f.engines[0].Inject(engine.Fault{Kind: engine.Hang})
	ctx, cancel := context.WithCancel(context.Background())
	busy = new(sync.WaitGroup)
	last := func() *history.Arrival {
		arrivals := f.arrivals()
		return arrivals[len(arrivals)-1]
	}
	busy.Go(func() { f.newClient().Do(ctx, r) })
	f.await("the engine's slot is taken", func() bool { return last().Ran() && last().Ended == 0 })
	busy.Go(func() { f.newClient().Do(ctx, r) })
	f.await("the place behind it is taken", func() bool { return !last().Ran() && last().Ended == 0 })
	return busy, cancel
}

// awaitQueued waits until a request of the first tenant has been sent, and for the refusal of a later one: by then the
// router has read the former. No engine may have it.
func (f *fixture) awaitQueued(other *protocol.Tenant) {
	f.t.Helper()
	queued := ""
	f.await("the request is sent", func() bool {
		for _, attempt := range f.recorder.Snapshot().Attempts {
			if attempt.URI == f.path("once") && attempt.Tenant == f.tenant && attempt.Sent != 0 && attempt.Ended == 0 {
				queued = attempt.AttemptID
			}
		}
		return queued != ""
	})
	later := f.keyed("once", other.APIKeys[0], other.Label)
	later.Deadline = 500 * time.Millisecond
	f.ask(later)
	if arrivals := f.arrivalsOf(queued); len(arrivals) > 0 {
		f.t.Fatalf("the request is not queued in the router: it has reached engine %s", arrivals[0].Engine)
	}
}

// Guards against a key that works for its old tenant, or not at all, after it was passed on.
func TestKeyMovedToAnotherTenantNamesIt(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	c, first, second := f.keptClient(), f.tenantOf("first"), f.tenantOf("second")
	f.expectRanAs("before", f.sendOn(c, f.request("again")), first.Label)
	rest, more := *first, *second
	rest.APIKeys = first.APIKeys[1:]
	more.APIKeys = append([]string{f.key}, second.APIKeys...)
	f.mustChangeTenants([]protocol.Tenant{rest, more})
	f.awaitInForce("the key names its new tenant", c, func() *client.Request { return f.request("again") }, func(attempt *history.Attempt) bool {
		names, _ := f.ranAs(attempt.AttemptID)
		return len(names) > 0 && names[0] == second.Label
	})
	for range 10 {
		f.expectRanAs("the moved key", f.sendOn(c, f.keyed("again", f.key, second.Label)), second.Label)
	}
	f.expectRanAs("the key that stayed", f.sendOn(c, f.keyed("again", rest.APIKeys[0], first.Label)), first.Label)
	f.checkTenantRules()
}

// Guards against a key that is refused though an acknowledged version has added it.
func TestAddedKeyIsServed(t *testing.T) {
	f := newTenantFixture(t)
	f.plain(nil)
	f.awaitEngines("again", 1)
	added := fmt.Sprintf("n%dadded", f.number)
	f.expectUnauthorized("before", f.askUntilExecuted(f.keyed("again", added, "")))
	more := *f.tenantOf("second")
	more.APIKeys = append(more.APIKeys, added)
	f.mustChangeTenants([]protocol.Tenant{more})
	f.awaitInForce("the added key is served", f.keptClient(), func() *client.Request { return f.keyed("again", added, more.Label) }, (*history.Attempt).Success)
	f.checkTenantRules()
}

// Guards against an invalid configuration of tenants being acknowledged (CONFIG on shared deployments).
func TestSharedAndEmptyKeysAreInvalid(t *testing.T) {
	f := newTenantFixture(t)
	first, second := f.tenantOf("first"), f.tenantOf("second")
	label := func(name string) string { return fmt.Sprintf("%s-%d", name, f.number) }
	shared := *second
	shared.APIKeys = append(shared.APIKeys, first.APIKeys[0])
	for what, upsert := range map[string][]protocol.Tenant{
		"two new tenants share a key":             {{Label: label("x"), APIKeys: []string{label("same")}}, {Label: label("y"), APIKeys: []string{label("same")}}},
		"a new tenant shares a key":               {{Label: label("x"), APIKeys: []string{first.APIKeys[1]}}},
		"a changed tenant shares a key":           {shared},
		"a key is empty":                          {{Label: label("x"), APIKeys: []string{""}}},
		"a key is empty beside one that is not":   {{Label: label("x"), APIKeys: []string{label("full"), ""}}},
		"an empty key is added to a known tenant": {{Label: first.Label, APIKeys: append([]string{""}, first.APIKeys...)}},
	} {
		if change := f.changeTenants(upsert, nil, what); change.Outcome != history.Refused {
			t.Errorf("%s: %s with %d; it should be refused", what, change.Outcome, change.Status)
		}
	}
	if change := f.putTenants(shared); change.Outcome != history.Refused {
		t.Errorf("a whole configuration in which two tenants share a key: %s with %d; it should be refused", change.Outcome, change.Status)
	}
	if !f.sameTenants() {
		t.Error("something that should be refused is in force")
	}
}

// Guards against keys or limits that come back other than they were sent.
func TestTenantsReadBackAsSent(t *testing.T) {
	f := newTenantFixture(t)
	tenant := protocol.Tenant{Label: fmt.Sprintf("read-%d", f.number), APIKeys: []string{fmt.Sprintf("z%dread", f.number), fmt.Sprintf("a%dread", f.number)}, Urgency: 4, RatePerS: 12.5, Burst: 3}
	f.mustChangeTenants([]protocol.Tenant{tenant})
	if !f.sameTenants() {
		t.Error("the configuration that is read back is not the one that was sent")
	}
	sent, err := json.Marshal(tenant)
	if err != nil {
		t.Fatal(err)
	}
	if read := f.rawClients(); !bytes.Contains(read, sent) {
		t.Errorf("%s is not among %.300s", sent, read)
	}
	f.mustChangeTenants(nil, tenant.Label)
	if read := f.rawClients(); bytes.Contains(read, sent) {
		t.Errorf("%s was removed and is there", sent)
	}
}
