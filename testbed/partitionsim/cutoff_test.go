package partitionsim

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// usualSeeds and usualPairs are how many histories are played where no search is asked for.
const usualSeeds, usualPairs = 15, 12

// directions are the ways in which links are cut: both, from those in trouble, and to them.
var directions = []struct{ out, in bool }{{true, true}, {true, false}, {false, true}}

// targets picks the control daemons that a trouble is for: the leader, one on which routing daemons rely, any other,
// or, of five, two together.
func (w *world) targets() []*node {
	var leader, relay *node
	for _, n := range w.core() {
		if n.isLeader() {
			leader = n
		}
	}
	for _, n := range w.nodes[w.controls:] {
		if at := w.at(n.view.RelayAddress); at != nil && at != leader && at.up {
			relay = at
		}
	}
	one := w.core()[w.random.IntN(w.controls)]
	switch w.random.IntN(3) {
	case 0:
		if leader != nil {
			one = leader
		}
	case 1:
		if relay != nil {
			one = relay
		}
	}
	if w.controls < 5 || w.random.IntN(3) == 0 {
		return []*node{one}
	}
	other := w.core()[(one.index+1+w.random.IntN(w.controls-1))%w.controls]
	if leader != nil && leader != one && w.random.IntN(2) == 0 {
		other = leader
	}
	return []*node{one, other}
}

// without gives those of some that are not among others.
func without(some, others []*node) []*node {
	return slices.DeleteFunc(slices.Clone(some), func(n *node) bool { return slices.Contains(others, n) })
}

// disrupt brings one disruption about, and restarts inside of it; it gives how long it lasts.
func (w *world) disrupt() time.Duration {
	lasts := w.ms(5000, 30000)
	targets := w.targets()
	w.failureMode = failureMode(w.random.IntN(3))
	way := directions[w.random.IntN(len(directions))]
	switch w.random.IntN(6) {
	case 0, 1:
		// From the other voters only: all others still reach them.
		w.cut(targets, without(w.core(), targets), way.out, way.in)
		w.setIsolated(targets)
	case 2:
		// From everyone but the routing daemons of their own zones.
		outside := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool {
			return !n.control && slices.ContainsFunc(targets, func(one *node) bool { return one.zone == n.zone })
		})
		w.cut(targets, without(outside, targets), way.out, way.in)
		w.setIsolated(targets)
	case 3:
		// A whole zone from all others.
		zone := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.zone != targets[0].zone })
		w.cut(zone, without(w.nodes, zone), way.out, way.in)
		inside := without(w.core(), without(w.nodes, zone))
		if len(inside) <= (w.controls-1)/2 {
			w.setIsolated(inside)
		}
	case 4:
		// From the routing daemons only.
		w.cut(targets, w.nodes[w.controls:], way.out, way.in)
	case 5:
		lasts = w.ms(2000, 20000)
		for _, n := range targets {
			n.freeze(lasts)
		}
	}
	w.after(w.ms(500, int(lasts.Milliseconds())/2), func() { w.restarts(targets) })
	return lasts
}

// setIsolated records who is cut off from all other control daemons.
func (w *world) setIsolated(some []*node) { w.isolated, w.isolatedSince = some, w.now }

// restarts starts some routing daemons anew within a trouble, some with seeds that name only those in trouble; and
// sometimes a control daemon that is in no trouble.
func (w *world) restarts(targets []*node) {
	edges := w.nodes[w.controls:]
	for range 1 + w.random.IntN(3) {
		n := edges[w.random.IntN(len(edges))]
		if !n.up {
			continue
		}
		n.crash()
		n.seeds = w.coreAddresses()
		if w.random.IntN(3) > 0 {
			n.seeds = nil
			for _, target := range targets {
				n.seeds = append(n.seeds, target.name)
			}
		}
		w.after(w.ms(50, 1500), n.start)
	}
	if w.random.IntN(4) == 0 {
		n := targets[0]
		n.crash()
		w.after(w.ms(50, 3000), n.start)
	}
}

// play is one history: calm, two troubles with calm after each, and an end.
func play(t *testing.T, seed uint64, v variant, only string) *world {
	controls := []int{3, 5, 3}[seed%3]
	w := newWorld(t, seed, controls, 6, v)
	w.only = only
	defer w.end()
	w.run(3 * time.Second)
	for who := range 2 {
		w.operator(who, 0, 0)
	}
	w.closer(true)
	w.reader()
	w.run(4 * time.Second)
	for range 2 {
		lasts := w.disrupt()
		w.run(lasts)
		w.isolated = nil
		w.heal()
		w.run(w.ms(4000, 9000))
		for _, n := range w.nodes {
			n.seeds = w.coreAddresses()
		}
	}
	w.ended = true
	w.run(4 * time.Second)
	if len(w.violations) == 0 {
		w.finish()
	}
	return w
}

