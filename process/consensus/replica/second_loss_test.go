package replica

import (
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Whatever happened to one machine, and whatever happens to any as soon as the first counts as repaired, the group
// recovers within recoveryLimit, and its leader holds all that was acknowledged.
func TestGroupSurvivesSecondLossAfterRepair(t *testing.T) {
	for _, group := range []struct{ size, every int }{{3, 11}, {5, 97}} {
		cases := casesAfterCatchUp(group.size)
		playAll(t, cases, group.every, nil).report(t, group.size, len(cases))
	}
}

// The same with the second loss at each step of the repair.
func TestGroupSurvivesSecondLossAtEachRepairStep(t *testing.T) {
	for _, group := range []struct {
		size, every int
		firsts      []faultKind
	}{{3, 41, repairedFaults}, {5, 97, []faultKind{replacedBeforehand}}} {
		firsts := group.firsts
		if _, requested := playEvery(); requested {
			firsts = repairedFaults
		}
		cases := casesDuringRepair(t, group.size, firsts, nil)
		playAll(t, cases, group.every, nil).report(t, group.size, len(cases))
	}
}

// The same with two losses one to five seconds apart, whatever the repair of the first has come to by then.
func TestGroupSurvivesTwoLossesOneToFiveSecondsApart(t *testing.T) {
	for _, group := range []struct{ size, every int }{{3, 7}, {5, 211}} {
		cases := casesAtGap(group.size)
		playAll(t, cases, group.every, nil).report(t, group.size, len(cases))
	}
}

// removeBeforePromote is the plan without promoteForLeaving: the member that leaves is removed before another is promoted.
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

// removeWithNobodyReady removes an absent voter whether or not a learner can take its place.
func removeWithNobodyReady(p MembershipPlan) (raft.Membership, bool) {
	if absent, found := p.absentVoter(); found {
		return p.Current.Without(absent), true
	}
	return p.Next()
}

// Each broken membership rule must fail in some case.
func TestSecondLossCheckerCatchesBrokenMembershipRules(t *testing.T) {
	for name, broken := range map[string]struct {
		rule       membershipRule
		firsts     []faultKind
		endsUnheld bool
	}{
		"a leaving voter is removed before another is promoted": {rule: removeBeforePromote, firsts: []faultKind{replacedBeforehand}},
		"an absent voter is removed with no learner ready":      {rule: removeWithNobodyReady, firsts: []faultKind{stopsAndReturns, freezes}},
		"a stopping voter waits for no one":                     {firsts: []faultKind{replacedBeforehand}, endsUnheld: true},
	} {
		t.Run(name, func(t *testing.T) {
			for place, c := range casesDuringRepair(t, 3, broken.firsts, broken.rule) {
				c.stopsUnsafely = broken.endsUnheld
				if fault, _ := c.play(t, broken.rule); fault != "" {
					t.Logf("case %d, %v: %s", place, c, fault)
					return
				}
			}
			t.Error("no case caught it")
		})
	}
}
