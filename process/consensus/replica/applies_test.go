package replica

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/linearizability"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// TestOrdersUnderTrouble holds that an acknowledged order is never lost nor refused, and a refused one never in
// force, through all the troubles of the simulated group, and that one order of effects explains all answers. Every
// other group remembers so few orders that it forgets all the time.
func TestOrdersUnderTrouble(t *testing.T) {
	seeds := uint64(24)
	// More seeds for a search: CRESSPOND_SEEDS=5000 go test ./process/consensus/replica -run Orders
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 64); err == nil {
		seeds = wanted
	}
	acked, refused, resends, crashes, calls, unclear, dropped := 0, 0, 0, 0, 0, 0, ident.Version(0)
	for seed := range seeds {
		size := []int{3, 3, 5, 3, 1, 3}[seed%6]
		limits := statemachine.DefaultLimits()
		if seed%2 == 1 {
			limits = tinyLimits()
		}
		o := newOrders(t, seed, size, limits)
		o.run(60 * time.Second)
		o.check()
		for _, violation := range o.violations {
			t.Errorf("seed %d, %d members: %s", seed, size, violation)
		}
		if got := o.linearizable(time.Minute); got.Verdict != linearizability.Linearizable {
			t.Errorf("seed %d, %d members: %s: %s", seed, size, got.Verdict, got.Reason)
		}
		acked, refused, resends, crashes = acked+len(o.acked), refused+len(o.refused), resends+o.resends, crashes+o.crashes
		calls, unclear = calls+len(o.calls), unclear+o.unclear
		dropped += o.nodes[len(o.nodes)-1].core.state.Dropped
	}
	t.Logf("seeds 0 to %d: %d orders acknowledged, %d refused, %d sent again, %d crashes; %d calls judged, %d answers unclear, %d epochs forgotten", seeds-1, acked, refused, resends, crashes, calls, unclear, dropped)
	if acked == 0 || refused == 0 || resends == 0 || dropped == 0 {
		t.Error("nothing was checked")
	}
}

// TestTheOrdersCheckerBites breaks the way of orders on purpose: each break must be caught by some seed.
func TestTheOrdersCheckerBites(t *testing.T) {
	for _, way := range []orderBreak{hasty, baseFirst} {
		t.Run(string(way), func(t *testing.T) {
			for seed := range uint64(80) {
				o := newOrders(t, seed, 3, statemachine.DefaultLimits())
				o.way = way
				o.run(60 * time.Second)
				if o.check(); len(o.violations) > 0 {
					t.Logf("seed %d: %s", seed, o.violations[0])
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}

// TestTheLinearizabilityCheckerBites does the same, and lets nothing but the model judge.
func TestTheLinearizabilityCheckerBites(t *testing.T) {
	for _, way := range []orderBreak{hasty, baseFirst, readsAlone, takenForgotten, refusalsForgotten} {
		t.Run(string(way), func(t *testing.T) {
			for seed := range uint64(80) {
				o := newOrders(t, seed, 3, tinyLimits())
				o.way = way
				o.forget()
				o.run(60 * time.Second)
				// What no order of effects explains can take long to rule out: then the next seed is looked at.
				if got := o.linearizable(2 * time.Second); got.Verdict == linearizability.Broken {
					t.Logf("seed %d: %s", seed, got.Reason)
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}