// playPair is the worst that five control daemons must stand: the leader and one on which routing daemons rely are cut
// off together from the other voters, and from nobody else, and the routing daemons know no other seeds.
func playPair(t *testing.T, seed uint64, v variant, only string) *world {
	w := newWorld(t, seed, 5, 6, v)
	w.only = only
	defer w.end()
	w.run(3 * time.Second)
	for who := range 2 {
		w.operator(who, 0, 0)
	}
	w.closer(true)
	w.reader()
	w.run(4 * time.Second)
	w.failureMode = failureMode(seed % 3)
	var pair []*node
	for _, n := range w.core() {
		if n.isLeader() {
			pair = []*node{n, w.core()[(n.index+1+int(seed/3)%4)%5]}
		}
	}
	if len(pair) == 0 {
		t.Fatalf("seed %d: nobody leads in calm", seed)
	}
	w.cut(pair, without(w.core(), pair), true, true)
	w.setIsolated(pair)
	for _, n := range w.nodes[w.controls:] {
		n.seeds = []string{pair[0].name, pair[1].name}
	}
	w.run(15 * time.Second)
	w.isolated = nil
	w.heal()
	w.run(4 * time.Second)
	w.ended = true
	w.run(4 * time.Second)
	if len(w.violations) == 0 {
		w.finish()
	}
	return w
}

// seeds is how many histories are played; more for a search: CRESSPOND_SEEDS=2000 go test ./testbed/partitionsim
func seeds(usual uint64) uint64 {
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 64); err == nil {
		return wanted
	}
	return usual
}

// TestCutOffControl holds that no daemon in touch with a majority serves what was replaced for longer than the bound,
// that none becomes ready on old state, and that nobody confirms or refuses for good from the side that is cut off.
func TestCutOffControl(t *testing.T) {
	var sum checker
	acks := 0
	for seed := range seeds(usualSeeds) {
		w := play(t, seed, sound, "")
		for _, violation := range w.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		acks += len(w.acks)
		sum.looked, sum.settled, sum.clear, sum.unclearIsolated = sum.looked+w.looked, sum.settled+w.settled, sum.clear+w.clear, sum.unclearIsolated+w.unclearIsolated
		sum.reads, sum.left, sum.stayed, sum.slowest = sum.reads+w.reads, sum.left+w.left, sum.stayed+w.stayed, max(sum.slowest, w.slowest)
	}
	t.Logf("%d histories: %d acknowledged, %d looks at daemons in touch, %d became ready, %d clear answers, %d unclear by who was cut off, %d read back, %d stale sources left, %d looks at who might stay, slowest answer %v",
		seeds(usualSeeds), acks, sum.looked, sum.settled, sum.clear, sum.unclearIsolated, sum.reads, sum.left, sum.stayed, sum.slowest)
	if sum.looked == 0 || sum.settled == 0 || sum.clear == 0 || sum.unclearIsolated == 0 || sum.reads == 0 || sum.left == 0 || sum.stayed == 0 {
		t.Error("nothing was checked")
	}
}

// TestALeaderAndARelayCutOffTogetherAreLeft holds the same where the leader and a relay are cut off together.
func TestALeaderAndARelayCutOffTogetherAreLeft(t *testing.T) {
	left := 0
	for seed := range seeds(usualPairs) {
		w := playPair(t, seed, sound, "")
		for _, violation := range w.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		left += w.left
	}
	t.Logf("%d histories: %d stale sources left", seeds(usualPairs), left)
	if left == 0 {
		t.Error("nothing was checked")
	}
}

// TestTheCutOffCheckerBites breaks the machinery on purpose: each break must be caught, by the rule that it is for.
func TestTheCutOffCheckerBites(t *testing.T) {
	for v, by := range map[variant]struct {
		rule string
		play func(*testing.T, uint64, variant, string) *world
	}{
		keepsStale:        {ruleOld, playPair},
		staysWithRelay:    {ruleStays, play},
		readyByAnyone:     {ruleReady, play},
		byReceipt:         {ruleConfirm, play},
		relayVouches:      {ruleConfirm, play},
		aheadOfForce:      {ruleConfirm, play},
		readsUnasked:      {ruleRead, play},
		refusesByOwnState: {ruleIsolated, play},
	} {
		t.Run(string(v), func(t *testing.T) {
			for seed := range uint64(60) {
				if w := by.play(t, seed, v, by.rule); w.rules[by.rule] > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}

// The same seed is the same history, or a finding could not be looked into.
func TestASeedIsOneHistory(t *testing.T) {
	for _, play := range []func(*testing.T, uint64, variant, string) *world{play, playPlanners} {
		a, b := play(t, 4, sound, ""), play(t, 4, sound, "")
		if a.seq != b.seq || len(a.acks) != len(b.acks) || a.now != b.now {
			t.Errorf("%d and %d events, %d and %d acknowledgements", a.seq, b.seq, len(a.acks), len(b.acks))
		}
	}
}

// TestCallsOfTheSameNodesEndInTheOrderInWhichTheyWereMade: several calls from one node to another that a cut resets at once.
func TestCallsOfTheSameNodesEndInTheOrderInWhichTheyWereMade(t *testing.T) {
	w := newWorld(t, 1, 3, 1, sound)
	defer w.end()
	from, to := w.core()[0], w.core()[1]
	for range 8 {
		from.call(to, time.Minute, func(func(func())) {}, func() {})
	}
	w.cut([]*node{from}, []*node{to}, true, true)
	for range 50 {
		calls := w.callsCut()
		if len(calls) != 8 || !slices.IsSortedFunc(calls, func(a, b *call) int { return a.number - b.number }) {
			t.Fatalf("%d calls, in another order than they were made", len(calls))
		}
	}
}
