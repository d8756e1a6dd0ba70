package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

// apply applies a command at a time.
func apply(t *testing.T, s *State, at ident.GroupTime, c Command) Result {
	t.Helper()
	c.At = at
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(data)
}

func ranked(node ident.NodeID, acquirePlanner ident.FencingToken, engine ident.EngineID, closed bool) Command {
	return Command{Op: OpClosure, NodeID: node, Operator: "ranking", Engine: engine, Closed: closed, Ranking: &closure.RankingDecision{Token: acquirePlanner, ID: 7, Reason: "stall"}}
}

func withPlannerLease(t *testing.T, node ident.NodeID) *State {
	s := New()
	if got := apply(t, s, 1000, Command{Op: OpAcquirePlanner, NodeID: node, LeaseMs: 3000, HandoverGapMs: 3800}); got.PlannerLease == nil || got.PlannerLease.Token != 1 {
		t.Fatalf("%+v", got)
	}
	return s
}

func TestOnlyThePlannerLeaseHolderRanks(t *testing.T) {
	for name, c := range map[string]struct {
		node  ident.NodeID
		claim ident.FencingToken
		at    ident.GroupTime
		want  Outcome
	}{
		"the holder":            {"p", 1, 2000, Done},
		"another daemon":        {"q", 1, 2000, Forbidden},
		"an earlier claim":      {"p", 0, 2000, Forbidden},
		"a claim never granted": {"p", 2, 2000, Forbidden},
		"a claim that lapsed":   {"p", 1, 4000, Forbidden},
	} {
		s := withPlannerLease(t, "p")
		got := apply(t, s, c.at, ranked(c.node, c.claim, "e", true))
		if _, shut := s.Closures.Engines["e"]; got.Outcome != c.want || shut != (c.want == Done) {
			t.Errorf("%s: %+v, shut %t", name, got, shut)
		}
	}
	s := withPlannerLease(t, "p")
	if got := apply(t, s, 2000, Command{Op: OpClosure, NodeID: "p", Zone: "z", Engine: "e", Closed: true, Ranking: &closure.RankingDecision{Token: 1}}); got.Outcome != Malformed {
		t.Fatalf("the ranking closes no zones: %+v", got)
	}
	// The record says why, and outlasts a snapshot.
	apply(t, s, 2000, ranked("p", 1, "e", true))
	restored, err := Restore(s.Snapshot())
	if err != nil || restored.Closures.Engines["e"].Ranking == nil || *restored.Closures.Engines["e"].Ranking != (closure.RankingDecision{Token: 1, ID: 7, Reason: "stall"}) {
		t.Fatalf("%+v %v", restored.Closures, err)
	}
}

func TestOperatorsOverrideTheRanking(t *testing.T) {
	s := withPlannerLease(t, "p")
	// A protected engine is not drained.
	apply(t, s, 1500, Command{Op: OpProtect, Engine: "e", Operator: "ana", Closed: true})
	if got := apply(t, s, 1600, ranked("p", 1, "e", true)); got.Outcome != Forbidden {
		t.Fatalf("%+v", got)
	}
	// Protecting it twice changes nothing, and protection ends when it is taken back.
	version := s.Closures.Version
	apply(t, s, 1600, Command{Op: OpProtect, Engine: "e", Operator: "ana", Closed: true})
	if s.Closures.Version != version {
		t.Fatal("a repeated command changed something")
	}
	apply(t, s, 1600, Command{Op: OpProtect, Engine: "e", Operator: "ana"})
	if got := apply(t, s, 1700, ranked("p", 1, "e", true)); got.Outcome != Done {
		t.Fatalf("%+v", got)
	}
	// An operator makes the ranking's drain their own: then the ranking does not open it.
	apply(t, s, 1800, Command{Op: OpClosure, Engine: "e", Operator: "ana", Closed: true})
	if record := s.Closures.Engines["e"]; record.Operator != "ana" || record.Ranking != nil {
		t.Fatalf("%+v", record)
	}
	if got := apply(t, s, 1900, ranked("p", 1, "e", false)); got.Outcome != Forbidden {
		t.Fatalf("%+v", got)
	}
	if got := apply(t, s, 1900, ranked("p", 1, "e", true)); got.Outcome != Done || s.Closures.Engines["e"].Operator != "ana" {
		t.Fatalf("nor does it replace the record: %+v", s.Closures.Engines["e"])
	}
	// And what the ranking drained an operator opens.
	apply(t, s, 2000, ranked("p", 1, "f", true))
	if got := apply(t, s, 2000, Command{Op: OpClosure, Engine: "f", Operator: "ana"}); got.Outcome != Done || len(s.Closures.Engines) != 1 {
		t.Fatalf("%+v", s.Closures)
	}
	if got := apply(t, s, 2000, Command{Op: OpProtect, Operator: "ana", Closed: true}); got.Outcome != Malformed {
		t.Fatalf("%+v", got)
	}
}

func TestProtectedEnginesAreBounded(t *testing.T) {
	s := New()
	for n := range maxProtectedEngines + 50 {
		apply(t, s, 1000, Command{Op: OpProtect, Engine: ident.EngineID(fmt.Sprint("e", n)), Operator: "ana", Closed: true})
	}
	if len(s.Closures.Protected) != maxProtectedEngines {
		t.Fatal(len(s.Closures.Protected))
	}
	if _, retained := s.Closures.Protected["e49"]; retained {
		t.Fatal("the oldest went")
	}
}

// Closures of earlier builds hold none of this.
func TestClosuresOfEarlierBuildsAreDecoded(t *testing.T) {
	s, err := Restore([]byte(`{"closures":{"epoch":3,"zones":{},"engines":{"e":{"operator":"ana","at":1,"epoch":3}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := apply(t, s, 1000, Command{Op: OpProtect, Engine: "x", Operator: "ana", Closed: true}); got.Outcome != Done || got.Closures.Version != 4 {
		t.Fatalf("%+v", got)
	}
}
