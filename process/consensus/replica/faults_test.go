package replica

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

func TestGroupUnderFaults(t *testing.T) {
	seeds := uint64(60)
	// More seeds for a search: CRESSPOND_SEEDS=5000 go test ./process/consensus/replica
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 64); err == nil {
		seeds = wanted
	}
	mints, acks, reads, crashes, wipes, replaced, losses := 0, 0, 0, 0, 0, 0, 0
	compared, notices := 0, map[raft.NoticeKind]int{}
	for seed := range seeds {
		size := []int{3, 3, 1, 5, 3, 1}[seed%6]
		sim := newSimulation(t, seed, size, noDefect)
		sim.runHistory(90 * time.Second)
		for _, violation := range sim.violations {
			t.Errorf("seed %d, %d members: %s", seed, size, violation)
		}
		mints, acks, reads, crashes = mints+sim.mints, acks+sim.acks, reads+sim.reads, crashes+sim.crashes
		wipes, replaced, losses = wipes+sim.wipes, replaced+sim.replaced, losses+sim.losses
		compared += sim.digestsCompared
		for kind, count := range sim.notices {
			notices[kind] += count
		}
	}
	t.Logf("%d digests compared, notices: %v", compared, notices)
	if compared == 0 || notices[raft.NoticeSnapshotInstalled] == 0 || notices[raft.NoticeStateDiffers] > 0 || notices[raft.NoticeMessageRejected] > 0 {
		t.Errorf("%d digests were compared; notices: %v", compared, notices)
	}
	t.Logf("seeds 0 to %d: %d ids generated, %d closures acknowledged, %d reads checked, %d crashes, %d wiped disks, %d machines replaced, %d times the most at once", seeds-1, mints, acks, reads, crashes, wipes, replaced, losses)
}

// TestCheckerCatchesInjectedDefects proves the checker: some seed must catch each defect.
func TestCheckerCatchesInjectedDefects(t *testing.T) {
	for _, broken := range []defect{lyingDisk, forgottenVotes, unconfirmedReads, forgottenFloors, overrunLease, wipedKeepsIdentity} {
		t.Run(string(broken), func(t *testing.T) {
			for seed := range uint64(80) {
				sim := newSimulation(t, seed, 3, broken)
				if broken == lyingDisk {
					sim.losePowerWhileWriting()
				}
				if caught := sim.runUntilViolation(90 * time.Second); caught != "" {
					t.Logf("seed %d: %s", seed, caught)
					return
				}
			}
			t.Error("no seed caught it")
		})
	}
}

// The faults that catch a lying disk find nothing where disks are sound.
func TestGroupSurvivesPowerLossDuringWrites(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 3, noDefect)
		sim.losePowerWhileWriting()
		if fault := sim.runUntilViolation(90 * time.Second); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}

// With disks that take 150 ms for each write the group continues under one leader.
func TestSlowDisksCauseNoElection(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 3, noDefect)
		sim.faultsEnabled, sim.loss, sim.writeDuration = false, 0, 150*time.Millisecond
		sim.runFor(10 * time.Second)
		terms, acks := len(sim.leaderOf), 0
		var shut func(number int)
		shut = func(number int) {
			command := statemachine.Command{Op: statemachine.OpClosure, Zone: "z", Closed: acks%2 == 0}
			sim.request(sim.nodes[number%3], &command, func(a Response) {
				if a.Outcome == Applied {
					acks++
				}
				if acks < 12 {
					shut(number + 1)
				}
			})
		}
		shut(0)
		sim.runFor(30 * time.Second)
		if acks != 12 || terms == 0 || len(sim.leaderOf) != terms || len(sim.violations) > 0 {
			t.Errorf("seed %d: %d of 12 acknowledged, from %d to %d leaders, %v", seed, acks, terms, len(sim.leaderOf), sim.violations)
		}
	}
}
