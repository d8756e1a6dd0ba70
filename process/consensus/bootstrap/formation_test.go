package bootstrap

import (
	"testing"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// seeds are three control daemons with empty folders.
func seeds() []Seed {
	return []Seed{
		{Address: "a", Answered: true, Member: 30, Name: "core-0", ServesControl: true},
		{Address: "b", Answered: true, Member: 10, Name: "core-1", ServesControl: true},
		{Address: "c", Answered: true, Member: 20, Name: "core-2", ServesControl: true},
	}
}

func TestOnlyOneOfTheSeedsForms(t *testing.T) {
	for self, want := range map[raft.MemberID]Decision{10: Form, 20: Wait, 30: Wait, 5: Wait} {
		decision, _, members := Decide(self, seeds())
		if decision != want || want == Form && (len(members.Voters()) != 3 || members.Members[0].ID != 10) {
			t.Errorf("member %d: %v %+v", self, decision, members)
		}
	}
}

func TestNothingFormsWhileASeedIsSilentOrRemembers(t *testing.T) {
	for i := range 3 {
		silent := seeds()
		silent[i].Answered = false
		if decision, _, _ := Decide(10, silent); decision != Wait {
			t.Errorf("seed %d is silent: %v", i, decision)
		}
		remembers := seeds()
		remembers[i].Group = "g"
		if decision, group, _ := Decide(10, remembers); decision != Join || group != "g" {
			t.Errorf("seed %d remembers: %v %s", i, decision, group)
		}
		// Even with all others silent, one that remembers is enough to know that a group exists.
		for j := range remembers {
			remembers[j].Answered = j == i
		}
		if decision, _, _ := Decide(10, remembers); decision != Join {
			t.Errorf("only seed %d answers, and remembers: %v", i, decision)
		}
	}
}

func TestFewerControlDaemonsFormASmallerGroup(t *testing.T) {
	some := seeds()
	some[0].ServesControl, some[1].ServesControl = false, false
	if decision, _, members := Decide(20, some); decision != Form || len(members.Members) != 1 {
		t.Errorf("%v %+v", decision, members)
	}
	some[2].ServesControl = false
	if decision, _, _ := Decide(20, some); decision != Wait {
		t.Errorf("nobody serves control: %v", decision)
	}
}

func TestTheLatestGenerationIsJoinedAndOneProcessIsNotTwoVoters(t *testing.T) {
	generations := seeds()
	generations[0].Group, generations[1].Group, generations[2].Group = "g", "g.2", "g.1"
	if decision, group, _ := Decide(10, generations); decision != Join || group != "g.2" {
		t.Errorf("%v %s", decision, group)
	}
	if ident.GroupID("h.9").Succeeds("g") || ident.GroupID("g").Succeeds("g") || !ident.GroupID("g").Next().Succeeds("g") {
		t.Error("generations are told apart wrongly")
	}
	twice := seeds()
	twice[2].Member = twice[1].Member
	if decision, _, _ := Decide(10, twice); decision != Wait {
		t.Errorf("one process under two addresses: %v", decision)
	}
}

func TestAMemberThatMayOnlyJoinNeverForms(t *testing.T) {
	seeds := []Seed{
		{Address: "a", Answered: true, Member: 1, Name: "a", ServesControl: true, JoinOnly: true},
		{Address: "b", Answered: true, Member: 2, Name: "b", ServesControl: true},
		{Address: "c", Answered: true, Member: 3, Name: "c", ServesControl: true},
	}
	for self, wants := range map[raft.MemberID]Decision{1: Wait, 2: Form, 3: Wait} {
		if got, _, members := Decide(self, seeds); got != wants || got == Form && len(members.Members) != 3 {
			t.Errorf("member %d: %v with %v", self, got, members)
		}
	}
	for i := range seeds {
		seeds[i].JoinOnly = true
	}
	for self := range raft.MemberID(4) {
		if got, _, _ := Decide(self, seeds); got != Wait {
			t.Errorf("where all may only join, member %d forms a group", self)
		}
	}
	// One whose folder is not open yet may remember a group.
	seeds[0].JoinOnly, seeds[1].JoinOnly, seeds[2].JoinOnly, seeds[2].Member = false, false, false, 0
	if got, _, _ := Decide(1, seeds); got != Wait {
		t.Error("a group was formed over one whose folder is not open")
	}
}
