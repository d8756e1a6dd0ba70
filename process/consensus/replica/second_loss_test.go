package replica

import (
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// TestASecondLossAfterTheFirstIsRepaired: whatever happened to one machine, and whatever happens to any as soon as the
// first counts as back, the group acts within the stated time, and its leader holds all that was acknowledged.
func TestASecondLossAfterTheFirstIsRepaired(t *testing.T) {
	for _, group := range []struct{ size, every int }{{3, 11}, {5, 97}} {
		cases := afterCatchUp(group.size)
		playAll(t, cases, group.every, nil).report(t, group.size, len(cases))
	}
}

// TestASecondLossAtEachStepOfARepair: the same at each step between.
func TestASecondLossAtEachStepOfARepair(t *testing.T) {
	for _, group := range []struct {
		size, every int
		firsts      []trouble
	}{{3, 41, repaired}, {5, 97, []trouble{replacedBefore}}} {
		firsts := group.firsts
		if _, asked := thorough(); asked {
			firsts = repaired
		}
		cases := amidRepair(t, group.size, firsts, nil)
		playAll(t, cases, group.every, nil).report(t, group.size, len(cases))
	}
}

// removeBeforePromote is the rule without promoteForLeaving: who leaves goes first, and another comes after.
func removeBeforePromote(p MembershipPlan) (raft.Membership, bool) {
	ready := p.readyLearners()
	for _, step := range []func() (raft.Membership, bool){
		p.admit,
		func() (raft.Membership, bool) { return p.removePreviousIdentity(ready) },
		func() (raft.Membership, bool) { return p.fillVacancy(ready) },
		func() (raft.Membership, bool) { return p.removeAbsent(ready) },
		p.removeUnreachableLearner,
	} {
		if next, ok := step(); ok {
			return next, true
		}
	}
	return raft.Membership{}, false
}

// removeWithNobodyReady lets go of whoever is absent, whether or not another can take the place.
func removeWithNobodyReady(p MembershipPlan) (raft.Membership, bool) {
	if absent, found := p.absentVoter(); found {
		return p.Current.Without(absent), true
	}
	return p.Next()
}

// TestTheLossCheckerCatchesBrokenRules: each broken rule must fail in some case.
func TestTheLossCheckerCatchesBrokenRules(t *testing.T) {
	for name, broken := range map[string]struct {
		rule       membershipRule
		firsts     []trouble
		endsUnheld bool
	}{
		"who leaves goes before another votes": {rule: removeBeforePromote, firsts: []trouble{replacedBefore}},
		"who is absent goes with nobody ready": {rule: removeWithNobodyReady, firsts: []trouble{stopsAndReturns, freezes}},
		"who stops waits for nobody":           {firsts: []trouble{replacedBefore}, endsUnheld: true},
	} {
		t.Run(name, func(t *testing.T) {
			for place, c := range amidRepair(t, 3, broken.firsts, broken.rule) {
				c.endsUnheld = broken.endsUnheld
				if fault, _ := c.play(t, broken.rule); fault != "" {
					t.Logf("case %d, %v: %s", place, c, fault)
					return
				}
			}
			t.Error("no case caught it")
		})
	}
}
