package partitionsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// unfreezeSlack is how long after a sender's thaw orders may still arrive that were on their way out before.
	unfreezeSlack = 300 * time.Millisecond
	// usualPlannerSeeds is how many histories with planners are played where no search is asked for.
	usualPlannerSeeds = 12
)

// Ways to break the planners' machinery on purpose.
const (
	grantsWithoutGap       variant = "a group that grants the lease without a quiet period"
	sendsUnchecked         variant = "a planner that looks neither at its lease nor at the order's time before it sends"
	sendsUnannounced       variant = "a planner that sends orders without announcing them"
	countsLeaseFromReceipt variant = "a lease that counts from the receipt of its grant"
)

// The rules for planners.
const (
	ruleHolders = "two hold the planner's lease"
	ruleGap     = "orders of two planners come too soon after each other"
	ruleFence   = "an order under an older lease comes after one under a newer"
	ruleTwice   = "an order comes twice"
	ruleIdle    = "nobody plans"
)

// order is one order to an engine.
type order struct {
	token    ident.FencingToken
	sender   ident.NodeID
	sequence uint64
	engine   int
}

func (o order) engineID() ident.EngineID { return ident.EngineID(fmt.Sprint("engine", o.engine)) }

// arrival is when an order reached its engine.
type arrival struct {
	order
	at clock.Mark
}

// fencingChecker holds what engines have been sent.
type fencingChecker struct {
	arrived map[order]bool
	// newest are, by sender, the newest order to each engine.
	newest map[ident.EngineID]map[ident.NodeID]arrival
	// idleSince is when a planner was last seen to hold the lease.
	idleSince clock.Mark
	// What was checked.
	orders, successions, replays int
	longestIdle                  time.Duration
}

func newFencingChecker() *fencingChecker {
	return &fencingChecker{arrived: map[order]bool{}, newest: map[ident.EngineID]map[ident.NodeID]arrival{}}
}

// sawOrder checks an order that reaches its engine.
func (w *world) sawOrder(sender *node, got order) {
	f := w.fencing
	f.orders++
	if f.arrived[got] {
		w.fault(ruleTwice, "%+v", got)
	}
	f.arrived[got] = true
	before := f.newest[got.engineID()]
	if before == nil {
		before = map[ident.NodeID]arrival{}
		f.newest[got.engineID()] = before
	}
	thawed := sender.frozenUntil > 0 && w.now.Since(sender.frozenUntil) <= unfreezeSlack
	if thawed {
		f.replays++
	}
	if _, known := before[got.sender]; !known && len(before) > 0 {
		f.successions++
	}
	for _, other := range before {
		w.checkOrders(got, other, thawed)
	}
	before[got.sender] = arrival{got, w.now}
}

// checkOrders checks an order beside an earlier one of any planner to the same engine.
func (w *world) checkOrders(got order, earlier arrival, thawed bool) {
	if got.token < earlier.token {
		w.fault(ruleFence, "%+v after %+v", got, earlier.order)
	}
	if got.sender == earlier.sender || thawed {
		return
	}
	if gap := w.now.Since(earlier.at); gap < engineLease {
		w.fault(ruleGap, "%+v %v after %+v", got, gap, earlier.order)
	}
}

// idleBound is how long nobody may hold the lease while the control daemons have had no trouble since before: the lease of
// a planner that was lost and the quiet period after it, then what a successor waits for.
func idleBound() time.Duration {
	settings := plannerSettings()
	return settings.LeaseSpan + settings.LeaseGap + 2*(settings.RenewInterval+nonPreferredWait)
}

// lookAtPlanners checks who holds the planner's lease, again and again.
func (w *world) lookAtPlanners() {
	holders := w.leaseHolders()
	if len(holders) > 1 {
		w.fault(ruleHolders, "%s by token %d, %s by token %d", holders[0].id(), holders[0].planner.token, holders[1].id(), holders[1].planner.token)
	}
	f := w.fencing
	if len(holders) > 0 || w.now.Since(w.coreDisruptedAt) < inTouchAfter {
		f.idleSince = w.now
	}
	idle := w.now.Since(f.idleSince)
	f.longestIdle = max(f.longestIdle, idle)
	if idle > idleBound() {
		w.fault(ruleIdle, "for %v", idle)
		f.idleSince = w.now
	}
	w.after(lookEvery, w.lookAtPlanners)
}

