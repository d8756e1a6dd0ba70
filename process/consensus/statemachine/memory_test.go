package statemachine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/cresspond/cresspond/ident"
)

// applyChained applies apply request number i of a chain in which each builds on the one before: apply request i leads from revision i to i+1.
func (s *State) applyChained(t testing.TB, i int) Result {
	t.Helper()
	return s.applyCommand(t, Command{Op: OpApply, Digest: fmt.Sprint("d", i), BaseRevision: ident.Revision(i), Revision: ident.Revision(i + 1), Configuration: []byte("x")})
}

// TestRetryOfAnOldApplyIsNeverRefused retries every apply request of a long chain at its end.
func TestRetryOfAnOldApplyIsNeverRefused(t *testing.T) {
	const orders = 4096 + 300
	state := New()
	for i := range orders {
		if r := state.applyChained(t, i); r.Outcome != Done {
			t.Fatal(i, r)
		}
	}
	for i := range orders {
		if r := state.applyChained(t, i); r.Outcome == Conflict || r.Outcome == Malformed || r.Revision != orders {
			t.Fatalf("apply request %d took effect, and was retried: %+v", i, r)
		}
	}
}

// TestRefusedApplyNeverTakesEffect refuses many apply requests on one base not in force yet, and sends them all again once it has come.
func TestRefusedApplyNeverTakesEffect(t *testing.T) {
	state := New()
	refused := map[string]bool{}
	ahead := func(i int) Command {
		return Command{Op: OpApply, Digest: fmt.Sprint("ahead", i), BaseRevision: 1, Revision: 2, Configuration: []byte("x")}
	}
	for i := range 600 {
		if r := state.applyCommand(t, ahead(i)); r.Outcome == Conflict {
			refused[ahead(i).Digest] = true
		}
	}
	if len(refused) == 0 {
		t.Error("nothing was refused")
	}
	state.applyChained(t, 0)
	for i := range 600 {
		if r := state.applyCommand(t, ahead(i)); r.Outcome == Done && refused[ahead(i).Digest] {
			t.Fatalf("%s was refused and won", ahead(i).Digest)
		}
	}
}

// memoryModel is what an operator may rely on: the outcomes that it was given for each apply request.
type memoryModel struct {
	committed, refused map[string]bool
	// wonOn is who won each base.
	wonOn map[ident.Revision]string
}

// check records one outcome, and says what is wrong with it.
func (m *memoryModel) check(c Command, before ident.Revision, r Result) string {
	switch r.Outcome {
	case Done:
		if m.refused[c.Digest] {
			return "was refused and is taken"
		}
		if other, won := m.wonOn[c.BaseRevision]; won && other != c.Digest {
			return "is taken on the base that " + other + " won"
		}
		if !m.committed[c.Digest] && c.BaseRevision != before {
			return "is taken for the first time on a base that is not in force"
		}
		m.committed[c.Digest], m.wonOn[c.BaseRevision] = true, c.Digest
	case Conflict:
		if m.committed[c.Digest] {
			return "took effect and is refused"
		}
		m.refused[c.Digest] = true
	case Unproven:
		if c.BaseRevision == before {
			return "is on the base in force, and has no clear answer"
		}
	default:
		return fmt.Sprintf("%+v", r)
	}
	return ""
}

// rememberingBreak names a way to break what is remembered of apply requests.
type rememberingBreak string

const (
	rememberingSound   rememberingBreak = ""
	committedForgotten rememberingBreak = "an order that is forgotten is refused"
	refusedForgotten   rememberingBreak = "a refusal is forgotten to make room"
	refusedTooSoon     rememberingBreak = "a refusal is forgotten when its base comes in force"
)

// breakState does to a state what a broken rule would have done.
func (b rememberingBreak) breakState(s *State) {
	switch b {
	case committedForgotten:
		s.AppliesKnownFrom = 0
	case refusedForgotten:
		s.RejectedAhead = s.RejectedAhead[max(0, len(s.RejectedAhead)-1):]
	case refusedTooSoon:
		retained := s.RejectedAhead[:0:0]
		for _, o := range s.RejectedAhead {
			if o.Base > s.Revision {
				retained = append(retained, o)
			}
		}
		s.RejectedAhead = retained
	}
}

