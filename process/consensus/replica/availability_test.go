package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// A machine of the group is removed for good, or stops after its replacement is ready. The replacement must become a
// voter within the few seconds that deployments allow, and the old one must be out.
func TestReplacementBecomesVoterInTime(t *testing.T) {
	const allowed = 4 * time.Second
	longest := time.Duration(0)
	for seed := range uint64(60) {
		size := []int{3, 5}[seed%2]
		s := newFaultlessSimulation(t, seed, size)
		victim := s.nodes[s.random.IntN(size)]
		if seed%3 == 0 {
			victim = s.leader()
		}
		planned := seed%4 < 2
		if planned {
			// The replacement starts first, then the old one transfers its leadership and stops.
			s.addMachine()
			s.runFor(time.Second)
			victim.execute(victim.core.Step(s.now, raft.TransferLeadership{}))
			s.runUntil(time.Second, func() bool { leader := s.leader(); return leader != nil && leader != victim })
			s.leader().core.MarkLeaving(s.now, victim.id)
			s.runFor(300 * time.Millisecond)
			// The replacement must be a voter while the old one still runs, so that the next may be lost as soon as that one ends.
			members := s.leader().core.raft.Membership()
			if old, in := members.Find(victim.id); in && old.Voter || len(members.Voters()) != size {
				t.Errorf("seed %d, %d members: one that stops still votes, though another stands ready: %v", seed, size, members)
			}
		}
		victim.crash()
		victim.removed = true
		if !planned {
			s.runFor(time.Second)
			s.addMachine()
		}
		took := s.runUntil(allowed, s.fullyRepaired)
		longest = max(longest, took)
		if took >= allowed {
			t.Errorf("seed %d, %d members, planned %t: not repaired %v after the new machine's start", seed, size, planned, took)
		}
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	t.Logf("at most %v", longest)
}

// No voter is removed while no learner is ready.
func TestRestartDoesNotShrinkTheGroup(t *testing.T) {
	for seed := range uint64(20) {
		size := []int{3, 5}[seed%2]
		s := newFaultlessSimulation(t, seed, size)
		stopped := s.randomMachines(1)[0]
		stopped.execute(stopped.core.Step(s.now, raft.TransferLeadership{}))
		s.runFor(time.Second)
		s.leader().core.MarkLeaving(s.now, stopped.id)
		s.runFor(time.Second)
		stopped.crash()
		s.runFor(30 * time.Second)
		if voters := len(s.leader().core.raft.Membership().Voters()); voters != size {
			t.Errorf("seed %d: %d of %d machines vote after one was away for 30 s", seed, voters, size)
		}
		stopped.restart()
		if took := s.runUntil(4*time.Second, s.fullyRepaired); took >= 4*time.Second {
			t.Errorf("seed %d: not repaired %v after it came back", seed, took)
		}
	}
}

// The group has a leader again in time after its leader was killed, suspended or partitioned, and after all were killed.
func TestGroupRecoversInTimeAfterLeaderLoss(t *testing.T) {
	for name, c := range map[string]struct {
		strike func(s *simulation)
		within time.Duration
	}{
		"the leader is killed":    {func(s *simulation) { s.leader().crash() }, 2500 * time.Millisecond},
		"the leader is suspended": {func(s *simulation) { s.leader().frozenUntil = s.now + clock.Mark(20*time.Second) }, 2500 * time.Millisecond},
		"the leader is partitioned": {func(s *simulation) {
			leader := s.leader()
			for _, other := range s.nodes {
				s.partitioned[[2]int{leader.index, other.index}], s.partitioned[[2]int{other.index, leader.index}] = true, true
			}
		}, 2500 * time.Millisecond},
		"the leader transfers its leadership": {func(s *simulation) {
			leader := s.leader()
			leader.execute(leader.core.Step(s.now, raft.TransferLeadership{}))
		}, 400 * time.Millisecond},
		"all are killed": {func(s *simulation) {
			for _, n := range s.nodes {
				n.crash()
				s.schedule(s.randomDuration(300, 900), n.restart)
			}
		}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var took []time.Duration
			for seed := range uint64(60) {
				s := newFaultlessSimulation(t, seed, []int{3, 5}[seed%2])
				was := s.leader()
				c.strike(s)
				took = append(took, s.runUntil(10*time.Second, func() bool {
					now := s.leader()
					return now != nil && (now != was || name == "all are killed")
				}))
				for _, violation := range s.violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
			slices.Sort(took)
			t.Logf("median %v, longest %v", took[len(took)/2], took[len(took)-1])
			// Two candidates of the same moment split the vote now and then.
			if at := took[len(took)*9/10]; at > c.within {
				t.Errorf("nine of ten take up to %v, and %v is allowed", at, c.within)
			}
		})
	}
}

// A leader that was suspended has been succeeded by another meanwhile.
func TestResumedLeaderStepsDownBeforeItActs(t *testing.T) {
	for seed := range uint64(20) {
		s := newFaultlessSimulation(t, seed, 3)
		frozen := s.leader()
		frozen.frozenUntil = s.now + clock.Mark(4*time.Second)
		s.runFor(4 * time.Second)
		s.runUntil(time.Second, func() bool { return frozen.lastTick >= frozen.frozenUntil })
		if frozen.core.IsLeader() {
			t.Errorf("seed %d: it still believes that it leads after its first tick", seed)
		}
	}
}
