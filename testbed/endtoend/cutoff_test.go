package endtoend

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// answeredWithin is how soon one that is cut off must answer an operator's call, so that it goes elsewhere.
const answeredWithin = time.Second

// others are all of the core but one.
func (p *parted) others(one *bench) []*bench {
	return slices.DeleteFunc(slices.Clone(p.core), func(b *bench) bool { return b == one })
}

// add brings up one more routing daemon, whose settings name only some seeds.
func (p *parted) add(name string, seeds []string, configure func(*daemonconfig.Config)) *bench {
	p.t.Helper()
	b := &bench{t: p.t, platform: p.core[0].platform}
	b.place()
	listener, err := net.Listen("tcp", free(p.t))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { listener.Close() })
	b.name, b.reached, b.serve, b.seeds, b.settle = name, listener.Addr().String(), []daemonconfig.Role{daemonconfig.Route}, seeds, configure
	go p.links.Carry(listener, b.name, b.fellow)
	b.run()
	return b
}

// A leader that is cut off from the other members, and from nobody else, neither confirms nor refuses anything for
// good: neither by the log nor by what it knows beside it.
func TestALeaderThatIsCutOffRefusesNothingForGood(t *testing.T) {
	p := part(t, 1, func(c *daemonconfig.Config) { c.DirectApply = true })
	leader := awaitLeader(p.core)
	p.cut(leader, p.core)
	yes := true
	base := leader.status().ClosureVersion
	for _, call := range []struct {
		name, path string
		body       any
	}{
		{"a closure of a zone that it does not know", operatorapi.PathZone, operatorapi.ZoneClosure{Zone: "nowhere", Closed: &yes, Base: &base, Operator: "ana"}},
		{"a closure of one that it knows", operatorapi.PathZone, operatorapi.ZoneClosure{Zone: "there", Closed: &yes, Base: &base, Operator: "ana"}},
	} {
		asked := begin()
		status, reply, _ := leader.post(call.path, encode(t, call.body))
		if took, _ := asked.took(); status != 503 || took > answeredWithin {
			t.Errorf("%s: %d %+v after %v", call.name, status, reply, took)
		}
	}
	for _, path := range []string{operatorapi.PathClosures, operatorapi.PathTrace + "?change=spec:1", operatorapi.PathHistory} {
		asked := begin()
		status, reply := leader.get(path, nil)
		if took, _ := asked.took(); status != 503 || took > answeredWithin {
			t.Errorf("%s: %d %s after %v", path, status, reply, took)
		}
	}
	first := encode(t, forwarding(3, 2))
	for name, call := range map[string]struct {
		method, query string
		body          []byte
	}{
		"a bundle":                         {"PUT", "?operator=ana&base=1", first},
		"a bundle on a base that is ahead": {"PUT", "?operator=ana&base=9", encode(t, forwarding(11, 1))},
		"a patch":                          {"PATCH", "?operator=ana&base=1", []byte(`{"revision":4}`)},
		"a bundle read back":               {"GET", "", nil},
	} {
		status, reply, _, took := leader.bundleCall(call.method, call.query, call.body)
		if status != 503 || took > answeredWithin {
			t.Errorf("%s: %d %+v after %v", name, status, reply, took)
		}
	}
	// What it was asked for and could not commit is taken by the others, or found by the same call.
	rest := p.others(leader)
	rest[0].await("another leads", func() bool { return leaderOf(rest) != nil })
	if status, reply := rest[0].applied(1, first); !taken(status) {
		t.Errorf("the same call at one of the others: %d %+v", status, reply)
	}
	p.links.Heal()
	if status, reply := leader.applied(1, first); !taken(status) {
		t.Errorf("the same call at the one that was cut off, once it is back: %d %+v", status, reply)
	}
}

// Routing daemons that still reach a leader that is cut off from the other members must soon have what those
// acknowledge, and so must one that starts meanwhile and knows no other seed; until then it is not ready.
func TestNobodyRelyingOnACutOffLeaderServesWhatWasReplaced(t *testing.T) {
	p := part(t, 3, nil)
	leader := awaitLeader(p.core)
	rest := p.others(leader)
	before := leader.status().ClosureVersion
	p.cut(leader, p.core)
	rest[0].await("another leads", func() bool { return leaderOf(rest) != nil })
	fresh := p.add("fresh", []string{leader.reached}, nil)
	shut(rest[0], true)
	acknowledged := begin()
	for _, b := range append(slices.Clone(p.edges), fresh) {
		b.await("it has the closure", func() bool {
			status := b.status()
			if b == fresh && status.Ready && status.ClosureVersion <= before {
				t.Fatalf("%s is ready with closures of epoch %d, and %d was replaced", b.name, status.ClosureVersion, before)
			}
			return status.ClosureVersion > before
		})
		if took, _ := acknowledged.took(); b != fresh && took > knownWithin {
			t.Errorf("%s had the closure only %v after its acknowledgement", b.name, took)
		}
	}
	fresh.await("it is ready", func() bool { return fresh.status().Ready })
	leader.await("it says that it is stale", func() bool { return leader.counter("turned_stale") > 0 })
	p.links.Heal()
	leader.await("it has the closure once it is back", func() bool { return leader.status().ClosureVersion > before })
}
