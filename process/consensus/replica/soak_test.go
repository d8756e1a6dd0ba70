package replica

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
)

// 2,000 changes of a bundle of 3,000 routes, with restarts, wipes, leader changes and long absences, and a log that
// is compacted after 25 entries.
func TestThousandsOfConfigurationChanges(t *testing.T) {
	sim := newSoak(t, 1, 25, 3)
	var found []soakMeasurement
	for _, mark := range []int{0, 100, 500, 2000} {
		sim.run(mark, func() {
			if sim.changes%7 == 0 {
				sim.injectFault()
			}
		})
		found = append(found, sim.measure())
		t.Log(found[len(found)-1])
	}
	for _, fault := range append(growthViolations(found[2], found[3], 3), sim.violations...) {
		t.Error(fault)
	}
	if sim.notices[raft.NoticeStateDiffers] > 0 || sim.notices[raft.NoticeSnapshotInstalled] < 20 {
		t.Errorf("notices: %v", sim.notices)
	}
	t.Logf("%d crashes, %d wipes, %d digests compared, notices: %v", sim.crashes, sim.wipes, sim.digestsCompared, sim.notices)
}

// An injected defect: the growth of a log that is never compacted is caught.
func TestSoakCheckerCatchesLogWithoutCompaction(t *testing.T) {
	sim := newSoak(t, 1, 1<<30, 3)
	sim.config.CompactBytes = 0
	for _, n := range sim.nodes {
		n.core.config.CompactBytes = 0
	}
	sim.run(20, func() {})
	few := sim.measure()
	sim.run(300, func() {})
	if faults := growthViolations(few, sim.measure(), 3); len(faults) == 0 {
		t.Error("it was not seen")
	}
}

// The same through the real store: one member's writes go to a data folder, which is reopened at each milestone.
func TestThousandsOfConfigurationChangesInADataFolder(t *testing.T) {
	sim := newSoak(t, 2, 25, 3)
	sim.folder = t.TempDir()
	member := sim.nodes[0]
	opened, err := store.Open(sim.folder, func() raft.MemberID { return member.id })
	if err != nil {
		t.Fatal(err)
	}
	sim.stored = opened
	defer func() { sim.stored.Close() }()
	// What the member holds already is written first.
	first := raft.Save{HardState: member.disk.state.HardState, Snapshot: &member.disk.state.Snapshot, Entries: member.disk.state.Entries}
	if err := sim.stored.Write("group", first); err != nil {
		t.Fatal(err)
	}
	member.onWrite = func(save raft.Save) {
		sim.writes++
		if err := sim.stored.Write("group", save); err != nil {
			t.Fatal(err)
		}
	}
	marks := []int{0, 100, 300}
	if os.Getenv("CRESSPOND_SOAK") != "" {
		marks = []int{0, 100, 500, 2000}
	}
	var sizes []int64
	for _, mark := range marks {
		sim.run(mark, func() {
			if sim.changes%7 == 0 && sim.fullyRepaired() {
				n := sim.randomMachines(1)[0]
				n.crash()
				sim.schedule(sim.randomDuration(50, 8000), n.restart)
			}
		})
		sizes = append(sizes, sim.reopen(t, member))
	}
	// The file keeps the largest size it ever needed: an old and a new snapshot, and a log just before it is compacted.
	most := 2*int64(len(member.core.state.Snapshot())+(25+3+1)*compressedBundleBytes*4/3) + 256<<10
	if got := sizes[len(sizes)-1]; got > most {
		t.Errorf("the folder's file is %d bytes long, and %d are enough", got, most)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// catchUpOverSlowLink has a wiped member catch up over 10 Mbit/s, and returns how long that took and how many leaders
// were elected meanwhile.
func catchUpOverSlowLink(t *testing.T, seed uint64, unchunked bool) (time.Duration, int) {
	sim := newSoak(t, seed, 25, 3)
	sim.run(300, func() {})
	// A state whose transfer takes longer than one call may.
	for _, n := range sim.nodes {
		n.core.state.DepartedEngines = nil
		for number := range 130000 {
			n.core.state.DepartedEngines = append(n.core.state.DepartedEngines, statemachine.DepartedEngine{Engine: ident.EngineID(fmt.Sprintf("i-%08x", number)), At: 1})
		}
	}
	sim.run(330, func() {})
	sim.linkBytesPerSecond, sim.linkBusyUntil, sim.unchunkedSnapshots = 10_000_000/8, map[int]clock.Mark{}, unchunked
	sim.runUntil(10*time.Second, sim.fullyRepaired)
	terms := len(sim.leaderOf)
	victim := sim.nodes[(sim.leader().index+1)%3]
	victim.crash()
	victim.wipeDisk()
	victim.start()
	// Small changes continue meanwhile.
	sim.scheduleOperator()
	took := sim.runUntil(time.Minute, sim.fullyRepaired)
	if seed == 0 {
		t.Logf("a state of %d bytes", len(sim.nodes[0].core.state.Snapshot()))
	}
	for _, violation := range sim.violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
	return took, len(sim.leaderOf) - terms
}

// Over 10 Mbit/s a wiped member votes again within a few seconds, and no election takes place. The counterexample is the
// snapshot in one message, as a member of an older build gets it.
func TestWipedMemberCatchesUpOverSlowLink(t *testing.T) {
	longest, longestUnchunked, terms := time.Duration(0), time.Duration(0), 0
	for seed := range uint64(2) {
		took, others := catchUpOverSlowLink(t, seed, false)
		longest, terms = max(longest, took), terms+others
		if seed == 0 {
			took, _ = catchUpOverSlowLink(t, seed, true)
			longestUnchunked = max(longestUnchunked, took)
		}
	}
	t.Logf("at most %v in parts, %v whole; %d leaders more", longest, longestUnchunked, terms)
	if longestUnchunked < time.Minute {
		t.Errorf("the snapshot in one message arrived in %v, and is longer than a call may take", longestUnchunked)
	}
	if longest > 8*time.Second || terms > 0 {
		t.Errorf("%v, and %d began to lead meanwhile", longest, terms)
	}
}
