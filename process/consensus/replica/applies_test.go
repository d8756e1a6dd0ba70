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

// TestAppliesUnderFaults checks that an acknowledged apply request is never lost or rejected, that a rejected one never
// comes in force, through all faults of the simulated group, and that the history of calls is linearizable. Every other
// group retains so few requests that it forgets all the time.
func TestAppliesUnderFaults(t *testing.T) {
	seeds := uint64(24)
	// More seeds for a search: CRESSPOND_SEEDS=5000 go test ./process/consensus/replica -run Applies
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
		applies := newSimulatedApplies(t, seed, size, limits)
		applies.runHistory(60 * time.Second)
		applies.check()
		for _, violation := range applies.violations {
			t.Errorf("seed %d, %d members: %s", seed, size, violation)
		}
		if got := applies.linearizable(time.Minute); got.Status != linearizability.Linearizable {
			t.Errorf("seed %d, %d members: %s: %s", seed, size, got.Status, got.Reason)
		}
		acked, refused, resends, crashes = acked+len(applies.acknowledgedVersions), refused+len(applies.rejected), resends+applies.resends, crashes+applies.crashes
		calls, unclear = calls+len(applies.calls), unclear+applies.unclear
		dropped += applies.nodes[len(applies.nodes)-1].core.state.Dropped
	}
	t.Logf("seeds 0 to %d: %d requests acknowledged, %d rejected, %d retried, %d crashes; %d calls checked, %d answers unclear, %d versions forgotten", seeds-1, acked, refused, resends, crashes, calls, unclear, dropped)
	if acked == 0 || refused == 0 || resends == 0 || dropped == 0 {
		t.Error("nothing was checked")
	}
}

// TestApplyCheckerCatchesInjectedDefects injects defects into how apply requests are decided: some seed must catch each.
func TestApplyCheckerCatchesInjectedDefects(t *testing.T) {
	for _, way := range []applyDefect{rejectsByRead, checksBaseFirst} {
		t.Run(string(way), func(t *testing.T) {
			for seed := range uint64(80) {
				applies := newSimulatedApplies(t, seed, 3, statemachine.DefaultLimits())
				applies.defect = way
				applies.runHistory(60 * time.Second)
				if applies.check(); len(applies.violations) > 0 {
					t.Logf("seed %d: %s", seed, applies.violations[0])
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}

// TestLinearizabilityCheckerCatchesInjectedDefects does the same, and uses nothing but the linearizability model.
func TestLinearizabilityCheckerCatchesInjectedDefects(t *testing.T) {
	for _, way := range []applyDefect{rejectsByRead, checksBaseFirst, readsWithoutQuorum, forgetsAccepted, forgetsRejected} {
		t.Run(string(way), func(t *testing.T) {
			for seed := range uint64(80) {
				applies := newSimulatedApplies(t, seed, 3, tinyLimits())
				applies.defect = way
				applies.scheduleForgetting()
				applies.runHistory(60 * time.Second)
				// A history that is not linearizable can take long to rule out; then the next seed is tried.
				if got := applies.linearizable(2 * time.Second); got.Status == linearizability.Violated {
					t.Logf("seed %d: %s", seed, got.Reason)
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}
