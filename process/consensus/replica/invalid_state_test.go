package replica

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// A command that every member applies wrongly alike leaves equal digests, and a state that contradicts itself: that is
// noticed before it becomes a snapshot, and the log that tells how it came about is kept.
func TestStateThatContradictsItselfIsNotSnapshotted(t *testing.T) {
	sim := newFrequentlyCompactedSimulation(t, 1, 3, 25, 3)
	sim.faultsEnabled, sim.loss = false, 0
	sim.scheduleOperator()
	sim.runFor(10 * time.Second)
	if sim.notices[raft.NoticeStateInvalid] > 0 {
		t.Fatal("a correct state was found to contradict itself")
	}
	before := map[raft.MemberID]raft.Index{}
	for _, n := range sim.nodes {
		changes := n.core.state.ClosureChanges
		changes[0], changes[len(changes)-1] = changes[len(changes)-1], changes[0]
		before[n.id] = n.core.raft.SnapshotIndex()
	}
	sim.runFor(60 * time.Second)
	if sim.notices[raft.NoticeStateInvalid] == 0 || sim.notices[raft.NoticeStateDiffers] > 0 {
		t.Errorf("%d noticed, %d differ", sim.notices[raft.NoticeStateInvalid], sim.notices[raft.NoticeStateDiffers])
	}
	for _, n := range sim.nodes {
		if after := n.core.raft.SnapshotIndex(); after != before[n.id] {
			t.Errorf("member %d has a snapshot at %d, made after %d", n.id, after, before[n.id])
		}
	}
}
