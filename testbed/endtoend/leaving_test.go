package endtoend

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/apex/log/handlers/memory"

	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/testbed/fleet"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// knownWithin is how soon after its acknowledgement a leaving must be known wherever there is a way to a
// majority, and leaveReach how long the acknowledgement itself waits for that; leaveWithin is when there must be an answer.
const (
	knownWithin = 2 * time.Second
	leaveReach  = 300 * time.Millisecond
	leaveWithin = 950 * time.Millisecond
)

// parted is a group of three and some routing daemons, with links between them that can be cut.
type parted struct {
	t           *testing.T
	links       *fleet.Links
	core, edges []*bench
}

func part(t *testing.T, edges int, configure func(*daemonconfig.Config)) *parted {
	t.Helper()
	first := prepare(t)
	p := &parted{t: t, links: fleet.NewLinks()}
	var seeds []string
	for i := range 3 + edges {
		b := first
		if i > 0 {
			b = &bench{t: t, platform: first.platform}
			b.place()
		}
		listener, err := net.Listen("tcp", free(t))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		b.logs = memory.New()
		b.name, b.reached = fmt.Sprint("core", i), listener.Addr().String()
		if i < 3 {
			b.serve, seeds = []daemonconfig.Role{daemonconfig.Control, daemonconfig.Placement}, append(seeds, b.reached)
			p.core = append(p.core, b)
		} else {
			b.name, b.serve = fmt.Sprint("edge", i-3), []daemonconfig.Role{daemonconfig.Route}
			p.edges = append(p.edges, b)
		}
		go p.links.Carry(listener, b.name, b.fellow)
	}
	for _, b := range p.all() {
		b.seeds = seeds
		b.settle = configure
		b.run()
	}
	first.await("the group has a leader", func() bool { return leaderOf(p.core) != nil })
	first.roll("first", 0, encode(t, testConfiguration(1, 4)))
	for _, b := range p.all() {
		b.await("all are ready", func() bool { return b.status().Ready })
	}
	return p
}

func (p *parted) all() []*bench { return append(append([]*bench{}, p.core...), p.edges...) }

// cut cuts a daemon off from some others, both ways.
func (p *parted) cut(b *bench, others []*bench) {
	for _, other := range others {
		if other != b {
			p.links.Partition(b.name, other.name)
			p.links.Partition(other.name, b.name)
		}
	}
}

// register registers engines and waits until all daemons know them.
func (p *parted) register(ids ...string) {
	p.t.Helper()
	for i, id := range ids {
		if status, reply := p.core[i%3].say("PUT", id, registration(i, 1)); status != 200 {
			p.t.Fatal(status, reply)
		}
	}
	for _, b := range p.all() {
		for _, id := range ids {
			b.await(id+" is known", func() bool { return b.condition(id) != "" })
		}
	}
}

func leaves(i int) operatorapi.Registration {
	r := registration(i, 100)
	r.Draining = true
	return r
}

// knowBy checks that daemons know of a leaving by the time they must.
func (p *parted) knowBy(acknowledged span, id string, some []*bench) {
	p.t.Helper()
	for _, b := range some {
		b.await("it knows that "+id+" leaves", func() bool { return b.condition(id) == operatorapi.EngineDraining })
		if after, _ := acknowledged.took(); after > knownWithin {
			p.t.Errorf("%s knew of %s only %v after the acknowledgement", b.name, id, after)
		}
	}
}

func TestALeaverIsKnownEverywhereThoughItsLeaderWasCutOff(t *testing.T) {
	// Engines here beat once, so that none is taken for silent where its leaving is looked for.
	p := part(t, 3, func(c *daemonconfig.Config) { c.Bounds.HeartbeatMs = 600000 })
	p.register("r0", "r1", "r2")
	leader := awaitLeader(p.core)
	var followers []*bench
	for _, b := range p.core {
		if b != leader {
			followers = append(followers, b)
		}
	}

	// The one that takes the word can't tell those that route: the others of the core do.
	p.cut(leader, p.edges)
	leader.leave("PUT", "r0", leaves(0))
	p.knowBy(begin(), "r0", p.all())

	// It is cut off altogether right after it has acknowledged, before it could tell anyone but the group.
	leader.leave("PUT", "r1", leaves(1))
	p.cut(leader, p.core)
	p.knowBy(begin(), "r1", append(append([]*bench{}, followers...), p.edges...))

	// Cut off, it takes beats, and acknowledges no leaving.
	if status, _ := leader.say("PUT", "r2", registration(2, 50)); status != 200 {
		t.Error("a beat at one that is cut off:", status)
	}
	began := begin()
	if status, _ := leader.say("PUT", "r2", leaves(2)); status != 503 {
		t.Error("a leaving at one that is cut off:", status)
	}
	if took, _ := began.took(); took > leaveWithin {
		t.Errorf("it answered after %v", took)
	}
	// The others go on, and what is told them is acknowledged.
	followers[0].await("another leads", func() bool { return leaderOf(followers) != nil })
	followers[0].leave("PUT", "r2", leaves(2))
	p.knowBy(begin(), "r2", append(append([]*bench{}, followers...), p.edges...))
	p.links.Heal()
	for _, id := range []string{"r0", "r1", "r2"} {
		leader.await("it knows of "+id+" once it is back", func() bool { return leader.condition(id) == operatorapi.EngineDraining })
	}
}
