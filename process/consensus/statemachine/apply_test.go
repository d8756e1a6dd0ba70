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

func (s *State) applyCommand(t testing.TB, c Command) Result {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(data)
}

// applyRequest makes one of a few apply requests out of a byte: of each there may be many copies, and many share a base.
func applyRequest(raw uint8) Command {
	raw %= 64
	base := ident.Revision(raw % 7)
	return Command{Op: OpApply, Digest: fmt.Sprint("d", raw), BaseRevision: base, Revision: base + 1 + ident.Revision(raw/7%3), Operator: "ana", Configuration: []byte{raw}}
}

// TestConcurrentApplyRequestsHaveOneWinnerPerBase lets copies of a few apply requests race, among bundles that are signed off and over snapshots.
func TestConcurrentApplyRequestsHaveOneWinnerPerBase(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(41)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("one wins on each base, for ever, and losers stay losers", prop.ForAll(func(steps []uint8, signed []bool) string {
		state := New()
		committed, refused := map[string]bool{}, map[string]bool{}
		wonOn := map[ident.Revision]string{}
		for i, raw := range steps {
			if i%3 == 0 {
				restored, err := Restore(state.Snapshot())
				if err != nil {
					return err.Error()
				}
				state = restored
			}
			before, version := state.Revision, state.Version()
			if raw >= 250 && signed[i] {
				id := fmt.Sprint("p", i)
				state.applyCommand(t, Command{Op: OpPropose, ProposalID: id, Base: version, Operator: "ana", Configuration: []byte{1}})
				state.applyCommand(t, Command{Op: OpReview, ProposalID: id, Operator: "berta"})
				state.applyCommand(t, Command{Op: OpSignOff, ProposalID: id, Operator: "chen"})
				if r := state.applyCommand(t, Command{Op: OpRollOut, ProposalID: id, Operator: "ana"}); r.Outcome != Done || state.Revision != before+1 {
					return fmt.Sprintf("a signed bundle: %+v at revision %d after %d", r, state.Revision, before)
				}
				continue
			}
			c := applyRequest(raw)
			r := state.applyCommand(t, c)
			switch r.Outcome {
			case Done:
				if refused[c.Digest] {
					return c.Digest + " was refused and then taken"
				}
				if !committed[c.Digest] {
					if other, won := wonOn[c.BaseRevision]; won {
						return fmt.Sprintf("%s and %s both won on %d", other, c.Digest, c.BaseRevision)
					}
					wonOn[c.BaseRevision] = c.Digest
					if before != c.BaseRevision || state.Revision != c.Revision || state.Version() != version+1 {
						return fmt.Sprintf("%s took effect on %d and led to %d", c.Digest, before, state.Revision)
					}
				} else if state.Revision != before || state.Version() != version {
					return c.Digest + " was taken twice"
				}
				committed[c.Digest] = true
				if r.Proposal == nil || r.Proposal.ID != AppliedID(c.Digest) || r.Proposal.Version == 0 {
					return fmt.Sprintf("%s is acknowledged as %+v", c.Digest, r.Proposal)
				}
			case Conflict:
				if committed[c.Digest] {
					return c.Digest + " was taken and then refused"
				}
				if state.Revision != before || r.Revision != before {
					return "a loser changed something"
				}
				refused[c.Digest] = true
			default:
				return fmt.Sprintf("%+v", r)
			}
		}
		return ""
	}, gen.SliceOfN(120, gen.UInt8()), gen.SliceOfN(120, gen.Bool())))
	properties.TestingRun(t)
}

func TestApplyWithoutDigestOrConfigurationTakesNoEffect(t *testing.T) {
	state := New()
	if r := state.applyCommand(t, Command{Op: OpApply, Revision: 1, Configuration: []byte("x")}); r.Outcome != Malformed {
		t.Error("no digest:", r)
	}
	if r := state.applyCommand(t, Command{Op: OpApply, Digest: "e", Configuration: []byte("x")}); r.Outcome != Conflict {
		t.Error("no revision:", r)
	}
	// One without its bundle is a refusal, and holds against every copy that comes later.
	for _, bundle := range []string{"", "x"} {
		if r := state.applyCommand(t, Command{Op: OpApply, Digest: "d", Revision: 1, Configuration: []byte(bundle)}); r.Outcome != Conflict {
			t.Errorf("bundle %q: %v", bundle, r)
		}
	}
	if state.Version() != 0 {
		t.Error("one of them is in force")
	}
}

func TestProposalIDReservedForAppliesIsMalformed(t *testing.T) {
	state := New()
	if r := state.applyCommand(t, Command{Op: OpPropose, ProposalID: AppliedID("d"), Operator: "ana", Configuration: []byte("x")}); r.Outcome != Malformed {
		t.Error(r)
	}
	if r := state.applyCommand(t, Command{Op: OpApply, Digest: "d", Revision: 1, Configuration: []byte("x")}); r.Outcome != Done {
		t.Error(r)
	}
}

