package statemachine

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

// randomCommand makes any command, over few names, so that they meet.
func randomCommand(random *rand.Rand, at ident.GroupTime, revision ident.Revision) Command {
	name := func(kind string, count int) string { return fmt.Sprint(kind, random.IntN(count)) }
	ops := []Op{OpAcquire, OpRenew, OpRelease, OpReclaim, OpPropose, OpReview, OpSignOff, OpRollOut, OpClosure, OpProtect, OpAcquirePlanner, OpReleasePlanner, OpRegister, OpDeclareLost, OpEngineDeparted, OpApply}
	command := Command{
		Op: ops[random.IntN(len(ops))], At: at, NodeID: ident.NodeID(name("node#", 6)), WorkerID: ident.WorkerID(random.IntN(4)), LeaseMs: 3000, HandoverGapMs: 1000,
		ProposalID: name("proposal-", 8), Operator: name("operator-", 3), Configuration: []byte("{}"), Digest: name("digest-", 40),
		BaseRevision: revision, Revision: revision + 1, Zone: ident.ZoneID(name("zone-", 3)), Engine: ident.EngineID(name("engine-", 9)), Closed: random.IntN(2) == 0,
		Address: "address", LostDaemon: ident.NodeID(name("node#", 6)), AnnouncesAll: random.IntN(2) == 0, WithAnnounced: random.IntN(2) == 0,
		Announcement: &Announcement{Orders: map[ident.EngineID]uint64{ident.EngineID(name("engine-", 9)): random.Uint64N(9)}, Loads: random.IntN(3), KeepMs: 5000},
	}
	if command.Op == OpClosure && random.IntN(2) == 0 {
		command.Engine = ""
	} else {
		command.Zone = ""
	}
	return command
}

// A member that restarted from a snapshot anywhere on the way holds the state of one that never did, now and after
// all that follows: else the digests of sound members would differ.
func TestDigestIsEqualAfterRestoring(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		straight, restored := New(), New()
		for number := range 400 {
			command, err := json.Marshal(randomCommand(random, ident.GroupTime(1000+number*300), straight.Revision))
			if err != nil {
				t.Fatal(err)
			}
			straight.Apply(command)
			restored.Apply(command)
			if random.IntN(20) == 0 {
				if restored, err = Restore(restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if straight.Digest() != restored.Digest() {
				t.Fatalf("seed %d: states differ after command %d\n%s\n%s", seed, number, straight.Snapshot(), restored.Snapshot())
			}
		}
		if straight.Version() == 0 || len(straight.DepartedEngines) == 0 || straight.PlannerLease.Token == 0 {
			t.Errorf("seed %d: the commands changed too little", seed)
		}
	}
}

// The broken variant: any part of the state that is another makes another digest.
func TestDigestDependsOnEachFieldOfTheState(t *testing.T) {
	for name, change := range map[string]func(*State){
		"time":            func(s *State) { s.Now++ },
		"workers":         func(s *State) { s.Workers.Floors[3] = 4 },
		"history":         func(s *State) { s.History = append(s.History, "x") },
		"revision":        func(s *State) { s.Revision++ },
		"closures":        func(s *State) { s.Closures.Zones["z"] = closure.Record{} },
		"claim":           func(s *State) { s.PlannerLease.Token++ },
		"serving":         func(s *State) { s.Serving["n"] = ServingDaemon{} },
		"left":            func(s *State) { s.Departures++ },
		"level":           func(s *State) { s.FeatureLevel++ },
		"calls":           func(s *State) { s.Calls = append(s.Calls, RememberedCall{ID: "x"}) },
		"forgotten calls": func(s *State) { s.CallsKnownFrom++ },
	} {
		one, other := New(), New()
		change(other)
		if one.Digest().Sum == other.Digest().Sum {
			t.Errorf("another %s makes no other digest", name)
		}
	}
	first, again := DigestSchema("a"), DigestSchema("a")
	if first == DigestSchema("b") || first != again {
		t.Error("the schema does not distinguish builds")
	}
}

// TestDigestSchemaDependsOnTheEncodingAlone compares a type with others that are encoded alike or otherwise.
func TestDigestSchemaDependsOnTheEncodingAlone(t *testing.T) {
	describeType := func(of reflect.Type) string {
		var text strings.Builder
		describeEncoding(of, map[reflect.Type]bool{}, func(part string) { text.WriteString(part + ";") })
		return text.String()
	}
	type inner struct {
		Value int `json:"value"`
	}
	type renamedInner struct {
		Number int `json:"value"`
	}
	type list struct {
		Next *list `json:"next"`
	}
	type original struct {
		Inner inner  `json:"inner"`
		Left  uint64 `json:"left"`
	}
	want := describeType(reflect.TypeFor[original]())
	for _, test := range []struct {
		name  string
		other reflect.Type
		equal bool
	}{
		{"other Go names", reflect.TypeFor[struct {
			Renamed renamedInner `json:"inner"`
			Other   uint64       `json:"left"`
		}](), true},
		{"another JSON name", reflect.TypeFor[struct {
			Inner inner  `json:"inner"`
			Left  uint64 `json:"right"`
		}](), false},
		{"another option", reflect.TypeFor[struct {
			Inner inner  `json:"inner"`
			Left  uint64 `json:"left,omitempty"`
		}](), false},
		{"another kind", reflect.TypeFor[struct {
			Inner inner `json:"inner"`
			Left  int64 `json:"left"`
		}](), false},
		{"another order", reflect.TypeFor[struct {
			Left  uint64 `json:"left"`
			Inner inner  `json:"inner"`
		}](), false},
		{"a field less", reflect.TypeFor[struct {
			Inner inner `json:"inner"`
		}](), false},
		{"a type that contains itself", reflect.TypeFor[list](), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := describeType(test.other); (got == want) != test.equal {
				t.Errorf("%s is described as %s", test.name, got)
			}
		})
	}
}

