package statemachine

import (
	"slices"
	"testing"

	"github.com/cresspond/cresspond/ident"
)

// permutations lists all orders of some numbers.
func permutations(numbers []int) (out [][]int) {
	if len(numbers) <= 1 {
		return [][]int{slices.Clone(numbers)}
	}
	for i := range numbers {
		rest := slices.Concat(numbers[:i], numbers[i+1:])
		for _, tail := range permutations(rest) {
			out = append(out, append([]int{numbers[i]}, tail...))
		}
	}
	return out
}

// playIncarnations registers three incarnations of one daemon, each twice, in an order, and says which serve in the end.
func playIncarnations(t *testing.T, level FeatureLevel, order []int) []ident.NodeID {
	state := New()
	apply(t, state, 1000, Command{Op: OpRaiseFeatureLevel, FeatureLevel: level})
	names := []ident.NodeID{"a#7", "a#2", "a#5"}
	for at, call := range order {
		incarnation := call % len(names)
		apply(t, state, ident.GroupTime(2000+at), Command{Op: OpRegister, NodeID: names[incarnation], Address: "x:1", StartedAt: ident.GroupTime(1100 + 100*incarnation)})
	}
	return state.ServingDaemons()
}

// In whatever order the registrations of three incarnations come, and come again, the one that started last serves, at
// once and without waiting for its lease. Without the order of starts, the broken variant, the one that comes last does.
func TestLatestIncarnationServesInAnyOrderOfRegistrations(t *testing.T) {
	broken := 0
	orders := permutations([]int{0, 1, 2, 3, 4, 5})
	for _, order := range orders {
		if serving := playIncarnations(t, IncarnationOrderLevel, order); !slices.Equal(serving, []ident.NodeID{"a#5"}) {
			t.Errorf("order %v: %v serve", order, serving)
		}
		if !slices.Equal(playIncarnations(t, CallMemoryLevel, order), []ident.NodeID{"a#5"}) {
			broken++
		}
	}
	if broken == 0 {
		t.Error("without the order of starts the latest serves all the same")
	}
	t.Logf("%d orders; without the order of starts another serves in %d", len(orders), broken)
}

// An earlier incarnation's registration that comes once the later one has stopped does not serve either.
func TestEarlierIncarnationNeverServesAfterALaterOneStopped(t *testing.T) {
	state := New()
	apply(t, state, 1000, Command{Op: OpRaiseFeatureLevel, FeatureLevel: IncarnationOrderLevel})
	apply(t, state, 1300, Command{Op: OpAcquire, NodeID: "a#5", LeaseMs: retryLeaseMs})
	apply(t, state, 1301, Command{Op: OpRegister, NodeID: "a#5", Address: "x:1", StartedAt: 1200})
	apply(t, state, 1302, Command{Op: OpRelease, NodeID: "a#5", LastTimestamp: 1300})
	apply(t, state, 1303, Command{Op: OpRegister, NodeID: "a#2", Address: "x:1", StartedAt: 1100})
	if serving := state.ServingDaemons(); len(serving) > 0 {
		t.Errorf("%v serve", serving)
	}
}