// playPlanners is one history of planners: calm, three troubles with calm after each. Two of them are for whoever holds the
// lease.
func playPlanners(t *testing.T, seed uint64, v variant, only string) *world {
	w := newWorld(t, seed, []int{3, 5, 3}[seed%3], 2, v)
	w.only, w.hasPlanners = only, true
	defer w.end()
	for _, n := range w.core() {
		n.startPlanner()
	}
	w.lookAtPlanners()
	w.run(3 * time.Second)
	// Without a configuration nobody is ready to plan.
	w.operator(0, 0, 0)
	w.run(6 * time.Second)
	for turn := range 3 {
		lasts := time.Duration(0)
		if holders := w.leaseHolders(); len(holders) > 0 && turn != 1 {
			lasts = w.disruptHolder(holders[0])
		} else {
			lasts = w.disrupt()
		}
		w.run(lasts)
		w.isolated = nil
		w.heal()
		w.run(w.ms(2000, 9000))
	}
	w.run(inTouchAfter + idleBound())
	return w
}

// disruptHolder freezes the holder of the lease, for longer or shorter than it lasts, or cuts it off from the other control
// daemons. It gives how long that lasts.
func (w *world) disruptHolder(holder *node) time.Duration {
	if w.random.IntN(3) > 0 {
		w.awaitClaim(holder)
		lasts := w.ms(300, 9000)
		holder.freeze(lasts)
		return lasts
	}
	others := without(w.core(), []*node{holder})
	w.failureMode = failureMode(w.random.IntN(3))
	w.cut([]*node{holder}, others, true, true)
	w.setIsolated([]*node{holder})
	return w.ms(300, 12000)
}

// awaitClaim runs until a renewal of the lease is under way, which is when a freeze is worst.
func (w *world) awaitClaim(holder *node) {
	for end := w.now + clock.Mark(2*time.Second); w.now < end && !holder.planner.requested; {
		w.run(time.Millisecond)
	}
}

// leaseHolders are the control nodes that hold the planner's lease by their own clocks.
func (w *world) leaseHolders() (out []*node) {
	for _, n := range w.core() {
		if !n.up {
			continue
		}
		if _, leased := n.planner.lease.Token(); leased {
			out = append(out, n)
		}
	}
	return out
}

// TestPlannersUnderPartitions holds that one planner at most holds the lease, that the orders of two are an engine's lease
// apart and in the order of their tokens, that none comes twice, and that somebody plans again after each trouble.
func TestPlannersUnderPartitions(t *testing.T) {
	var sum fencingChecker
	for seed := range seeds(usualPlannerSeeds) {
		w := playPlanners(t, seed, sound, "")
		for _, violation := range w.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		sum.orders, sum.successions, sum.replays = sum.orders+w.fencing.orders, sum.successions+w.fencing.successions, sum.replays+w.fencing.replays
		sum.longestIdle = max(sum.longestIdle, w.fencing.longestIdle)
	}
	t.Logf("%d histories: %d orders, %d successions, %d orders right after a thaw, nobody planned for %v at most", seeds(usualPlannerSeeds), sum.orders, sum.successions, sum.replays, sum.longestIdle)
	if sum.orders == 0 || sum.successions == 0 || sum.replays == 0 {
		t.Error("nothing was checked")
	}
}

// TestFencingCheckerBites breaks the planners' machinery on purpose: each break must be caught, by the rule that it is for.
func TestFencingCheckerBites(t *testing.T) {
	for v, rule := range map[variant]string{
		grantsWithoutGap:       ruleGap,
		sendsUnchecked:         ruleGap,
		sendsUnannounced:       ruleGap,
		countsLeaseFromReceipt: ruleHolders,
	} {
		t.Run(string(v), func(t *testing.T) {
			for seed := range uint64(60) {
				if w := playPlanners(t, seed, v, rule); w.rules[rule] > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}
