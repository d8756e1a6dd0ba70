package replica

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// newFrequentlyCompactedSimulation makes a group whose log is compacted so often that every absence ends with a snapshot.
func newFrequentlyCompactedSimulation(t *testing.T, seed uint64, size, every, keep int) *simulation {
	config := simulationConfig(size)
	config.CompactEntries, config.RetainEntries = every, keep
	return newSimulationWith(t, seed, config, noDefect)
}

// seedCount is how many seeds are played; CRESSPOND_SEEDS sets more for a search.
func seedCount(usual uint64) uint64 {
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 64); err == nil {
		return wanted
	}
	return usual
}

// The same faults with logs compacted after a few entries: every restart, partition and wipe meets snapshots.
func TestGroupUnderFaultsWithFrequentSnapshots(t *testing.T) {
	notices, compared := map[raft.NoticeKind]int{}, 0
	seeds := seedCount(30)
	for seed := range seeds {
		size := []int{3, 5, 3}[seed%3]
		shape := [][2]int{{25, 3}, {5, 1}, {12, 0}}[seed%3]
		sim := newFrequentlyCompactedSimulation(t, seed, size, shape[0], shape[1])
		sim.runHistory(60 * time.Second)
		for _, violation := range sim.violations {
			t.Errorf("seed %d, %d members, cut after %d, %d kept: %s", seed, size, shape[0], shape[1], violation)
		}
		compared += sim.digestsCompared
		for kind, count := range sim.notices {
			notices[kind] += count
		}
	}
	t.Logf("%d seeds: %d digests compared, notices: %v", seeds, compared, notices)
	if uint64(notices[raft.NoticeSnapshotInstalled]) < seeds || notices[raft.NoticeStateDiffers] > 0 {
		t.Errorf("notices: %v", notices)
	}
}

// Snapshots damaged in transit, with a checksum and without one, are rejected and sent again; no member fails, none
// installs one whose damage can be detected, and all are repaired in time.
func TestSnapshotsDamagedInTransitAreRejected(t *testing.T) {
	refused := 0
	for seed := range seedCount(20) {
		sim := newFrequentlyCompactedSimulation(t, seed, 3, 10, 2)
		sim.damageSnapshot = func(m *raft.Message) {
			if sim.random.IntN(3) != 0 || len(m.Snapshot.Data) == 0 {
				return
			}
			changed := *m.Snapshot
			changed.Data = slices.Clone(changed.Data)
			if seed%2 == 0 {
				// A byte of text altered, as only a checksum can detect.
				changed.Data[sim.random.IntN(len(changed.Data))] ^= 1
			} else {
				// As a build without checksums sends it, truncated.
				changed.Checksum, changed.Data = nil, changed.Data[:sim.random.IntN(len(changed.Data))]
				m.SnapshotSize = uint64(len(changed.Data))
			}
			m.Snapshot = &changed
		}
		sim.runHistory(60 * time.Second)
		for _, violation := range sim.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		refused += sim.notices[raft.NoticeSnapshotRejected]
	}
	t.Logf("%d refused", refused)
	if refused == 0 {
		t.Error("no snapshot was rejected")
	}
}

// An injected defect: where checksums are left out, an altered state that can be read is detected by the digests.
func TestDigestsCatchAlteredSnapshotsWithoutChecksum(t *testing.T) {
	for seed := range uint64(60) {
		sim := newFaultlessSimulation(t, seed, 3)
		sim.resignationExpected = true
		changed := 0
		sim.damageSnapshot = func(m *raft.Message) {
			state, err := statemachine.Restore(m.Snapshot.Data)
			if err != nil {
				t.Fatal(err)
			}
			state.PlannerLease.OrdersSequence++
			other := *m.Snapshot
			other.Checksum, other.Data = nil, state.Snapshot()
			m.Snapshot, m.SnapshotSize = &other, uint64(len(other.Data))
			changed++
		}
		victim := sim.nodes[(sim.leader().index+1)%3]
		victim.crash()
		sim.runFor(20 * time.Second)
		victim.restart()
		sim.runUntil(5*time.Second, func() bool { return changed > 0 })
		sim.damageSnapshot = nil
		sim.runUntil(time.Minute, func() bool { return len(sim.resigned) > 0 })
		if changed > 0 && len(sim.resigned) > 0 {
			t.Logf("seed %d: %v resigned", seed, sim.resigned)
			return
		}
	}
	t.Error("no seed caught it")
}
