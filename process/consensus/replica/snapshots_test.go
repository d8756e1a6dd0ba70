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

// cutOften is a group whose log is cut so often that every absence ends with a snapshot.
func cutOften(t *testing.T, seed uint64, size, every, keep int) *sim {
	config := simConfig(size)
	config.CompactEntries, config.RetainEntries = every, keep
	return newSimWith(t, seed, config, sound)
}

// seedsOr is how many seeds are played: more for a search by CRESSPOND_SEEDS.
func seedsOr(usual uint64) uint64 {
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 64); err == nil {
		return wanted
	}
	return usual
}

// The same troubles with logs cut after a few entries: every restart, cut and wipe meets snapshots.
func TestGroupUnderTroubleWithShortLogs(t *testing.T) {
	notices, compared := map[raft.NoticeKind]int{}, 0
	seeds := seedsOr(30)
	for seed := range seeds {
		size := []int{3, 5, 3}[seed%3]
		shape := [][2]int{{25, 3}, {5, 1}, {12, 0}}[seed%3]
		s := cutOften(t, seed, size, shape[0], shape[1])
		s.run(60 * time.Second)
		for _, violation := range s.violations {
			t.Errorf("seed %d, %d members, cut after %d, %d kept: %s", seed, size, shape[0], shape[1], violation)
		}
		compared += s.compared
		for kind, count := range s.notices {
			notices[kind] += count
		}
	}
	t.Logf("%d seeds: %d digests compared, notices: %v", seeds, compared, notices)
	if uint64(notices[raft.NoticeSnapshotInstalled]) < seeds || notices[raft.NoticeStateDiffers] > 0 {
		t.Errorf("notices: %v", notices)
	}
}

// Snapshots damaged on their way, with a checksum and without one, are refused and sent anew; no member ends, none
// takes a damaged one that can be told, and all are whole in time.
func TestSnapshotsDamagedOnTheirWayAreRefused(t *testing.T) {
	refused := 0
	for seed := range seedsOr(20) {
		s := cutOften(t, seed, 3, 10, 2)
		s.damage = func(m *raft.Message) {
			if s.random.IntN(3) != 0 || len(m.Snapshot.Data) == 0 {
				return
			}
			changed := *m.Snapshot
			changed.Data = slices.Clone(changed.Data)
			if seed%2 == 0 {
				// A byte of text changed, as only a checksum can tell.
				changed.Data[s.random.IntN(len(changed.Data))] ^= 1
			} else {
				// As a build without checksums sends it, cut short.
				changed.Checksum, changed.Data = nil, changed.Data[:s.random.IntN(len(changed.Data))]
				m.SnapshotSize = uint64(len(changed.Data))
			}
			m.Snapshot = &changed
		}
		s.run(60 * time.Second)
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		refused += s.notices[raft.NoticeSnapshotRejected]
	}
	t.Logf("%d refused", refused)
	if refused == 0 {
		t.Error("none was refused")
	}
}

// The broken variant: where checksums are taken off, a changed byte that can be read is seen by the digests of states.
func TestChangedSnapshotsWithoutChecksumAreCaughtByDigests(t *testing.T) {
	for seed := range uint64(60) {
		s := calmSim(t, seed, 3)
		s.mayGiveUp = true
		changed := 0
		s.damage = func(m *raft.Message) {
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
		victim := s.nodes[(s.leader().place+1)%3]
		victim.crash()
		s.runFor(20 * time.Second)
		victim.revive()
		s.until(5*time.Second, func() bool { return changed > 0 })
		s.damage = nil
		s.until(time.Minute, func() bool { return len(s.gaveUp) > 0 })
		if changed > 0 && len(s.gaveUp) > 0 {
			t.Logf("seed %d: %v gave up", seed, s.gaveUp)
			return
		}
	}
	t.Error("no seed caught it")
}
