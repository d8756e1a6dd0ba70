package recovery

import (
	"encoding/json"
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

// bundle is a sound one, told apart by its name.
func bundle(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/bundle.json")
	if err != nil {
		t.Fatal(err)
	}
	return []byte(strings.Replace(string(data), `"NAME"`, `"`+name+`"`, 1))
}

// survivor has epochs 1 and 2 and closes a zone.
func survivor(t *testing.T) *statemachine.State {
	t.Helper()
	s := statemachine.New()
	apply := func(c statemachine.Command) {
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if r := s.Apply(data); r.Outcome != statemachine.Done {
			t.Fatal(c.Op, r)
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
	return s
}

func report(t *testing.T) DaemonReport {
	closures := closure.Set{Version: 4, Zones: map[ident.ZoneID]closure.Record{"y": {Version: 4}}}
	return DaemonReport{Address: "w", Group: "g", LeaderContactMsAgo: 60000, ConfigurationVersion: 4, Closures: &closures, LeaseUntil: ident.GroupTime(wall.UnixMilli()) + 90000, PlannerToken: 7,
		Bundles: map[ident.Version][]byte{2: bundle(t, "two"), 4: bundle(t, "four")}}
}

func TestTheNextGenerationTakesTheHighestOfAll(t *testing.T) {
	plan, err := NewPlan("g", survivor(t), []DaemonReport{{Address: "v", Group: "g", LeaderContactMsAgo: -1}, report(t)}, wall)
	if err != nil {
		t.Fatal(err)
	}
	s := plan.State
	if plan.Group != "g.1" || s.Version() != 4 || len(plan.LostVersions) != 1 || plan.LostVersions[0] != 3 {
		t.Fatalf("%s, epoch %d, lost %v", plan.Group, s.Version(), plan.LostVersions)
	}
	for version, name := range map[ident.Version]string{1: "one", 2: "two", 4: "four"} {
		if p, ok := s.ProposalAt(version); !ok || string(p.Configuration) != string(bundle(t, name)) {
			t.Errorf("epoch %d is not whole", version)
		}
	}
	if _, closed := s.Closures.Zones["y"]; !closed || s.Closures.Version != 4 {
		t.Errorf("closures %+v", s.Closures)
	}
	if s.Proposals["open"].Stage != statemachine.StageSuperseded {
		t.Errorf("a proposal on an older base is %s", s.Proposals["open"].Stage)
	}
	// Nothing minted or claimed before can meet anything after.
	until := report(t).LeaseUntil
	if s.Now <= until || s.PlannerLease.Token <= 7 {
		t.Errorf("now %d, claim %d", s.Now, s.PlannerLease.Token)
	}
	grant, outcome := s.Workers.Acquire("fresh", s.Now, 30*time.Second)
	if outcome != workerid.Granted || grant.Floor < until {
		t.Errorf("%+v %s", grant, outcome)
	}
	if restored, err := statemachine.Restore(s.Snapshot()); err != nil || restored.Version() != 4 {
		t.Error(err)
	}
}

func TestRecoveryIsRefused(t *testing.T) {
	alive := report(t)
	alive.LeaderContactMsAgo = 900
	foreign := report(t)
	foreign.Group = "other"
	faulty := report(t)
	faulty.Bundles = map[ident.Version][]byte{4: []byte("{}")}
	for name, witnesses := range map[string][]DaemonReport{
		"nobody is asked": nil, "the group is alive": {report(t), alive}, "a daemon is of another group": {foreign}, "a daemon holds a faulty bundle": {faulty},
	} {
		if _, err := NewPlan("g", survivor(t), witnesses, wall); err == nil {
			t.Errorf("%s, and the group was recovered", name)
		}
	}
	if _, err := NewPlan("", statemachine.New(), []DaemonReport{{Address: "x", LeaderContactMsAgo: -1}}, wall); err == nil {
		t.Error("a group that nobody remembers was recovered")
	}
}

// TestOrdersOfALostMajorityAreNotRefused: which orders brought the bundles that only daemons remember is not known.
func TestOrdersOfALostMajorityAreNotRefused(t *testing.T) {
	plan, err := NewPlan("g", survivor(t), []DaemonReport{report(t)}, wall)
	if err != nil {
		t.Fatal(err)
	}
	for base := ident.Revision(0); base < plan.State.Revision; base++ {
		if standing := plan.State.ApplyStatus("taken by the lost majority", base); standing != statemachine.ApplyUnproven {
			t.Errorf("an order on base %d of %d is %s", base, plan.State.Revision, standing)
		}
	}
}
