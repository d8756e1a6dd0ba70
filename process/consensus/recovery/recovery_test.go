package recovery

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/workerid"
)

var wall = time.UnixMilli(1_800_000_000_000)

// bundle is a valid configuration with a name of its own.
func bundle(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/bundle.json")
	if err != nil {
		t.Fatal(err)
	}
	return []byte(strings.Replace(string(data), `"NAME"`, `"`+name+`"`, 1))
}

// survivor has versions 1 and 2 and closes a zone.
func survivor(t *testing.T) *statemachine.State {
	t.Helper()
	state := statemachine.New()
	apply := func(command statemachine.Command) {
		data, err := json.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		if result := state.Apply(data); result.Outcome != statemachine.Done {
			t.Fatal(command.Op, result)
		}
	}
	for i, id := range []string{"one", "two"} {
		apply(statemachine.Command{Op: statemachine.OpPropose, ProposalID: id, Base: ident.Version(i), Operator: "ana", Configuration: bundle(t, id)})
		apply(statemachine.Command{Op: statemachine.OpReview, ProposalID: id, Operator: "berta"})
		apply(statemachine.Command{Op: statemachine.OpSignOff, ProposalID: id, Operator: "berta"})
		apply(statemachine.Command{Op: statemachine.OpRollOut, ProposalID: id, Operator: "ana"})
	}
	apply(statemachine.Command{Op: statemachine.OpPropose, ProposalID: "open", Base: 2, Operator: "ana", Configuration: bundle(t, "open")})
	apply(statemachine.Command{Op: statemachine.OpClosure, Zone: "z", Closed: true, Operator: "ana"})
	apply(statemachine.Command{Op: statemachine.OpAcquire, NodeID: "n", At: 5000, LeaseMs: 30000})
	return state
}

// report is that of a daemon which has seen versions up to 4 and holds two of them.
func report(t *testing.T) DaemonReport {
	t.Helper()
	closures := closure.Set{Version: 4, Zones: map[ident.ZoneID]closure.Record{"y": {Version: 4}}}
	return DaemonReport{Address: "w", Group: "g", LeaderContactMsAgo: 60000, ConfigurationVersion: 4, Closures: &closures, LeaseUntil: ident.GroupTime(wall.UnixMilli()) + 90000, PlannerToken: 7,
		Bundles: map[ident.Version][]byte{2: bundle(t, "two"), 4: bundle(t, "four")}}
}

func TestNextGenerationTakesTheNewestOfAllReports(t *testing.T) {
	plan, err := NewPlan("g", survivor(t), []DaemonReport{{Address: "v", Group: "g", LeaderContactMsAgo: -1}, report(t)}, wall)
	if err != nil {
		t.Fatal(err)
	}
	state := plan.State
	if plan.Group != "g.1" || state.Version() != 4 || len(plan.LostVersions) != 1 || plan.LostVersions[0] != 3 {
		t.Fatalf("%s, version %d, lost %v", plan.Group, state.Version(), plan.LostVersions)
	}
	for version, name := range map[ident.Version]string{1: "one", 2: "two", 4: "four"} {
		if p, ok := state.ProposalAt(version); !ok || string(p.Configuration) != string(bundle(t, name)) {
			t.Errorf("version %d is not complete", version)
		}
	}
	if _, closed := state.Closures.Zones["y"]; !closed || state.Closures.Version != 4 {
		t.Errorf("closures %+v", state.Closures)
	}
	if state.Proposals["open"].Stage != statemachine.StageSuperseded {
		t.Errorf("a proposal on an older base is %s", state.Proposals["open"].Stage)
	}
	// No id generated or lease granted before can conflict with any after.
	until := report(t).LeaseUntil
	if state.Now <= until || state.PlannerLease.Token <= 7 {
		t.Errorf("now %d, token %d", state.Now, state.PlannerLease.Token)
	}
	grant, outcome := state.Workers.Acquire("fresh", state.Now, 30*time.Second)
	if outcome != workerid.Granted || grant.Floor < until {
		t.Errorf("%+v %s", grant, outcome)
	}
	if restored, err := statemachine.Restore(state.Snapshot()); err != nil || restored.Version() != 4 {
		t.Error(err)
	}
}

func TestUnsafeRecoveryIsRejected(t *testing.T) {
	alive := report(t)
	alive.LeaderContactMsAgo = 900
	foreign := report(t)
	foreign.Group = "other"
	faulty := report(t)
	faulty.Bundles = map[ident.Version][]byte{4: []byte("{}")}
	for name, c := range map[string]struct {
		reports []DaemonReport
		reason  error
	}{
		"no daemon is queried":              {nil, ErrNoReports},
		"the group is alive":                {[]DaemonReport{report(t), alive}, ErrGroupAlive},
		"a daemon belongs to another group": {[]DaemonReport{foreign}, ErrOtherGroup},
		"a daemon holds a faulty bundle":    {[]DaemonReport{faulty}, ErrInvalidBundle},
	} {
		if _, err := NewPlan("g", survivor(t), c.reports, wall); !errors.Is(err, c.reason) {
			t.Errorf("%s, and the recovery ended with %v", name, err)
		}
	}
	if _, err := NewPlan("", statemachine.New(), []DaemonReport{{Address: "x", LeaderContactMsAgo: -1}}, wall); !errors.Is(err, ErrUnknownGroup) {
		t.Errorf("no one knows the group, and the recovery ended with %v", err)
	}
}

// Which apply requests put the recovered configurations in force is not known, so none may be rejected for good.
func TestApplyRequestsOfLostMajorityAreNotRejected(t *testing.T) {
	plan, err := NewPlan("g", survivor(t), []DaemonReport{report(t)}, wall)
	if err != nil {
		t.Fatal(err)
	}
	for base := ident.Revision(0); base < plan.State.Revision; base++ {
		if status := plan.State.ApplyStatus("taken by the lost majority", base); status != statemachine.ApplyUnproven {
			t.Errorf("a request based on revision %d of %d is %s", base, plan.State.Revision, status)
		}
	}
}
