package endtoend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// forwarding is a bundle on opaque requests alone.
func forwarding(revision uint64, paths int) document.Configuration {
	section := &upstream.Section{Revision: revision, Pools: []upstream.Pool{{Name: "p"}, {Name: "q"}}}
	for i := range paths {
		section.Paths = append(section.Paths, path(fmt.Sprint("r", i), "p"))
	}
	return document.Configuration{Name: "opaque", Forward: section}
}

func path(name, pool string) upstream.Path {
	return upstream.Path{Name: name, Host: "a.example", Prefix: "/" + name + "/", Class: upstream.Once, DeadlineMs: 1000, Attempts: 1,
		Shares: []upstream.Share{{Pool: pool, Weight: 1}}, Note: json.RawMessage(`{"kept":"` + name + `"}`)}
}

// together brings up a group of daemons without any bundle; each may have options of its own.
func together(t *testing.T, size int, oneStep bool, options func(i int) []daemon.Option) []*bench {
	t.Helper()
	first := prepare(t, engine.Config{})
	out, seeds := []*bench{}, []string{}
	for i := range size {
		b := first
		if i > 0 {
			b = &bench{t: t, platform: first.platform}
			b.place()
		}
		b.name, b.settle = fmt.Sprint("d", i), func(c *daemonconfig.Config) { c.DirectApply = oneStep }
		if options != nil {
			b.options = options(i)
		}
		out, seeds = append(out, b), append(seeds, b.fellow)
	}
	for _, b := range out {
		b.seeds = seeds
		b.run()
	}
	first.await("the group has a leader", func() bool { return leaderOf(out) != nil })
	return out
}

// bundleCall makes one call at a daemon's form for bundles; took is what it took of the time that the machine granted.
func (b *bench) bundleCall(method, query string, body []byte) (status int, reply operatorapi.Error, data []byte, took time.Duration) {
	b.t.Helper()
	request, err := http.NewRequest(method, "http://"+b.address+operatorapi.PathBundle+query, strings.NewReader(string(body)))
	if err != nil {
		b.t.Fatal(err)
	}
	began := machine.Elapsed()
	response, err := client.Do(request)
	if err != nil {
		return 0, reply, nil, machine.Elapsed().Since(began)
	}
	defer response.Body.Close()
	data, _ = io.ReadAll(response.Body)
	_ = json.Unmarshal(data, &reply)
	return response.StatusCode, reply, data, machine.Elapsed().Since(began)
}

func (b *bench) apply(base uint64, bundle []byte) (int, operatorapi.Error) {
	b.t.Helper()
	status, reply, _, _ := b.bundleCall("PUT", fmt.Sprintf("?operator=ana&base=%d", base), bundle)
	return status, reply
}

// clear calls until there is a clear answer, as an operator does.
func (b *bench) clear(method, query string, body []byte) (status int, reply operatorapi.Error, data []byte) {
	b.t.Helper()
	b.await("there is a clear answer", func() bool {
		status, reply, data, _ = b.bundleCall(method, query, body)
		return status != 503 && status != 0
	})
	return status, reply, data
}

func (b *bench) applied(base uint64, bundle []byte) (int, operatorapi.Error) {
	b.t.Helper()
	status, reply, _ := b.clear("PUT", fmt.Sprintf("?operator=ana&base=%d", base), bundle)
	return status, reply
}

// acknowledged makes the same call until it is acknowledged everywhere; it gives the first answer that is a refusal.
func (b *bench) acknowledged(method string, base uint64, body []byte) (status int, reply operatorapi.Error) {
	b.t.Helper()
	b.await("the bundle is acknowledged everywhere", func() bool {
		status, reply, _, _ = b.bundleCall(method, fmt.Sprintf("?operator=ana&base=%d", base), body)
		return status != 503 && status != 202 && status != 0
	})
	return status, reply
}

func (b *bench) patched(base uint64, patch upstream.Patch) (int, operatorapi.Error) {
	b.t.Helper()
	status, reply, _ := b.clear("PATCH", fmt.Sprintf("?operator=ana&base=%d", base), encode(b.t, patch))
	return status, reply
}

func (b *bench) newest() (read document.Configuration) {
	b.t.Helper()
	status, _, data := b.clear("GET", "", nil)
	if status != 200 {
		b.t.Fatalf("the newest bundle cannot be read back: %d %s", status, data)
	}
	if err := json.Unmarshal(data, &read); err != nil {
		b.t.Fatal(err)
	}
	return read
}

// same compares two sections by what they say; indenting a bundle indents the notes in it too.
func same(t *testing.T, a, b *upstream.Section) bool {
	t.Helper()
	first, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	second, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(first) == string(second)
}

