package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// standsReady reports whether a machine is a learner that holds all that is committed.
func standsReady(sim *simulation, n *simulatedNode) bool {
	leader := sim.leader()
	if leader == nil {
		return false
	}
	member, known := leader.core.raft.Membership().Find(n.id)
	return known && !member.Voter && leader.core.raft.MatchIndex(n.id) >= leader.core.raft.CommitIndex()
}

// A machine of the group is removed for good, or stops after its replacement is ready. The replacement must become a
// voter within the few seconds that deployments allow, and the old one must be out.
func TestReplacementBecomesVoterInTime(t *testing.T) {
	const allowed = 4 * time.Second
	longest := time.Duration(0)
	for seed := range uint64(60) {
		size := []int{3, 5}[seed%2]
		sim := newFaultlessSimulation(t, seed, size)
		victim := sim.nodes[sim.random.IntN(size)]
		if seed%3 == 0 {
			victim = sim.leader()
		}
		planned := seed%4 < 2
		if planned {
			// The replacement starts first, then the old one transfers its leadership and stops.
			sim.addMachine()
			sim.runFor(time.Second)
			// A machine asks to join at random ticks: now and then it takes a little longer until it stands ready.
			replacement := sim.nodes[len(sim.nodes)-1]
			if sim.runUntil(time.Second, func() bool { return standsReady(sim, replacement) }) >= time.Second {
				t.Fatalf("seed %d: the replacement does not stand ready after two seconds", seed)
			}
			victim.execute(victim.core.Step(sim.now, raft.TransferLeadership{}))
			sim.runUntil(time.Second, func() bool { leader := sim.leader(); return leader != nil && leader != victim })
			sim.leader().core.MarkLeaving(sim.now, victim.id, 0)
			sim.runFor(300 * time.Millisecond)
			// The replacement must be a voter while the old one still runs, so that the next may be lost as soon as that one ends.
			members := sim.leader().core.raft.Membership()
			if old, in := members.Find(victim.id); in && old.Voter || len(members.Voters()) != size {
				t.Errorf("seed %d, %d members: one that stops still votes, though another stands ready: %v", seed, size, members)
			}
		}
		victim.crash()
		victim.removed = true
		if !planned {
			sim.runFor(time.Second)
			sim.addMachine()
		}
		took := sim.runUntil(allowed, sim.fullyRepaired)
		longest = max(longest, took)
		if took >= allowed {
			t.Errorf("seed %d, %d members, planned %t: not repaired %v after the new machine's start", seed, size, planned, took)
		}
		for _, violation := range sim.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	t.Logf("at most %v", longest)
}

// No voter is removed while no learner is ready.
func TestRestartDoesNotShrinkTheGroup(t *testing.T) {
	for seed := range uint64(20) {
		size := []int{3, 5}[seed%2]
		sim := newFaultlessSimulation(t, seed, size)
		stopped := sim.randomMachines(1)[0]
		stopped.execute(stopped.core.Step(sim.now, raft.TransferLeadership{}))
		sim.runFor(time.Second)
		sim.leader().core.MarkLeaving(sim.now, stopped.id, 0)
		sim.runFor(time.Second)
		stopped.crash()
		sim.runFor(30 * time.Second)
		if voters := len(sim.leader().core.raft.Membership().Voters()); voters != size {
			t.Errorf("seed %d: %d of %d machines vote after one was away for 30 s", seed, voters, size)
		}
		stopped.restart()
		if took := sim.runUntil(4*time.Second, sim.fullyRepaired); took >= 4*time.Second {
			t.Errorf("seed %d: not repaired %v after it came back", seed, took)
		}
	}
}

// The group has a leader again in time after its leader was killed, suspended or partitioned, and after all were killed.
func TestGroupRecoversInTimeAfterLeaderLoss(t *testing.T) {
	for name, c := range map[string]struct {
		strike func(sim *simulation)
		within time.Duration
	}{
		"the leader is killed":    {func(sim *simulation) { sim.leader().crash() }, 2500 * time.Millisecond},
		"the leader is suspended": {func(sim *simulation) { sim.leader().frozenUntil = sim.now + clock.Mark(20*time.Second) }, 2500 * time.Millisecond},
		"the leader is partitioned": {func(sim *simulation) {
			leader := sim.leader()
			for _, other := range sim.nodes {
				sim.partitioned[[2]int{leader.index, other.index}], sim.partitioned[[2]int{other.index, leader.index}] = true, true
			}
		}, 2500 * time.Millisecond},
		"the leader transfers its leadership": {func(sim *simulation) {
			leader := sim.leader()
			leader.execute(leader.core.Step(sim.now, raft.TransferLeadership{}))
		}, 400 * time.Millisecond},
		"all are killed": {func(sim *simulation) {
			for _, n := range sim.nodes {
				n.crash()
				sim.schedule(sim.randomDuration(300, 900), n.restart)
			}
		}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var took []time.Duration
			for seed := range uint64(60) {
				sim := newFaultlessSimulation(t, seed, []int{3, 5}[seed%2])
				was := sim.leader()
				c.strike(sim)
				took = append(took, sim.runUntil(10*time.Second, func() bool {
					now := sim.leader()
					return now != nil && (now != was || name == "all are killed")
				}))
				for _, violation := range sim.violations {
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
func TestResumedLeaderStepsDownOnFirstTick(t *testing.T) {
	for seed := range uint64(20) {
		sim := newFaultlessSimulation(t, seed, 3)
		frozen := sim.leader()
		frozen.frozenUntil = sim.now + clock.Mark(4*time.Second)
		sim.runFor(4 * time.Second)
		sim.runUntil(time.Second, func() bool { return frozen.lastTick >= frozen.frozenUntil })
		if frozen.core.IsLeader() {
			t.Errorf("seed %d: it still believes that it leads after its first tick", seed)
		}
	}
}
