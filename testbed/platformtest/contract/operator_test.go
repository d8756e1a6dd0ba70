package contract

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/checker"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/operator"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// TestConfigurationChangesFollowTheOperatorProtocol goes through the page on the operator in one order, since all tests share one group.
func TestConfigurationChangesFollowTheOperatorProtocol(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	o := operator.New("contract", 7, f.recorder, f.fleet.Controls)
	current := config()
	read := func() *protocol.Config {
		t.Helper()
		back := o.Get(ctx, false)
		if back.Config == nil {
			t.Fatal(back.Err)
		}
		return back.Config
	}
	if !checker.Same(read(), current) {
		t.Fatal("what is read back is not what was sent")
	}
	put := func(base uint64, body []byte) int {
		status, _ := f.call(http.MethodPut, protocol.PathConfig, map[string]string{"If-Match": fmt.Sprint(base), "Content-Type": "application/json"}, body)
		return status
	}
	// The same again is acknowledged again.
	if status := put(0, current.Encode()); status != 200 {
		t.Errorf("the very same configuration: %d", status)
	}
	next := current.Clone()
	next.Generation = 4
	next.Routes = append(next.Routes, protocol.Route{Label: "later", Authority: host, PathPrefix: "/later/", Class: protocol.Idempotent, DeadlineMs: 1000, Backend: "plain-0", Tries: 1})
	if status := put(0, next.Encode()); status != 412 {
		t.Errorf("on an old version: %d", status)
	}
	for what, spoil := range map[string]func(*protocol.Config){
		"an unknown service": func(c *protocol.Config) { c.Routes[0].Backend = "nobody" },
		"an unknown share": func(c *protocol.Config) {
			c.Routes[0].Shares = []protocol.Share{{Backend: "nobody", Share: 1}}
			c.Routes[0].Backend = ""
		},
		"host and prefix": func(c *protocol.Config) { c.Routes[1].PathPrefix = c.Routes[0].PathPrefix },
		"weights of 0": func(c *protocol.Config) {
			c.Routes[0].Shares = []protocol.Share{{Backend: "plain-0"}}
			c.Routes[0].Backend = ""
		},
		"a deadline of 0":     func(c *protocol.Config) { c.Routes[0].DeadlineMs = 0 },
		"the same generation": func(c *protocol.Config) { c.Generation = 1; c.Routes[0].TargetMs++ },
		"an older generation": func(c *protocol.Config) { c.Generation = 0 },
		"host in capitals too": func(c *protocol.Config) {
			c.Routes[1].PathPrefix, c.Routes[1].Authority = c.Routes[0].PathPrefix, "FRONT.example"
		},
	} {
		bad := next.Clone()
		spoil(bad)
		if status := put(1, bad.Encode()); status < 400 || status > 499 {
			t.Errorf("%s: %d", what, status)
		}
	}
	for _, raw := range []string{"", "{", "[]", "null", `"x"`, string(next.Encode()[:400]), string(next.Encode()) + "}"} {
		if status := put(1, []byte(raw)); status < 400 || status > 499 {
			t.Errorf("%.20q: %d", raw, status)
		}
	}
	if !checker.Same(read(), current) {
		t.Fatal("something that was refused is in force")
	}
	if change := o.Put(ctx, 1, next, ""); change.Outcome != history.Acknowledged {
		t.Fatalf("%+v", change)
	}
	current = next
	// One that was taken is never refused, also when a newer one is in force.
	if status := put(0, config().Encode()); status >= 400 && status < 500 {
		t.Errorf("the first configuration, resent later: %d", status)
	}
	if status := put(1, current.Encode()); status != 200 {
		t.Errorf("resent after a lost answer: %d", status)
	}
	// Two operators on one version: one wins.
	var done sync.WaitGroup
	changes := make([]*history.Change, 8)
	for n := range changes {
		racing := current.Clone()
		racing.Generation = 10 + uint64(n)
		racing.Routes[0].TargetMs = int64(1000 + n)
		done.Add(1)
		go func() {
			defer done.Done()
			changes[n] = operator.New(fmt.Sprint("race", n), uint64(n), f.recorder, f.fleet.Controls).Put(ctx, 4, racing, "")
		}()
	}
	done.Wait()
	won := 0
	for _, change := range changes {
		switch change.Outcome {
		case history.Acknowledged:
			won, current = won+1, change.Config
		case history.Refused:
		default:
			t.Errorf("%+v", change)
		}
	}
	if won != 1 || !checker.Same(read(), current) {
		t.Errorf("%d won", won)
	}
	for _, change := range changes {
		if status := put(4, change.Config.Encode()); (status == 200) != (change.Outcome == history.Acknowledged) {
			t.Errorf("version %d, %s before, is answered %d", change.Generation, change.Outcome, status)
		}
	}
	// Named items change, and all else stays as it was sent.
	patch := protocol.Patch{Generation: 40}
	moved := *current.Named("later")
	moved.Backend, moved.Shares = "", []protocol.Share{{Backend: "plain-0", Share: 3}, {Backend: "plain-1", Share: 1}}
	patch.Upsert.Routes = []protocol.Route{moved, {Label: "newer", Authority: host, PathPrefix: "/newer/", Class: protocol.Mutating, DeadlineMs: 700, Backend: "plain-0", Tries: 1}}
	patch.Upsert.Backends = []protocol.Backend{{Label: "extra", HealthPath: "/h", MaxConns: 3, Protocol: "h1"}}
	if change := o.Patch(ctx, current, patch, ""); change.Outcome != history.Acknowledged || !checker.Same(read(), change.Config) {
		t.Fatalf("%+v", change)
	}
	current = current.Apply(patch)
	gone := protocol.Patch{Generation: 41}
	gone.Remove.Routes, gone.Remove.Backends = []string{"newer", "later", "was-never-there"}, []string{"extra"}
	if change := o.Patch(ctx, current, gone, ""); change.Outcome != history.Acknowledged || !checker.Same(read(), change.Config) {
		t.Errorf("%+v", change)
	}
	current = current.Apply(gone)
	broken := protocol.Patch{Generation: 42}
	broken.Remove.Backends = []string{"plain-0"}
	if change := o.Patch(ctx, current, broken, "a route names an unknown service"); change.Outcome != history.Refused {
		t.Errorf("a service that routes name was removed: %+v", change)
	}
	// Many routes at once, within the time that an acknowledgement may take.
	large := current.Clone()
	large.Generation = 50
	for n := range 3000 {
		large.Routes = append(large.Routes, protocol.Route{Label: fmt.Sprintf("many-%d", n), Authority: host, PathPrefix: fmt.Sprintf("/many/%d/", n), Class: protocol.Idempotent, DeadlineMs: 1000, Backend: "plain-0", Tries: 1})
	}
	if change := o.Put(ctx, 41, large, ""); change.Outcome != history.Acknowledged || !checker.Same(read(), large) {
		t.Errorf("%+v", change)
	}
}

// TestUnknownFieldsArePreserved: an operator reads back what it sent, also what the product does not read.
func TestUnknownFieldsArePreserved(t *testing.T) {
	f := newFixture(t)
	_, text := f.call(http.MethodGet, protocol.PathConfig, nil, nil)
	var complete map[string]any
	if err := json.Unmarshal(text, &complete); err != nil {
		t.Fatal(err)
	}
	routes, _ := complete["route-table"].([]any)
	first, _ := routes[0].(map[string]any)
	for _, name := range []string{"label", "authority", "path-prefix", "route-class", "deadline-ms", "target-ms", "urgency", "tries", "affine", "resumable", "gap-target-ms"} {
		if _, there := first[name]; !there {
			t.Errorf("%s does not come back: %v", name, first)
		}
	}
}
