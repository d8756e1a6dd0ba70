package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cresspond/cresspond/ident"
)

// randomHistoryCommand makes one command of a random history out of a few bytes.
func randomHistoryCommand(raw []uint8) Command {
	ops := []Op{OpAcquire, OpRenew, OpRelease, OpReclaim, OpPropose, OpReview, OpSignOff, OpRollOut, OpClosure, OpAcquirePlanner, OpReleasePlanner}
	names := []string{"ana", "berta", "chen"}
	return Command{
		Op: ops[int(raw[0])%len(ops)], At: ident.GroupTime(raw[1]) * 700, NodeID: ident.NodeID(names[raw[2]%3]), WorkerID: ident.WorkerID(raw[3] % 3),
		LeaseMs: 30000, HandoverGapMs: 3000, ProposalID: fmt.Sprint("p", raw[4]%6), Base: ident.Version(raw[5] % 3), Operator: names[raw[2]%3],
		Configuration: []byte{raw[6] % 2}, Zone: ident.ZoneID(names[raw[3]%3]), Closed: raw[6]%2 == 0,
	}
}

// TestInvariantsHoldOverRandomHistories runs random histories and holds what must be true after every command, whether or
// not the state went through a snapshot on the way.
func TestInvariantsHoldOverRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(23)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold and snapshots change nothing", prop.ForAll(func(history [][]uint8) string {
		straight, snapped := New(), New()
		var now ident.GroupTime
		var token ident.FencingToken
		for i, raw := range history {
			data, err := json.Marshal(randomHistoryCommand(raw))
			if err != nil {
				return err.Error()
			}
			before := straight.Version()
			a := straight.Apply(data)
			if restored, err := Restore(snapped.Snapshot()); err == nil {
				snapped = restored
			} else {
				return err.Error()
			}
			b := snapped.Apply(data)
			if x, y := fmt.Sprintf("%+v", a.Outcome), fmt.Sprintf("%+v", b.Outcome); x != y {
				return fmt.Sprintf("step %d: %s, and %s after a snapshot", i, x, y)
			}
			switch {
			case straight.Now < now:
				return "the group's time went back"
			case straight.Version() < before || straight.Version() > before+1:
				return "the version jumped"
			case straight.PlannerLease.Token < token:
				return "the lease's number fell"
			}
			now, token = straight.Now, straight.PlannerLease.Token
			for version, id := range straight.History {
				p := straight.Proposals[id]
				if p.Stage != StageRolledOut || p.Version != ident.Version(version+1) || p.Base != ident.Version(version) {
					return fmt.Sprintf("%s stands at version %d as %s on base %d", id, version+1, p.Stage, p.Base)
				}
				signedByOther := false
				for _, record := range p.SignOffs {
					if record.Operator == p.Proposed.Operator {
						return id + " was signed by its author"
					}
					signedByOther = true
				}
				if !signedByOther || len(p.Reviews) == 0 {
					return id + " is in force unsigned or unreviewed"
				}
			}
		}
		if string(straight.Snapshot()) != string(snapped.Snapshot()) {
			return "the states differ at the end"
		}
		return ""
	}, gen.SliceOfN(120, gen.SliceOfN(7, gen.UInt8()))))
	properties.TestingRun(t)
}

func TestPlannerLeaseWaitsForExpiryAndQuietPeriod(t *testing.T) {
	s := New()
	apply := func(op Op, node string, at ident.GroupTime) Result {
		data, err := json.Marshal(Command{Op: op, NodeID: ident.NodeID(node), At: at, LeaseMs: 4000, HandoverGapMs: 3000})
		if err != nil {
			t.Fatal(err)
		}
		return s.Apply(data)
	}
	if r := apply(OpAcquirePlanner, "a", 1000); r.Outcome != Done || r.PlannerLease.Token != 1 {
		t.Fatal(r)
	}
	if r := apply(OpAcquirePlanner, "a", 2000); r.Outcome != Done || r.PlannerLease.Token != 1 || r.PlannerLease.Expiry != 6000 {
		t.Fatal(r)
	}
	for _, at := range []ident.GroupTime{3000, 6000, 8999} {
		if r := apply(OpAcquirePlanner, "b", at); r.Outcome != Waiting {
			t.Fatal(at, r)
		}
	}
	// The old holder too gets a new token once its lease has expired, and waits like any other.
	if r := apply(OpAcquirePlanner, "a", 8999); r.Outcome != Waiting {
		t.Fatal(r)
	}
	if r := apply(OpAcquirePlanner, "b", 9000); r.Outcome != Done || r.PlannerLease.Token != 2 {
		t.Fatal(r)
	}
	apply(OpReleasePlanner, "b", 9500)
	if r := apply(OpAcquirePlanner, "a", 12499); r.Outcome != Waiting {
		t.Fatal(r)
	}
	if r := apply(OpAcquirePlanner, "a", 12500); r.Outcome != Done || r.PlannerLease.Token != 3 {
		t.Fatal(r)
	}
}

// Where a holder announces every order, its successor waits for the lease to expire and for the quiet time after
// the last announced order, whichever is later.
func TestPlannerLeaseOfAnAnnouncingHolderIsFreeSooner(t *testing.T) {
	state := New()
	apply := func(node ident.NodeID, at ident.GroupTime, announcement *Announcement) Result {
		data, err := json.Marshal(Command{Op: OpAcquirePlanner, NodeID: node, At: at, LeaseMs: 3000, HandoverGapMs: 3800, AnnouncesAll: true, Announcement: announcement})
		if err != nil {
			t.Fatal(err)
		}
		return state.Apply(data)
	}
	apply("a", 10_000, nil)
	if r := apply("b", 12_999, nil); r.Outcome != Waiting {
		t.Fatalf("got the lease while it was held: %+v", r)
	}
	if r := apply("b", 13_000, nil); r.Outcome != Done || r.PlannerLease.Token != 2 {
		t.Fatalf("nothing was ordered, so nothing has to be waited for: %+v", r)
	}
	apply("b", 14_000, &Announcement{})
	if r := apply("c", 17_799, nil); r.Outcome != Waiting {
		t.Fatalf("got the lease too soon after the last order: %+v", r)
	}
	if r := apply("c", 17_800, nil); r.Outcome != Done || r.PlannerLease.Token != 3 {
		t.Fatalf("the quiet time has passed: %+v", r)
	}
}
