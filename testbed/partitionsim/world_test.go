// Package partitionsim plays control and routing daemons in made-up time, without sockets, while control daemons are cut
// off, frozen and started anew, and holds what must then never happen. The agreement, the replicated state, the list of
// members, the choice of leader, relay and source, what is in force and the planner's lease are the daemon's own; the disk,
// the links, the answers to pulls and the planners' steps are played.
package partitionsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// variant names a way to break the machinery on purpose, to see that the checker bites.
type variant string

const (
	sound variant = ""
	// keepsStale relies on whoever answers, as the build before did.
	keepsStale variant = "a daemon that keeps a stale source"
	// staysWithRelay does not look at the confirmation of the leader's and the relay's answers.
	staysWithRelay variant = "a daemon that stays with its relay while it answers"
	// readyByAnyone takes any control daemon's word while it is not ready.
	readyByAnyone variant = "a fresh daemon that is ready by a stale source"
	// byReceipt counts a confirmation from the moment at which the reply is taken.
	byReceipt variant = "a confirmation that counts from its receipt"
	// relayVouches lets each control daemon vouch for itself.
	relayVouches variant = "a relay that announces itself as confirmed"
	// aheadOfForce hands a confirmation on though what it vouches for is not in force yet.
	aheadOfForce variant = "a confirmation taken before what it vouches for is in force"
	// readsUnasked answers reads at whoever takes itself for the leader, without asking a majority.
	readsUnasked variant = "a leader that answers reads without a quorum"
	// refusesByOwnState refuses an order on a base that is not there yet by what the member holds, whoever leads.
	refusesByOwnState variant = "a member that refuses orders by its own old state"
)

// failureMode is what becomes of a call over a cut link.
type failureMode int

const (
	silent failureMode = iota
	refuse
	reset
)

type event struct {
	at  clock.Mark
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; last := old[len(old)-1]; *e = old[:len(old)-1]; return last }

// world is the fleet, its links and what the checker keeps.
type world struct {
	t       *testing.T
	random  *rand.Rand
	variant variant
	now     clock.Mark
	queue   events
	seq     int
	nodes   []*node
	// controls is how many of the nodes, the first ones, serve control.
	controls    int
	blocked     map[[2]int]bool
	failureMode failureMode
	// calls are those under way, so that a reset can end them.
	calls map[*call]bool
	// hasPlanners says that the control daemons plan, which fencing checks.
	hasPlanners bool
	fencing     *fencingChecker

	checker
}

type call struct {
	// number tells calls apart: two nodes may have several under way.
	number   int
	from, to *node
	fail     func()
}

func newWorld(t *testing.T, seed uint64, controls, edges int, v variant) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 18)), variant: v, now: clock.Mark(time.Hour), controls: controls,
		blocked: map[[2]int]bool{}, calls: map[*call]bool{}, fencing: newFencingChecker(), checker: newChecker()}
	var members raft.Membership
	for i := range controls {
		members.Members = append(members.Members, raft.Member{ID: raft.MemberID(i + 1), Name: fmt.Sprint("core", i), Address: fmt.Sprint("core", i), Voter: true})
	}
	for i := range controls + edges {
		n := &node{world: w, index: i, control: i < controls, offset: clock.Mark(w.random.Int64N(int64(time.Hour)))}
		n.name = fmt.Sprint("edge", i-controls)
		if n.control {
			n.name = fmt.Sprint("core", i)
			n.disk = firstState(members)
		}
		n.zone = ident.ZoneID(fmt.Sprint("zone", i%3))
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.seeds = w.coreAddresses()
		n.start()
	}
	w.look()
	return w
}

// end stops the rollout managers' goroutines.
func (w *world) end() {
	for _, n := range w.nodes {
		n.stop()
	}
}

func (w *world) core() []*node { return w.nodes[:w.controls] }

func (w *world) coreAddresses() (out []string) {
	for _, n := range w.core() {
		out = append(out, n.name)
	}
	return out
}

func (w *world) at(address string) *node {
	at := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == address })
	if at < 0 {
		return nil
	}
	return w.nodes[at]
}

func (w *world) after(span time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + clock.Mark(span), w.seq, run})
}

// ms is a random span.
func (w *world) ms(from, to int) time.Duration {
	return time.Duration(from)*time.Millisecond + time.Duration(w.random.Int64N(int64(to-from)*int64(time.Millisecond)+1))
}

func (w *world) run(span time.Duration) {
	end := w.now + clock.Mark(span)
	for len(w.queue) > 0 && w.queue[0].at <= end && len(w.violations) < mostViolations {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = max(w.now, end)
}

// reaches says whether what one says gets to another.
func (w *world) reaches(from, to *node) bool { return !w.blocked[[2]int{from.index, to.index}] }

// path says whether two can speak with each other.
func (w *world) path(a, b *node) bool {
	return a == b || w.reaches(a, b) && w.reaches(b, a)
}

// cut cuts links: those that leave the first nodes for the others, those that come to them, or both.
func (w *world) cut(some, others []*node, out, in bool) {
	for _, a := range some {
		for _, b := range others {
			if a == b {
				continue
			}
			if out {
				w.blocked[[2]int{a.index, b.index}] = true
			}
			if in {
				w.blocked[[2]int{b.index, a.index}] = true
			}
			w.disrupted(a, b)
		}
	}
	if w.failureMode != reset {
		return
	}
	for _, c := range w.callsCut() {
		delete(w.calls, c)
		w.after(w.ms(0, 5), c.fail)
	}
}

// callsCut are the calls under way over cut links, in the order in which they were made: a map's own order would not be the
// same again.
func (w *world) callsCut() (out []*call) {
	for c := range w.calls {
		if !w.path(c.from, c.to) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *call) int { return a.number - b.number })
	return out
}

// heal ends all cuts.
func (w *world) heal() {
	for a := range w.nodes {
		for b := range w.nodes {
			if w.blocked[[2]int{a, b}] {
				w.disrupted(w.nodes[a], w.nodes[b])
			}
		}
	}
	clear(w.blocked)
}

// send carries something to a node, which takes it when it runs and is not frozen; lost is called where the way
// there is cut and says so.
func (w *world) send(from, to *node, take, lost func()) {
	if !w.reaches(from, to) {
		if w.failureMode != silent && lost != nil {
			w.after(w.ms(1, 10), lost)
		}
		return
	}
	w.after(w.ms(1, 6), func() { to.do(to.incarnation, take) })
}

// call asks a node; answer gives back how what it answers is taken here. One of taken and failed is called, once; a
// frozen asker may find the answer or the end of its patience first when it thaws.
func (n *node) call(to *node, patience time.Duration, serve func(answer func(taken func())), failed func()) {
	w, incarnation := n.world, n.incarnation
	done := false
	finish := func(run func()) func() {
		return func() {
			if !done {
				done = true
				run()
			}
		}
	}
	w.seq++
	c := &call{number: w.seq, from: n, to: to, fail: func() { n.do(incarnation, finish(failed)) }}
	w.calls[c] = true
	over := func(run func()) func() {
		return finish(func() { delete(w.calls, c); run() })
	}
	w.after(patience, func() { n.do(incarnation, over(failed)) })
	w.send(n, to, func() {
		serve(func(taken func()) {
			w.send(to, n, func() {
				if n.incarnation == incarnation {
					over(taken)()
				}
			}, func() { n.do(incarnation, over(failed)) })
		})
	}, func() { n.do(incarnation, over(failed)) })
}
