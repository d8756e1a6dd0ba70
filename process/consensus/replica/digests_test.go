package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// parted makes a member's state another than its log says.
func parted(n *simNode, by uint64) {
	n.sim.mayGiveUp = true
	n.core.state.PlannerLease.OrdersSequence += by
}

// agree says that all members applied as much and hold equal states.
func agree(s *sim) bool {
	var first *simNode
	for _, n := range s.nodes {
		if n.gone {
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

// A member whose state differs, whoever it is, is found by its digest, gives up its state and votes again with a
// sound one; nobody else gives up.
func TestMemberWhoseStateDiffersGivesItUp(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(40) {
		size := []int{3, 5}[seed%2]
		s := calmSim(t, seed, size)
		victim := s.leader()
		if seed%4 < 2 {
			victim = s.nodes[(victim.place+1)%size]
		}
		id := victim.id
		parted(victim, 1)
		longest = max(longest, s.until(time.Minute, func() bool { return len(s.gaveUp) > 0 }))
		if len(s.gaveUp) != 1 || s.gaveUp[0] != id {
			t.Fatalf("seed %d: %v gave up, and the state of %d differed", seed, s.gaveUp, id)
		}
		if took := s.until(10*time.Second, s.whole); took >= 10*time.Second {
			t.Errorf("seed %d: not whole %v after it gave up", seed, took)
		}
		s.runFor(30 * time.Second)
		s.ended = true
		if s.until(5*time.Second, func() bool { return agree(s) }) >= 5*time.Second || len(s.gaveUp) != 1 {
			t.Errorf("seed %d: states differ in the end, %v gave up", seed, s.gaveUp)
		}
		if s.notices[raft.NoticeStateDiffers] == 0 {
			t.Errorf("seed %d: nothing was noticed", seed)
		}
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	t.Logf("found within %v", longest)
}

// Of two that differ in a group of five one gives up at a time: the next only once the first one's place is taken.
func TestMembersThatDifferGiveUpOneAtATime(t *testing.T) {
	for seed := range uint64(20) {
		s := calmSim(t, seed, 5)
		at := s.leader().place
		parted(s.nodes[(at+1)%5], 1)
		parted(s.nodes[(at+2)%5], 1+seed%2)
		if s.until(time.Minute, func() bool { return len(s.gaveUp) == 1 }); len(s.gaveUp) != 1 {
			t.Fatalf("seed %d: %v gave up", seed, s.gaveUp)
		}
		first := s.gaveUp[0]
		s.until(time.Minute, func() bool {
			members := s.leader()
			if members == nil {
				return false
			}
			if _, belongs := members.core.raft.Membership().Find(first); belongs && len(s.gaveUp) > 1 {
				t.Errorf("seed %d: a second gave up while the first one's place was not taken", seed)
			}
			return len(s.gaveUp) == 2
		})
		if len(s.gaveUp) != 2 || s.until(15*time.Second, s.whole) >= 15*time.Second {
			t.Errorf("seed %d: %v gave up, whole: %t", seed, s.gaveUp, s.whole())
		}
	}
}

// Where no majority agrees nobody gives up: nobody knows who is right. It is noticed.
func TestNobodyGivesUpWithoutAMajority(t *testing.T) {
	for seed := range uint64(20) {
		s := calmSim(t, seed, 3)
		for place, n := range s.nodes {
			parted(n, uint64(place))
		}
		s.runFor(time.Minute)
		if len(s.gaveUp) > 0 || s.notices[raft.NoticeStateDiffers] == 0 {
			t.Errorf("seed %d: %v gave up, %d noticed", seed, s.gaveUp, s.notices[raft.NoticeStateDiffers])
		}
		if leader := s.leader(); leader == nil || len(leader.core.DivergentMembers()) == 0 {
			t.Errorf("seed %d: nobody is said to differ", seed)
		}
	}
}

// Members of another build may hold another state, and are not compared.
func TestBuildsThatApplyOtherwiseAreNotCompared(t *testing.T) {
	s := calmSim(t, 1, 3)
	other := s.nodes[(s.leader().place+1)%3]
	other.core.digests.form++
	parted(other, 1)
	s.runFor(time.Minute)
	if len(s.gaveUp) > 0 || s.notices[raft.NoticeStateDiffers] > 0 {
		t.Errorf("%v gave up, %d noticed", s.gaveUp, s.notices[raft.NoticeStateDiffers])
	}
}

// The broken variant: without digests a differing state stays, and is served.
func TestWithoutDigestsADifferingStateStays(t *testing.T) {
	s := calmSim(t, 1, 3)
	for _, n := range s.nodes {
		n.core.digests.interval = 1 << 40
	}
	parted(s.nodes[(s.leader().place+1)%3], 1)
	s.runFor(time.Minute)
	s.ended = true
	if s.until(5*time.Second, func() bool { return agree(s) }) < 5*time.Second {
		t.Error("the check does not see states that differ")
	}
}
