package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// TestAReplacedMachineVotesInTime: a machine of the group is gone for good, or stops after another stands
// ready; the one that comes must vote within the few seconds that deployments allow, and the old one be out.
func TestAReplacedMachineVotesInTime(t *testing.T) {
	const allowed = 4 * time.Second
	longest := time.Duration(0)
	for seed := range uint64(60) {
		size := []int{3, 5}[seed%2]
		s := calmSim(t, seed, size)
		victim := s.nodes[s.random.IntN(size)]
		if seed%3 == 0 {
			victim = s.leader()
		}
		planned := seed%4 < 2
		if planned {
			// The new one first, then the old one stops and hands over.
			s.add()
			s.runFor(time.Second)
			victim.carryOut(victim.core.Step(s.now, raft.TransferLeadership{}))
			s.until(time.Second, func() bool { leader := s.leader(); return leader != nil && leader != victim })
			s.leader().core.MarkLeaving(s.now, victim.id)
			s.runFor(300 * time.Millisecond)
			// While it still runs the other has its vote, so that the next may be lost as soon as it ends.
			members := s.leader().core.raft.Membership()
			if old, in := members.Find(victim.id); in && old.Voter || len(members.Voters()) != size {
				t.Errorf("seed %d, %d members: one that stops still votes, though another stands ready: %v", seed, size, members)
			}
		}
		victim.crash()
		victim.gone = true
		if !planned {
			s.runFor(time.Second)
			s.add()
		}
		took := s.until(allowed, s.whole)
		longest = max(longest, took)
		if took >= allowed {
			t.Errorf("seed %d, %d members, planned %t: not whole %v after the new machine's start", seed, size, planned, took)
		}
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	t.Logf("at most %v", longest)
}

// TestAStopThatMayBeARestartDoesNotShrinkTheGroup: nobody is let go while nobody stands ready.
func TestAStopThatMayBeARestartDoesNotShrinkTheGroup(t *testing.T) {
	for seed := range uint64(20) {
		size := []int{3, 5}[seed%2]
		s := calmSim(t, seed, size)
		stopped := s.some(1)[0]
		stopped.carryOut(stopped.core.Step(s.now, raft.TransferLeadership{}))
		s.runFor(time.Second)
		s.leader().core.MarkLeaving(s.now, stopped.id)
		s.runFor(time.Second)
		stopped.crash()
		s.runFor(30 * time.Second)
		if voters := len(s.leader().core.raft.Membership().Voters()); voters != size {
			t.Errorf("seed %d: %d of %d machines vote after one was away for 30 s", seed, voters, size)
		}
		stopped.revive()
		if took := s.until(4*time.Second, s.whole); took >= 4*time.Second {
			t.Errorf("seed %d: not whole %v after it came back", seed, took)
		}
	}
}

// TestTheGroupActsAgainSoon: after its leader was killed, frozen or cut off, and after all were killed at once.
func TestTheGroupActsAgainSoon(t *testing.T) {
	for name, c := range map[string]struct {
		strike func(s *sim)
		within time.Duration
	}{
		"the leader is killed": {func(s *sim) { s.leader().crash() }, 2500 * time.Millisecond},
		"the leader freezes":   {func(s *sim) { s.leader().frozenUntil = s.now + clock.Mark(20*time.Second) }, 2500 * time.Millisecond},
		"the leader is cut off": {func(s *sim) {
			leader := s.leader()
			for _, other := range s.nodes {
				s.cut[[2]int{leader.place, other.place}], s.cut[[2]int{other.place, leader.place}] = true, true
			}
		}, 2500 * time.Millisecond},
		"the leader stops as planned": {func(s *sim) {
			leader := s.leader()
			leader.carryOut(leader.core.Step(s.now, raft.TransferLeadership{}))
		}, 400 * time.Millisecond},
		"all are killed": {func(s *sim) {
			for _, n := range s.nodes {
				n.crash()
				s.after(s.ms(300, 900), n.revive)
			}
		}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var took []time.Duration
			for seed := range uint64(60) {
				s := calmSim(t, seed, []int{3, 5}[seed%2])
				was := s.leader()
				c.strike(s)
				took = append(took, s.until(10*time.Second, func() bool {
					now := s.leader()
					return now != nil && (now != was || name == "all are killed")
				}))
				for _, violation := range s.violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
			slices.Sort(took)
			t.Logf("median %v, longest %v", took[len(took)/2], took[len(took)-1])
			// Two that ask at the same moment may have to ask again, now and then.
			if at := took[len(took)*9/10]; at > c.within {
				t.Errorf("nine of ten take up to %v, and %v is allowed", at, c.within)
			}
		})
	}
}

// TestAThawedLeaderHasSteppedDownBeforeItActs: it was followed by another meanwhile.
func TestAThawedLeaderHasSteppedDownBeforeItActs(t *testing.T) {
	for seed := range uint64(20) {
		s := calmSim(t, seed, 3)
		frozen := s.leader()
		frozen.frozenUntil = s.now + clock.Mark(4*time.Second)
		s.runFor(4 * time.Second)
		s.until(time.Second, func() bool { return frozen.beaten >= frozen.frozenUntil })
		if frozen.core.IsLeader() {
			t.Errorf("seed %d: it still believes that it leads after its first beat", seed)
		}
	}
}
