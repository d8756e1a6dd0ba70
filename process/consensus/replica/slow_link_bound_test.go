package replica

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// largestState is a state that remembers as many changes as any does.
func largestState(t *testing.T) []byte {
	t.Helper()
	state := statemachine.New()
	limit := statemachine.DefaultLimits().Versions
	for change := range limit + 10 {
		command := statemachine.Command{
			Op: statemachine.OpApply, At: ident.GroupTime(1000 + change), Operator: "operator", Digest: fmt.Sprintf("%064d", change),
			BaseRevision: ident.Revision(change), Revision: ident.Revision(change + 1), Configuration: make([]byte, 22<<10), Compressed: true,
		}
		data, err := json.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		if result := state.Apply(data); result.Outcome != statemachine.Done {
			t.Fatalf("change %d: %+v", change, result)
		}
	}
	return state.Snapshot()
}

// A machine comes with an empty disk while the state remembers all that it may and the log is as long as it may be before
// it is compacted, over links of 10 Mbit/s and with slow disks: it votes within catchUpTime.
func TestEmptyMachineVotesInTimeWithTheLargestStateAndLog(t *testing.T) {
	state := largestState(t)
	longest := time.Duration(0)
	for seed := range uint64(3) {
		config := DefaultConfig()
		sim := newSimulationWith(t, seed, config, noDefect)
		sim.faultsEnabled, sim.loss, sim.writeDuration = false, 0, slowWriteDuration
		for _, n := range sim.nodes {
			n.crash()
			n.disk.state.Snapshot.Data = state
			n.restart()
		}
		sim.runFor(5 * time.Second)
		const entryBytes = 30 << 10
		sim.fillLog(t, config.CompactBytes/entryBytes-2, entryBytes)
		if sim.leader().core.raft.SnapshotIndex() != 1 {
			t.Fatalf("seed %d: the log was compacted", seed)
		}
		sim.linkBytesPerSecond, sim.sentBytes = tenMegabitsPerSecond, 0
		victim := sim.presentMachines()[1]
		victim.wipe()
		sim.runUntil(5*time.Second, func() bool { return victim.up })
		took := sim.runUntil(20*time.Second, sim.fullyRepaired)
		longest = max(longest, took)
		t.Logf("seed %d: %d kB of state, votes %v after its start, %d kB sent", seed, len(state)>>10, took, sim.sentBytes>>10)
		for _, violation := range sim.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if longest > catchUpTime {
		t.Errorf("an empty machine votes only after %v", longest)
	}
}