// playMemory sends apply requests of two operators, new ones and old ones again, to a state that remembers little, with
// bundles that are signed off between them, and through snapshots.
func playMemory(t *testing.T, seed uint64, broken rememberingBreak) (fault string, clear, unproven int) {
	random := rand.New(rand.NewPCG(seed, 18))
	tiny := Limits{Versions: 4, RejectedApplies: 3}
	state := New(WithLimits(tiny))
	model := memoryModel{committed: map[string]bool{}, refused: map[string]bool{}, wonOn: map[ident.Revision]string{}}
	var sent []Command
	for step := range 400 {
		var c Command
		if len(sent) > 0 && random.IntN(2) == 0 {
			// The newest are sent again more often than the old ones.
			c = sent[len(sent)-1-min(random.IntN(len(sent)), random.IntN(len(sent)))]
		} else {
			base := state.Revision
			if random.IntN(3) == 0 {
				base += ident.Revision(1 + random.IntN(4))
			} else if random.IntN(5) == 0 {
				base -= min(base, ident.Revision(random.IntN(12)))
			}
			c = Command{Op: OpApply, Digest: fmt.Sprint("d", step), BaseRevision: base, Revision: base + 1 + ident.Revision(random.IntN(3)), Operator: fmt.Sprint(step % 2), Configuration: []byte("x")}
			sent = append(sent, c)
		}
		before := state.Revision
		sending := c
		if c.BaseRevision > before && random.IntN(2) == 0 {
			sending.Configuration, sending.Revision = nil, 0
		}
		r := state.applyCommand(t, sending)
		if fault := model.check(c, before, r); fault != "" {
			return fmt.Sprintf("step %d: %s on base %d, at revision %d, %s", step, c.Digest, c.BaseRevision, before, fault), clear, unproven
		}
		if r.Outcome == Unproven {
			unproven++
		} else {
			clear++
		}
		if random.IntN(20) == 0 {
			rollOutSigned(t, state, fmt.Sprint("signed", step))
		}
		if len(state.History) > tiny.Versions || len(state.RejectedAhead) > tiny.RejectedApplies {
			return fmt.Sprintf("%d versions and %d refusals are remembered", len(state.History), len(state.RejectedAhead)), clear, unproven
		}
		if random.IntN(8) == 0 {
			restored, err := Restore(state.Snapshot(), WithLimits(tiny))
			if err != nil || string(restored.Snapshot()) != string(state.Snapshot()) {
				return fmt.Sprintf("step %d: a snapshot changed something: %v", step, err), clear, unproven
			}
			state = restored
		}
		broken.breakState(state)
	}
	return "", clear, unproven
}

// rollOutSigned puts a bundle in force by the four steps.
func rollOutSigned(t *testing.T, state *State, id string) {
	for _, c := range []Command{
		{Op: OpPropose, ProposalID: id, Base: state.Version(), Operator: "ana", Configuration: []byte{1}}, {Op: OpReview, ProposalID: id, Operator: "berta"},
		{Op: OpSignOff, ProposalID: id, Operator: "chen"}, {Op: OpRollOut, ProposalID: id, Operator: "ana"},
	} {
		if r := state.applyCommand(t, c); r.Outcome != Done {
			t.Fatal(r)
		}
	}
}

// TestForgottenApplyIsUnproven checks the rule with limits so small that requests are forgotten all the time.
func TestForgottenApplyIsUnproven(t *testing.T) {
	clear, unproven := 0, 0
	for seed := range uint64(100) {
		fault, c, u := playMemory(t, seed, rememberingSound)
		if fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
		clear, unproven = clear+c, unproven+u
	}
	t.Logf("seeds 0 to 99: %d clear answers, %d without", clear, unproven)
	if unproven == 0 {
		t.Error("nothing was forgotten")
	}
}