// TestProposalIsSupersededByApplyOnTheSameBase holds that the two ways to put a bundle in force see each other.
func TestProposalIsSupersededByApplyOnTheSameBase(t *testing.T) {
	state := New()
	for _, c := range []Command{
		{Op: OpPropose, ProposalID: "p", Operator: "ana", Configuration: []byte("x")}, {Op: OpReview, ProposalID: "p", Operator: "berta"}, {Op: OpSignOff, ProposalID: "p", Operator: "chen"},
	} {
		if r := state.applyCommand(t, c); r.Outcome != Done {
			t.Fatal(r)
		}
	}
	if r := state.applyCommand(t, Command{Op: OpApply, Digest: "d", Revision: 4, Configuration: []byte("y")}); r.Outcome != Done || r.Version != 1 || r.Revision != 4 {
		t.Fatal(r)
	}
	if r := state.applyCommand(t, Command{Op: OpRollOut, ProposalID: "p", Operator: "ana"}); r.Outcome != Conflict || r.Winner != AppliedID("d") {
		t.Error(r)
	}
}

// TestRetainedAppliesAreBounded looks at what the state holds after many apply requests.
func TestRetainedAppliesAreBounded(t *testing.T) {
	for _, c := range []struct{ requests, bytes, retained int }{{100, 10, maxRetainedBundles}, {30, maxRetainedBytes / 4, 4}, {5, maxRetainedBytes * 2, 1}} {
		state := New()
		for i := range c.requests {
			r := state.applyCommand(t, Command{Op: OpApply, Digest: fmt.Sprint("d", i), BaseRevision: ident.Revision(i), Revision: ident.Revision(i + 1), Configuration: make([]byte, c.bytes)})
			if r.Outcome != Done {
				t.Fatal(r)
			}
		}
		complete := 0
		for version := ident.Version(1); version <= state.Version(); version++ {
			if found, ok := state.ProposalAt(version); ok && len(found.Configuration) > 0 {
				complete++
				if version <= state.Version()-ident.Version(c.retained) {
					t.Errorf("%d apply requests of %d bytes: version %d is retained in full", c.requests, c.bytes, version)
				}
			}
		}
		if complete != c.retained {
			t.Errorf("%d apply requests of %d bytes: %d are retained in full, want %d", c.requests, c.bytes, complete, c.retained)
		}
		for i := range c.requests {
			if r := state.applyCommand(t, Command{Op: OpApply, Digest: fmt.Sprint("d", i), BaseRevision: ident.Revision(i), Revision: ident.Revision(i + 1), Configuration: []byte("x")}); r.Outcome != Done || r.Proposal.Version != ident.Version(i+1) {
				t.Errorf("apply request %d again: %+v", i, r)
			}
		}
	}
	state := New()
	for i := range maxVersions + 50 {
		state.applyCommand(t, Command{Op: OpApply, Digest: fmt.Sprint("d", i), BaseRevision: ident.Revision(i), Revision: ident.Revision(i + 1), Configuration: []byte("x")})
	}
	if len(state.Proposals) > maxVersions+2 {
		t.Errorf("%d apply requests are known", len(state.Proposals))
	}
	if first, ok := state.ProposalAt(1); !ok || first.RolledOut == nil {
		t.Error("nobody knows when the first bundle came")
	}
	known := 0
	for i := range 2 * maxRejectedApplies {
		r := state.applyCommand(t, Command{Op: OpApply, Digest: fmt.Sprint("ahead", i), BaseRevision: 1 << 40, Revision: 1 << 41, Configuration: []byte("x")})
		switch {
		case r.Outcome == Conflict:
			known++
		case r.Outcome != Unproven || known < maxRejectedApplies:
			t.Fatalf("apply request %d on a base not in force yet: %+v", i, r)
		}
	}
	if known != maxRejectedApplies || len(state.RejectedAhead) != maxRejectedApplies {
		t.Errorf("%d were refused, and %d are known", known, len(state.RejectedAhead))
	}
	if len(state.History) > maxVersions {
		t.Errorf("%d versions are listed", len(state.History))
	}
}

// TestSnapshotWithoutRevisionsCountsItsVersions reads a snapshot that knows of no revisions.
func TestSnapshotWithoutRevisionsCountsItsVersions(t *testing.T) {
	state := New()
	for i, id := range []string{"a", "b", "c"} {
		for _, c := range []Command{
			{Op: OpPropose, ProposalID: id, Base: ident.Version(i), Operator: "ana", Configuration: []byte("x")}, {Op: OpReview, ProposalID: id, Operator: "berta"},
			{Op: OpSignOff, ProposalID: id, Operator: "chen"}, {Op: OpRollOut, ProposalID: id, Operator: "ana"},
		} {
			if r := state.applyCommand(t, c); r.Outcome != Done {
				t.Fatal(r)
			}
		}
	}
	var old map[string]json.RawMessage
	if err := json.Unmarshal(state.Snapshot(), &old); err != nil {
		t.Fatal(err)
	}
	delete(old, "revision")
	data, err := json.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil || restored.Revision != state.Revision || state.Revision != 3 {
		t.Errorf("revision %d, want %d; %v", restored.Revision, state.Revision, err)
	}
}
