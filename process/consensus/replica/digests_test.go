package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// diverge makes a member's state differ from what its log says.
func diverge(n *simulatedNode, by uint64) {
	n.sim.resignationExpected = true
	n.core.state.PlannerLease.OrdersSequence += by
}

// statesAgree reports whether all members applied the same entries and hold equal states.
func statesAgree(s *simulation) bool {
	var first *simulatedNode
	for _, n := range s.nodes {
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

// A member whose state diverges, leader or not, is detected by its digest, gives up its state and votes again with a
// correct one; no other member resigns.
func TestDivergentMemberResignsAndRejoins(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(40) {
		size := []int{3, 5}[seed%2]
		s := newFaultlessSimulation(t, seed, size)
		victim := s.leader()
		if seed%4 < 2 {
			victim = s.nodes[(victim.index+1)%size]
		}
		id := victim.id
		diverge(victim, 1)
		longest = max(longest, s.runUntil(time.Minute, func() bool { return len(s.resigned) > 0 }))
		if len(s.resigned) != 1 || s.resigned[0] != id {
			t.Fatalf("seed %d: %v resigned, and the state of %d diverged", seed, s.resigned, id)
		}
		if took := s.runUntil(10*time.Second, s.fullyRepaired); took >= 10*time.Second {
			t.Errorf("seed %d: not repaired %v after it resigned", seed, took)
		}
		s.runFor(30 * time.Second)
		s.operatorsStopped = true
		if s.runUntil(5*time.Second, func() bool { return statesAgree(s) }) >= 5*time.Second || len(s.resigned) != 1 {
			t.Errorf("seed %d: states differ in the end, %v resigned", seed, s.resigned)
		}
		if s.notices[raft.NoticeStateDiffers] == 0 {
			t.Errorf("seed %d: no divergence was noticed", seed)
		}
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	t.Logf("found within %v", longest)
}

// Of two divergent members in a group of five one resigns at a time: the next only once the first is replaced.
func TestDivergentMembersResignOneAtATime(t *testing.T) {
	for seed := range uint64(20) {
		s := newFaultlessSimulation(t, seed, 5)
		leaderIndex := s.leader().index
		diverge(s.nodes[(leaderIndex+1)%5], 1)
		diverge(s.nodes[(leaderIndex+2)%5], 1+seed%2)
		if s.runUntil(time.Minute, func() bool { return len(s.resigned) == 1 }); len(s.resigned) != 1 {
			t.Fatalf("seed %d: %v resigned", seed, s.resigned)
		}
		first := s.resigned[0]
		s.runUntil(time.Minute, func() bool {
			members := s.leader()
			if members == nil {
				return false
			}
			if _, belongs := members.core.raft.Membership().Find(first); belongs && len(s.resigned) > 1 {
				t.Errorf("seed %d: a second resigned before the first was replaced", seed)
			}
			return len(s.resigned) == 2
		})
		if len(s.resigned) != 2 || s.runUntil(15*time.Second, s.fullyRepaired) >= 15*time.Second {
			t.Errorf("seed %d: %v resigned, repaired: %t", seed, s.resigned, s.fullyRepaired())
		}
	}
}

// Where no majority agrees no member resigns, since none can know which state is right. The divergence is noticed.
func TestNoMemberResignsWithoutAMajorityDigest(t *testing.T) {
	for seed := range uint64(20) {
		s := newFaultlessSimulation(t, seed, 3)
		for place, n := range s.nodes {
			diverge(n, uint64(place))
		}
		s.runFor(time.Minute)
		if len(s.resigned) > 0 || s.notices[raft.NoticeStateDiffers] == 0 {
			t.Errorf("seed %d: %v resigned, %d noticed", seed, s.resigned, s.notices[raft.NoticeStateDiffers])
		}
		if leader := s.leader(); leader == nil || len(leader.core.DivergentMembers()) == 0 {
			t.Errorf("seed %d: no member is reported as divergent", seed)
		}
	}
}

// Members of another build may hold another state, and are not compared.
func TestDigestsOfDifferentBuildsAreNotCompared(t *testing.T) {
	s := newFaultlessSimulation(t, 1, 3)
	other := s.nodes[(s.leader().index+1)%3]
	other.core.digests.format++
	diverge(other, 1)
	s.runFor(time.Minute)
	if len(s.resigned) > 0 || s.notices[raft.NoticeStateDiffers] > 0 {
		t.Errorf("%v resigned, %d noticed", s.resigned, s.notices[raft.NoticeStateDiffers])
	}
}

// An injected defect: without digests a divergent state stays, and is served.
func TestDivergentStateStaysWithoutDigests(t *testing.T) {
	s := newFaultlessSimulation(t, 1, 3)
	for _, n := range s.nodes {
		n.core.digests.interval = 1 << 40
	}
	diverge(s.nodes[(s.leader().index+1)%3], 1)
	s.runFor(time.Minute)
	s.operatorsStopped = true
	if s.runUntil(5*time.Second, func() bool { return statesAgree(s) }) < 5*time.Second {
		t.Error("the check does not detect states that differ")
	}
}