// TestInconsistentSnapshotIsRefused: what contradicts itself is told apart from what is incomplete.
func TestInconsistentSnapshotIsRefused(t *testing.T) {
	for name, snapshot := range map[string]string{
		"a proposal under another id":     `{"proposals":{"p":{"proposalId":"q"}}}`,
		"a proposal rolled out as none":   `{"proposals":{"p":{"proposalId":"p","stage":"rolled"}}}`,
		"a history of an open proposal":   `{"history":["p"],"proposals":{"p":{"proposalId":"p","stage":"signed"}}}`,
		"a daemon without a lease":        `{"workers":{"tenures":{},"nodes":{"a#1":3},"floors":{}}}`,
		"a lease of another worker's row": `{"workers":{"tenures":{"3":{"workerId":4,"nodeId":"a#1","leaseExpiry":5}},"nodes":{"a#1":3},"floors":{}}}`,
	} {
		if _, err := Restore([]byte(snapshot)); !errors.Is(err, ErrInconsistent) || errors.Is(err, ErrIncomplete) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A snapshot without a part of the state is refused: applying to it would end the process.
func TestIncompleteSnapshotIsRefused(t *testing.T) {
	complete := string(New().Snapshot())
	if _, err := Restore([]byte(complete)); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{`"workers":{`, `"proposals":{}`, `"zones":{}`, `"engines":{}`, `"tenures":{}`, `"floors":{}`} {
		key := part[:strings.Index(part, ":")]
		var broken map[string]any
		if err := json.Unmarshal([]byte(complete), &broken); err != nil {
			t.Fatal(err)
		}
		if !removeField(broken, strings.Trim(key, `"`)) {
			t.Fatalf("no %s in %s", key, complete)
		}
		data, err := json.Marshal(broken)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(data); !errors.Is(err, ErrIncomplete) {
			t.Errorf("without %s: %v", key, err)
		}
	}
	for _, junk := range []string{`{`, `[]`, `{"proposals":{"p":null}}`} {
		if _, err := Restore([]byte(junk)); err == nil {
			t.Errorf("%s was taken", junk)
		}
	}
}

// removeField sets a part of a state to null, wherever it stands.
func removeField(in map[string]any, key string) bool {
	if _, found := in[key]; found {
		in[key] = nil
		return true
	}
	for _, inner := range in {
		if deeper, isMap := inner.(map[string]any); isMap && removeField(deeper, key) {
			return true
		}
	}
	return false
}

// BenchmarkSizeDigest is what a digest costs, for docs/CAPACITY.md.
func BenchmarkSizeDigest(b *testing.B) {
	for _, size := range stateSizes {
		b.Run(size.name, func(b *testing.B) {
			s := stateOfSize(b, size.daemons, size.engines, size.left, size.bundles, size.packedBundles)
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				bytes = s.Digest().SnapshotBytes
			}
			b.ReportMetric(float64(bytes), "state-bytes")
		})
	}
}
