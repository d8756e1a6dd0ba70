package bootstrap

import (
	"testing"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// seeds are three control daemons with empty folders.
func seeds() []SeedStatus {
	return []SeedStatus{
		{Address: "a", Reachable: true, Member: 30, Name: "core-0", ServesControl: true},
		{Address: "b", Reachable: true, Member: 10, Name: "core-1", ServesControl: true},
		{Address: "c", Reachable: true, Member: 20, Name: "core-2", ServesControl: true},
	}
}

func TestOnlyLowestMemberBootstraps(t *testing.T) {
	for self, want := range map[raft.MemberID]Action{10: Bootstrap, 20: Wait, 30: Wait, 5: Wait} {
		got := Decide(self, seeds())
		if got.Action != want || want == Bootstrap && (len(got.Membership.Voters()) != 3 || got.Membership.Members[0].ID != 10) {
			t.Errorf("member %d: %+v", self, got)
		}
	}
}

func TestNoBootstrapWhileSeedIsUnreachableOrHasGroup(t *testing.T) {
	for i := range 3 {
		unreachable := seeds()
		unreachable[i].Reachable = false
		if got := Decide(10, unreachable); got.Action != Wait {
			t.Errorf("seed %d is unreachable: %v", i, got.Action)
		}
		member := seeds()
		member[i].Group = "g"
		if got := Decide(10, member); got.Action != Join || got.Group != "g" {
			t.Errorf("seed %d has a group: %+v", i, got)
		}
		// Even with all others unreachable, one that belongs to a group proves that it exists.
		for j := range member {
			member[j].Reachable = j == i
		}
		if got := Decide(10, member); got.Action != Join {
			t.Errorf("only seed %d is reachable, and has a group: %v", i, got.Action)
		}
	}
}

func TestFewerControlDaemonsBootstrapSmallerGroup(t *testing.T) {
	fewer := seeds()
	fewer[0].ServesControl, fewer[1].ServesControl = false, false
	if got := Decide(20, fewer); got.Action != Bootstrap || len(got.Membership.Members) != 1 {
		t.Errorf("%+v", got)
	}
	fewer[2].ServesControl = false
	if got := Decide(20, fewer); got.Action != Wait {
		t.Errorf("no seed serves control: %v", got.Action)
	}
}

func TestLatestGenerationIsJoinedAndDuplicateMemberWaits(t *testing.T) {
	generations := seeds()
	generations[0].Group, generations[1].Group, generations[2].Group = "g", "g.2", "g.1"
	if got := Decide(10, generations); got.Action != Join || got.Group != "g.2" {
		t.Errorf("%+v", got)
	}
	if ident.GroupID("h.9").Succeeds("g") || ident.GroupID("g").Succeeds("g") || !ident.GroupID("g").Next().Succeeds("g") {
		t.Error("generations are ordered wrongly")
	}
	twice := seeds()
	twice[2].Member = twice[1].Member
	if got := Decide(10, twice); got.Action != Wait {
		t.Errorf("one process under two addresses: %v", got.Action)
	}
}

func TestJoinOnlyMemberNeverBootstraps(t *testing.T) {
	seeds := []SeedStatus{
		{Address: "a", Reachable: true, Member: 1, Name: "a", ServesControl: true, JoinOnly: true},
		{Address: "b", Reachable: true, Member: 2, Name: "b", ServesControl: true},
		{Address: "c", Reachable: true, Member: 3, Name: "c", ServesControl: true},
	}
	for self, want := range map[raft.MemberID]Action{1: Wait, 2: Bootstrap, 3: Wait} {
		if got := Decide(self, seeds); got.Action != want || got.Action == Bootstrap && len(got.Membership.Members) != 3 {
			t.Errorf("member %d: %+v", self, got)
		}
	}
	for i := range seeds {
		seeds[i].JoinOnly = true
	}
	for self := range raft.MemberID(4) {
		if got := Decide(self, seeds); got.Action != Wait {
			t.Errorf("all are join-only, and member %d bootstraps a group", self)
		}
	}
	// One whose folder is not open yet may belong to a group.
	seeds[0].JoinOnly, seeds[1].JoinOnly, seeds[2].JoinOnly, seeds[2].Member = false, false, false, 0
	if got := Decide(1, seeds); got.Action != Wait {
		t.Error("a group was bootstrapped while a folder is not open")
	}
}
