package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// safeToStopCountingItself is SafeToStop with an injected defect: it counts the member that leaves.
func safeToStopCountingItself(c *Core, now clock.Mark) bool { return c.SafeToStop(now, 0) }

// While another member's disk stalls, what is committed is only on the leader and on the one that leaves, so that one may
// not end; the one whose disk stalls may. Later both may.
func TestLeavingMemberWaitsForAnUpToDateMajority(t *testing.T) {
	caught := 0
	for seed := range uint64(20) {
		s := newFaultlessSimulation(t, seed, 3)
		here := s.presentMachines()
		leader, leaving, stalled := here[0].core, here[1].id, here[2]
		if !leader.SafeToStop(s.now, leaving) {
			t.Errorf("seed %d: it may not end though all members are up to date", seed)
		}
		stalled.stallUntil = s.now + clock.Mark(3*time.Second)
		ahead := func() bool { return leader.raft.CommitIndex() > leader.raft.MatchIndex(stalled.id) }
		s.runUntil(2500*time.Millisecond, ahead)
		if !ahead() || !leader.IsLeader() {
			t.Fatalf("seed %d: nothing was committed without the member whose disk stalls", seed)
		}
		if leader.SafeToStop(s.now, leaving) {
			t.Errorf("seed %d: it may end though the leader alone would hold the last entry", seed)
		}
		if !leader.SafeToStop(s.now, stalled.id) {
			t.Errorf("seed %d: one that lacks the last entry may not end", seed)
		}
		if safeToStopCountingItself(leader, s.now) {
			caught++
		}
		if here[1].core.SafeToStop(s.now, stalled.id) {
			t.Errorf("seed %d: a follower decides who may end", seed)
		}
		s.runFor(5 * time.Second)
		if !leader.SafeToStop(s.now, leaving) {
			t.Errorf("seed %d: it may not end though the stalled disk works again", seed)
		}
	}
	if caught == 0 {
		t.Error("the injected defect was not caught")
	}
}

// A member's announcement that it stops lies in a buffer, the member starts again and replies to a heartbeat, and then the
// announcement arrives, while another machine stands ready: the member keeps its vote. Without an incarnation, as builds
// before state it, it loses its place.
func TestLateAnnouncementOfAnEarlierIncarnationCostsNoVote(t *testing.T) {
	for name, c := range map[string]struct {
		stated, votes bool
	}{"stated": {true, true}, "not stated, the broken variant": {false, false}} {
		for seed := range uint64(10) {
			s := newFaultlessSimulation(t, seed, 3)
			leader := s.leader()
			member := s.nodes[(leader.index+1)%3]
			earlier := uint64(member.incarnation)
			if !c.stated {
				earlier = 0
			}
			member.crash()
			member.restart()
			s.addMachine()
			replacement := s.nodes[len(s.nodes)-1]
			if s.runUntil(5*time.Second, func() bool { return standsReady(s, replacement) }) >= 5*time.Second || s.leader() != leader {
				t.Fatalf("%s, seed %d: no machine stands ready, or another leads", name, seed)
			}
			leader.core.MarkLeaving(s.now, member.id, earlier)
			s.runFor(time.Second)
			if found, _ := leader.core.raft.Membership().Find(member.id); found.Voter != c.votes {
				t.Errorf("%s, seed %d: the member that started again votes: %t", name, seed, found.Voter)
			}
		}
	}
}
