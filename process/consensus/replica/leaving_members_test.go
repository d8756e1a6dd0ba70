package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// heldWithoutItsOwn is HeldWithout with the mistake of counting the one that leaves.
func heldWithoutItsOwn(c *Core, now clock.Mark) bool { return c.SafeToStop(now, 0) }

// TestOneThatLeavesWaitsForTheOthers: while another's disk stalls, what is committed stands on the leader and on the one
// that leaves, so it may not end; the one whose disk stalls may. Later both may.
func TestOneThatLeavesWaitsForTheOthers(t *testing.T) {
	caught := 0
	for seed := range uint64(20) {
		s := calmSim(t, seed, 3)
		here := s.here()
		leader, leaving, stalled := here[0].core, here[1].id, here[2]
		if !leader.SafeToStop(s.now, leaving) {
			t.Errorf("seed %d: it may not end though all hold all", seed)
		}
		stalled.stallUntil = s.now + clock.Mark(3*time.Second)
		ahead := func() bool { return leader.raft.CommitIndex() > leader.raft.MatchIndex(stalled.id) }
		s.until(2500*time.Millisecond, ahead)
		if !ahead() || !leader.IsLeader() {
			t.Fatalf("seed %d: nothing was committed without the one whose disk stalls", seed)
		}
		if leader.SafeToStop(s.now, leaving) {
			t.Errorf("seed %d: it may end, and the leader alone holds the last entry", seed)
		}
		if !leader.SafeToStop(s.now, stalled.id) {
			t.Errorf("seed %d: one that holds nothing of its own may not end", seed)
		}
		if heldWithoutItsOwn(leader, s.now) {
			caught++
		}
		if here[1].core.SafeToStop(s.now, stalled.id) {
			t.Errorf("seed %d: a follower says who may end", seed)
		}
		s.runFor(5 * time.Second)
		if !leader.SafeToStop(s.now, leaving) {
			t.Errorf("seed %d: it may not end though the stalled disk goes on", seed)
		}
	}
	if caught == 0 {
		t.Error("counting the one that leaves was never wrong")
	}
}
