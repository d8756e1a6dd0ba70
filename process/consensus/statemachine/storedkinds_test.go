package statemachine

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/ident"
)

// storedKinds has a row for each field of the state, in the names of its encoding: what must be true of it once the build
// before has stored it and this build has read it.
var storedKinds = map[string]func(*State) bool{
	"now": func(s *State) bool { return s.Now > 0 },
	"workers": func(s *State) bool {
		return len(s.Workers.Leases) > 0 && len(s.Workers.Floors) > 0
	},
	"proposals": func(s *State) bool {
		found, known := s.Proposals["open-proposal"]
		return known && found.Stage == StageReviewed && len(found.Reviews) == 1
	},
	"history": func(s *State) bool {
		inForce, known := s.InForce()
		return known && inForce.Stage == StageRolledOut && inForce.Version == s.Version()
	},
	"dropped": func(s *State) bool { return s.Dropped > 0 && s.Version() == s.Dropped+ident.Version(len(s.History)) },
	"lasting": func(s *State) bool { return len(s.PermanentHistory) > 0 },
	"revision": func(s *State) bool {
		inForce, known := s.InForce()
		return known && s.Revision == inForce.Revision
	},
	"provenFrom": func(s *State) bool {
		return s.ApplyStatus("never-sent", s.AppliesKnownFrom-1) == ApplyUnproven && s.ApplyStatus("never-sent", s.AppliesKnownFrom) == ApplyConflicted
	},
	"refusedAhead": func(s *State) bool { return s.ApplyStatus("ahead", s.RejectedAhead[0].Base) == ApplyConflicted },
	"closures": func(s *State) bool {
		record, drained := s.Closures.Engines["engine-ranked"]
		return drained && record.Ranking != nil && record.Ranking.Reason == "stall" && len(s.Closures.Zones) > 0
	},
	"acts":        func(s *State) bool { return len(s.ClosureChanges) > 0 },
	"refusedActs": func(s *State) bool { return len(s.RejectedClosures) > 0 },
	"ranked":      func(s *State) bool { return s.LastRanking.ID == 7 && s.LastRanking.Engine == "engine-ranked" },
	"claim": func(s *State) bool {
		announced := s.PlannerLease.Announced
		return s.PlannerLease.NodeID == "planner#1" && announced != nil && announced.Orders["engine-1"].Accepted == 4 && announced.Loads[len(announced.Loads)-1].Count == 2
	},
	"serving":        func(s *State) bool { return len(s.Serving) > 0 },
	"ended":          func(s *State) bool { return len(s.EndedIncarnations) > 0 },
	"left":           func(s *State) bool { return len(s.DepartedEngines) > 0 },
	"leaves":         func(s *State) bool { return s.Departures > 0 },
	"level":          func(s *State) bool { return s.FeatureLevel == 2 },
	"calls":          func(s *State) bool { return len(s.Calls) > 0 },
	"callsKnownFrom": func(s *State) bool { return s.CallsKnownFrom > 0 },
}

// kindsOfEarlierBuilds are fields that the build before read and no longer wrote; TestSnapshotOfAnEarlierBuildIsRestored has
// their row.
var kindsOfEarlierBuilds = map[string]bool{"refused": true}

// Guards against an upgrade that loses what the build before stored: each kind of state has a row, and a new kind needs one.
func TestEachKindOfStateThatTheBuildBeforeStoredIsRead(t *testing.T) {
	data, err := os.ReadFile("testdata/each-kind.json")
	if err != nil {
		t.Fatal(err)
	}
	state, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	var before, after map[string]any
	for text, into := range map[string]*map[string]any{string(data): &before, string(state.Snapshot()): &after} {
		decoder := json.NewDecoder(strings.NewReader(text))
		decoder.UseNumber()
		if err := decoder.Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	for kind := range reflect.TypeFor[State]().Fields() {
		name, _, _ := strings.Cut(kind.Tag.Get("json"), ",")
		if name == "" || kindsOfEarlierBuilds[name] {
			continue
		}
		holds, listed := storedKinds[name]
		switch {
		case !listed:
			t.Errorf("%s has no row: add one, and what the build before stores of it to testdata", name)
		case before[name] == nil:
			t.Errorf("testdata holds nothing of %s", name)
		case !reflect.DeepEqual(before[name], after[name]):
			t.Errorf("%s was stored as %v and is %v", name, before[name], after[name])
		case !holds(state):
			t.Errorf("%s is read otherwise than it was meant", name)
		}
	}
}