// TestMemoryCheckerDetectsBrokenVariants breaks the rule on purpose.
func TestMemoryCheckerDetectsBrokenVariants(t *testing.T) {
	for _, broken := range []rememberingBreak{committedForgotten, refusedForgotten, refusedTooSoon} {
		t.Run(string(broken), func(t *testing.T) {
			for seed := range uint64(300) {
				if fault, _, _ := playMemory(t, seed, broken); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}

// TestFirstAndSignedVersionsAreNeverDropped looks at what is left of versions that were dropped.
func TestFirstAndSignedVersionsAreNeverDropped(t *testing.T) {
	state := New(WithLimits(Limits{Versions: 4, RejectedApplies: 3}))
	state.applyChained(t, 0)
	rollOutSigned(t, state, "signed")
	for i := 2; i < 20; i++ {
		state.applyChained(t, i)
	}
	for version, want := range map[ident.Version]string{1: AppliedID("d0"), 2: "signed", 20: AppliedID("d19"), 17: AppliedID("d16")} {
		if found, ok := state.ProposalAt(version); !ok || found.ID != want || found.Version != version {
			t.Errorf("version %d is %+v, want %s", version, found, want)
		}
	}
	if _, ok := state.ProposalAt(10); ok {
		t.Error("version 10 is still known")
	}
	if state.Version() != 20 || len(state.History) != 4 || len(state.Proposals) != 6 {
		t.Errorf("version %d, %d listed, %d known", state.Version(), len(state.History), len(state.Proposals))
	}
}

// TestSnapshotSizeIsBounded measures the snapshot after many apply requests and after many more.
func TestSnapshotSizeIsBounded(t *testing.T) {
	state := New(WithLimits(Limits{Versions: 50, RejectedApplies: 3}))
	size := map[int]int{}
	for i := range 2001 {
		// The same number of digits throughout.
		base := ident.Revision(1000 + i)
		if i == 0 {
			base = 0
		}
		state.applyCommand(t, Command{Op: OpApply, Digest: fmt.Sprint("d", 1000+i), BaseRevision: base, Revision: ident.Revision(1001 + i), Configuration: []byte("x")})
		size[i] = len(state.Snapshot())
	}
	if state.Revision != 3001 || size[2000] > size[200]+200 {
		t.Errorf("revision %d: %d bytes after 200 apply requests, %d after 2,000", state.Revision, size[200], size[2000])
	}
}

// TestSnapshotOfAnEarlierBuildProvesNoMoreThanItRemembers reads a snapshot whose oldest apply requests an earlier build forgot
// without a note, and which lists refusals without their base.
func TestSnapshotOfAnEarlierBuildProvesNoMoreThanItRemembers(t *testing.T) {
	state := New()
	for i := range 30 {
		state.applyChained(t, i)
	}
	for i := 1; i < 10; i++ {
		delete(state.Proposals, AppliedID(fmt.Sprint("d", i)))
	}
	var old map[string]json.RawMessage
	if err := json.Unmarshal(state.Snapshot(), &old); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"dropped", "lasting", "provenFrom", "refusedAhead"} {
		delete(old, name)
	}
	old["refused"] = json.RawMessage(`["ahead"]`)
	data, err := json.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	for _, limits := range []Limits{DefaultLimits(), {Versions: 20, RejectedApplies: 3}, {Versions: 8, RejectedApplies: 3}} {
		restored, err := Restore(data, WithLimits(limits))
		if err != nil || restored.Version() != 30 || restored.Revision != 30 {
			t.Fatalf("version %d, revision %d: %v", restored.Version(), restored.Revision, err)
		}
		for i := range 30 {
			if r := restored.applyChained(t, i); r.Outcome == Conflict {
				t.Errorf("%+v: apply request %d took effect and is refused", limits, i)
			}
		}
		if r := restored.applyChained(t, 29); r.Outcome != Done {
			t.Errorf("%+v: the newest apply request again: %+v", limits, r)
		}
		if r := restored.applyCommand(t, Command{Op: OpApply, Digest: "rival", BaseRevision: 29, Revision: 31, Configuration: []byte("x")}); r.Outcome != Conflict {
			t.Errorf("%+v: the newest apply request's rival: %+v", limits, r)
		}
		if r := restored.applyCommand(t, Command{Op: OpApply, Digest: "ahead", BaseRevision: 30, Revision: 31, Configuration: []byte("x")}); r.Outcome != Conflict {
			t.Errorf("%+v: an apply request that an earlier build refused: %+v", limits, r)
		}
	}
}

// TestOutOfRangeAppliesChangeNothing sends requests that no operator can make.
func TestOutOfRangeAppliesChangeNothing(t *testing.T) {
	state := New()
	state.applyChained(t, 0)
	before := string(state.Snapshot())
	for name, c := range map[string]Command{
		"no digest":           {BaseRevision: 1, Revision: 2, Configuration: []byte("x")},
		"a digest too long":   {Digest: string(make([]byte, 300)), BaseRevision: 1, Revision: 2, Configuration: []byte("x")},
		"an absurd base":      {Digest: "a", BaseRevision: 1<<64 - 1, Revision: 2, Configuration: []byte("x")},
		"the same, no bundle": {Digest: "a", BaseRevision: MaxRevision + 1},
		"an absurd revision":  {Digest: "b", BaseRevision: 1, Revision: 1<<64 - 1, Configuration: []byte("x")},
	} {
		c.Op = OpApply
		if r := state.applyCommand(t, c); r.Outcome != Malformed || string(state.Snapshot()) != before {
			t.Errorf("%s: %+v", name, r)
		}
	}
	if r := state.applyCommand(t, Command{Op: OpPropose, ProposalID: "p", Base: 1, Operator: "ana", Revision: MaxRevision + 1, Configuration: []byte("x")}); r.Outcome != Malformed {
		t.Errorf("a proposal with an revision out of range: %+v", r)
	}
	// At the highest revision nothing can follow, by neither way.
	if r := state.applyCommand(t, Command{Op: OpApply, Digest: "last", BaseRevision: 1, Revision: MaxRevision, Configuration: []byte("x")}); r.Outcome != Done {
		t.Fatal(r)
	}
	for _, c := range []Command{{Op: OpPropose, ProposalID: "q", Base: 2, Operator: "ana", Configuration: []byte("x")}, {Op: OpReview, ProposalID: "q", Operator: "berta"}, {Op: OpSignOff, ProposalID: "q", Operator: "chen"}} {
		state.applyCommand(t, c)
	}
	if r := state.applyCommand(t, Command{Op: OpRollOut, ProposalID: "q", Operator: "ana"}); r.Outcome != Exhausted || state.Revision != MaxRevision {
		t.Errorf("a bundle after the last revision: %+v", r)
	}
}

// TestSnapshotOfAnEarlierBuildIsRestored reads what the build before this rule wrote: six apply requests, each two
// revisions on, one bundle that was signed off, and one apply request that was refused on revision 14.
func TestSnapshotOfAnEarlierBuildIsRestored(t *testing.T) {
	data, err := os.ReadFile("testdata/snapshot-before-proven-from.json")
	if err != nil {
		t.Fatal(err)
	}
	state, err := Restore(data)
	if err != nil || state.Version() != 7 || state.Revision != 13 || state.AppliesKnownFrom != 0 || state.Closures.Version != 1 || len(state.Serving) != 1 || state.Departures != 1 {
		t.Fatalf("%+v, %v", state, err)
	}
	order := func(digest string, base ident.Revision) Outcome {
		return state.applyCommand(t, Command{Op: OpApply, Digest: digest, BaseRevision: base, Revision: base + 1, Configuration: []byte("x")}).Outcome
	}
	for i := range 6 {
		if got := order(fmt.Sprint("d", i), ident.Revision(2*i)); got != Done {
			t.Errorf("apply request %d again: %s", i, got)
		}
		if got := order("rival", ident.Revision(2*i)); got != Conflict {
			t.Errorf("a rival of apply request %d: %s", i, got)
		}
	}
	if got := order("next", 13); got != Done || state.Revision != 14 {
		t.Errorf("the next apply request: %s, revision %d", got, state.Revision)
	}
	if got := order("ahead", 14); got != Conflict {
		t.Errorf("an apply request that the build before refused: %s", got)
	}
	if got := order("other", 14); got != Done {
		t.Errorf("another on the same base: %s", got)
	}
}