// taken says whether a status says that the bundle is committed.
func taken(status int) bool { return status == 200 || status == 202 }

func TestBundlesInOneStep(t *testing.T) {
	group := together(t, 3, true, nil)
	if status, _, _ := group[0].clear("GET", "", nil); status != 404 {
		t.Error("before the first bundle:", status)
	}
	five, six, seven := encode(t, forwarding(5, 3)), encode(t, forwarding(6, 3)), encode(t, forwarding(7, 4))
	if status, reply := group[0].applied(3, five); status != 409 {
		t.Error("a base that was never there:", status, reply)
	}
	if status, reply := group[1].applied(0, five); !taken(status) {
		t.Fatal("the first bundle:", status, reply)
	}
	for _, b := range group {
		if status, reply := b.applied(0, five); !taken(status) {
			t.Error("the same call again:", status, reply)
		}
		if status, reply := b.applied(0, six); status != 409 || reply.Revision != 5 {
			t.Error("the loser:", status, reply)
		}
		if status, reply := b.applied(5, encode(t, forwarding(5, 2))); status != 400 {
			t.Error("a revision that is not above:", status, reply)
		}
		bad := forwarding(6, 3)
		bad.Forward.Paths[1].Shares[0].Pool = "nowhere"
		if status, reply := b.applied(5, encode(t, bad)); status != 400 || len(reply.Faults) != 1 || reply.Faults[0].Path != "forward.paths[1].shares[0].pool" {
			t.Error("a faulty bundle:", status, reply)
		}
		if status, reply := b.patched(5, upstream.Patch{Revision: 6, Remove: upstream.Names{Pools: []string{"p"}}}); status != 400 {
			t.Error("a change that takes a pool from under its paths:", status, reply)
		}
		if got := b.newest(); !same(t, got.Forward, forwarding(5, 3).Forward) {
			t.Errorf("read back %+v", got.Forward)
		}
	}
	change := upstream.Patch{Revision: 6, Upsert: upstream.Items{Paths: []upstream.Path{path("new", "q"), path("r1", "q")}}, Remove: upstream.Names{Paths: []string{"r0"}}}
	for i, b := range group {
		if status, reply := b.patched(5, change); !taken(status) {
			t.Error("a change:", i, status, reply)
		}
	}
	want := forwarding(6, 3)
	want.Forward.Paths = []upstream.Path{path("r1", "q"), path("r2", "p"), path("new", "q")}
	if got := group[2].newest(); !same(t, got.Forward, want.Forward) {
		t.Errorf("read back %+v", got.Forward)
	}
	if status, reply := group[0].applied(6, seven); !taken(status) {
		t.Error("a whole bundle on a changed one:", status, reply)
	}
	// What was taken is acknowledged again, however much came after it; what lost has lost.
	if status, reply := group[1].patched(5, change); !taken(status) {
		t.Error("an old change again:", status, reply)
	}
	if status, reply := group[1].applied(0, six); status != 409 {
		t.Error("the loser again:", status, reply)
	}
	for _, b := range group {
		b.await("all have it in force", func() bool { return b.status().ConfigurationVersion == 3 })
	}
}

// TestRacersInOneStep lets many operators build on one base at once.
func TestRacersInOneStep(t *testing.T) {
	group := together(t, 3, true, nil)
	base := uint64(0)
	for round := range uint64(5) {
		var wait sync.WaitGroup
		winners := make([]bool, 8)
		for i := range winners {
			wait.Add(1)
			go func() {
				defer wait.Done()
				bundle := encode(t, forwarding(round*100+10+uint64(i), 1))
				status, _ := group[i%3].applied(base, bundle)
				winners[i] = taken(status)
			}()
		}
		wait.Wait()
		won := -1
		for i, winner := range winners {
			if winner && won >= 0 {
				t.Fatalf("round %d: %d and %d both won", round, won, i)
			}
			if winner {
				won = i
			}
		}
		if won < 0 {
			t.Fatalf("round %d: nobody won", round)
		}
		base = round*100 + 10 + uint64(won)
		if got := group[0].newest().Forward.Revision; got != base {
			t.Fatalf("round %d: revision %d is in force, and %d was acknowledged", round, got, base)
		}
	}
}

// TestNoBundleInOneStep holds that an operator alone can do nothing where the fleet does not allow it.
func TestNoBundleInOneStep(t *testing.T) {
	group := together(t, 1, false, nil)
	if status, reply := group[0].applied(0, encode(t, forwarding(5, 1))); status != 403 {
		t.Error(status, reply)
	}
}
