package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// diverge makes a member's state differ from what its log says.
func diverge(n *simulatedNode, by uint64) {
	n.sim.resignationExpected = true
	n.core.state.PlannerLease.OrdersSequence += by
}

// statesAgree reports whether all members applied the same entries and hold equal states.
func statesAgree(sim *simulation) bool {
	var first *simulatedNode
	for _, n := range sim.nodes {
		if n.removed {
			continue
		}
		if first == nil {
			first = n
		}
		if !n.up || n.core.appliedIndex != first.core.appliedIndex || n.core.state.Digest() != first.core.state.Digest() {
			return false
		}
	}
	return true
}

// submitSteadily has the leader submit two commands a second, as the planner's lease does in a fleet at rest.
func submitSteadily(sim *simulation) {
	sim.schedule(500*time.Millisecond, func() {
		if leader := sim.leader(); leader != nil {
			leader.execute(leader.core.Submit(sim.now, 0, statemachine.Command{Op: statemachine.OpReclaim}))
		}
		submitSteadily(sim)
	})
}

// A member whose state diverges, leader or not, is detected by its digest, gives up its state and votes again with a
// correct one; no other member resigns.
func TestDivergentMemberResignsAndRejoins(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(40) {
		size := []int{3, 5}[seed%2]
		sim := newFaultlessSimulation(t, seed, size)
		victim := sim.leader()
		if seed%4 < 2 {
			victim = sim.nodes[(victim.index+1)%size]
		}
		id := victim.id
		submitSteadily(sim)
		diverge(victim, 1)
		longest = max(longest, sim.runUntil(time.Minute, func() bool { return len(sim.resigned) > 0 }))
		if len(sim.resigned) != 1 || sim.resigned[0] != id {
			t.Fatalf("seed %d: %v resigned, and the state of %d diverged", seed, sim.resigned, id)
		}
		if took := sim.runUntil(10*time.Second, sim.fullyRepaired); took >= 10*time.Second {
			t.Errorf("seed %d: not repaired %v after it resigned", seed, took)
		}
		sim.runFor(30 * time.Second)
		sim.operatorsStopped = true
		if sim.runUntil(5*time.Second, func() bool { return statesAgree(sim) }) >= 5*time.Second || len(sim.resigned) != 1 {
			t.Errorf("seed %d: states differ in the end, %v resigned", seed, sim.resigned)
		}
		if sim.notices[raft.NoticeStateDiffers] == 0 {
			t.Errorf("seed %d: no divergence was noticed", seed)
		}
		for _, violation := range sim.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	t.Logf("found within %v", longest)
	if longest > 3*time.Second {
		t.Errorf("a state that differs was served for %v", longest)
	}
}

// Of two divergent members in a group of five one resigns at a time: the next only once the first is replaced.
func TestDivergentMembersResignOneAtATime(t *testing.T) {
	for seed := range uint64(20) {
		sim := newFaultlessSimulation(t, seed, 5)
		leaderIndex := sim.leader().index
		diverge(sim.nodes[(leaderIndex+1)%5], 1)
		diverge(sim.nodes[(leaderIndex+2)%5], 1+seed%2)
		if sim.runUntil(time.Minute, func() bool { return len(sim.resigned) == 1 }); len(sim.resigned) != 1 {
			t.Fatalf("seed %d: %v resigned", seed, sim.resigned)
		}
		first := sim.resigned[0]
		sim.runUntil(time.Minute, func() bool {
			members := sim.leader()
			if members == nil {
				return false
			}
			if _, belongs := members.core.raft.Membership().Find(first); belongs && len(sim.resigned) > 1 {
				t.Errorf("seed %d: a second resigned before the first was replaced", seed)
			}
			return len(sim.resigned) == 2
		})
		if len(sim.resigned) != 2 || sim.runUntil(15*time.Second, sim.fullyRepaired) >= 15*time.Second {
			t.Errorf("seed %d: %v resigned, repaired: %t", seed, sim.resigned, sim.fullyRepaired())
		}
	}
}

// Where no majority agrees no member resigns, since none can know which state is right. The divergence is noticed.
func TestNoMemberResignsWithoutAMajorityDigest(t *testing.T) {
	for seed := range uint64(20) {
		sim := newFaultlessSimulation(t, seed, 3)
		for place, n := range sim.nodes {
			diverge(n, uint64(place))
		}
		sim.runFor(time.Minute)
		if len(sim.resigned) > 0 || sim.notices[raft.NoticeStateDiffers] == 0 {
			t.Errorf("seed %d: %v resigned, %d noticed", seed, sim.resigned, sim.notices[raft.NoticeStateDiffers])
		}
		if leader := sim.leader(); leader == nil || len(leader.core.DivergentMembers()) == 0 {
			t.Errorf("seed %d: no member is reported as divergent", seed)
		}
	}
}

// Members of another build may hold another state, and are not compared.
func TestDigestsOfDifferentBuildsAreNotCompared(t *testing.T) {
	sim := newFaultlessSimulation(t, 1, 3)
	other := sim.nodes[(sim.leader().index+1)%3]
	other.core.digests.format++
	diverge(other, 1)
	sim.runFor(time.Minute)
	if len(sim.resigned) > 0 || sim.notices[raft.NoticeStateDiffers] > 0 {
		t.Errorf("%v resigned, %d noticed", sim.resigned, sim.notices[raft.NoticeStateDiffers])
	}
}

// An injected defect: without digests a divergent state stays, and is served.
func TestDivergentStateStaysWithoutDigests(t *testing.T) {
	sim := newFaultlessSimulation(t, 1, 3)
	for _, n := range sim.nodes {
		n.core.digests.period = 1 << 60
	}
	diverge(sim.nodes[(sim.leader().index+1)%3], 1)
	sim.runFor(time.Minute)
	sim.operatorsStopped = true
	if sim.runUntil(5*time.Second, func() bool { return statesAgree(sim) }) < 5*time.Second {
		t.Error("the check does not detect states that differ")
	}
}
