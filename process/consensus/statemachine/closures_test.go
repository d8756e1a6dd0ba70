package statemachine

import (
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/ident"
)

// closureCommand is the closure or opening number i of a chain in which each builds on the one before.
func closureCommand(i int) Command {
	return Command{Op: OpClosure, Operator: "ana", Zone: ident.ZoneID(fmt.Sprint("z", i/2)), Closed: i%2 == 0, Base: ident.Version(i), HasBase: true}
}

// TestRetryOfAnOldClosureIsNeverRefused retries every closure of a long chain at its end.
func TestRetryOfAnOldClosureIsNeverRefused(t *testing.T) {
	const closures = 3 * maxClosureChanges
	state := New()
	for i := range closures {
		if r := state.applyCommand(t, closureCommand(i)); r.Outcome != Done {
			t.Fatal(i, r)
		}
	}
	for i := range closures {
		want := Done
		if i < closures-maxClosureChanges {
			want = Unproven
		}
		if r := state.applyCommand(t, closureCommand(i)); r.Outcome != want || state.Closures.Version != closures {
			t.Errorf("closure %d was taken, and sent again: %s %s", i, r.Outcome, r.Reason)
		}
	}
	rival := closureCommand(closures - 1)
	rival.Operator = "berta"
	if r := state.applyCommand(t, rival); r.Outcome != Conflict || r.Winner != "ana" {
		t.Errorf("the newest closure's rival: %+v", r)
	}
}

// TestRefusedClosureNeverTakesEffect refuses closures on a base not in force yet, and sends them again once it has come.
func TestRefusedClosureNeverTakesEffect(t *testing.T) {
	state := New()
	ahead := func(i int) Command {
		return Command{Op: OpClosure, Operator: fmt.Sprint("operator-", i), Zone: "z9", Closed: true, Base: 1, HasBase: true}
	}
	refused := map[int]bool{}
	for i := range 2 * maxClosureChanges {
		switch r := state.applyCommand(t, ahead(i)); r.Outcome {
		case Conflict:
			refused[i] = true
		case Unproven:
		default:
			t.Fatal(i, r)
		}
	}
	if len(refused) != maxClosureChanges || state.Closures.Version != 0 {
		t.Errorf("%d were refused, version %d", len(refused), state.Closures.Version)
	}
	state.applyCommand(t, closureCommand(0))
	for i := range 2 * maxClosureChanges {
		restored, err := Restore(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		state = restored
		if r := state.applyCommand(t, ahead(i)); refused[i] && r.Outcome != Conflict {
			t.Fatalf("closure %d was refused, and sent again: %s", i, r.Outcome)
		}
	}
	if len(state.RejectedClosures) != 0 {
		t.Errorf("%d refusals are still kept", len(state.RejectedClosures))
	}
}
