package replica

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
)

// compressedBundleBytes is the size of a compressed bundle of 3,000 routes: 7.9 KB for 1,000 and 66 KB for 10,000 were
// measured.
const compressedBundleBytes = 22 << 10

// soak is a group under thousands of changes of its bundle.
type soak struct {
	*simulation
	changes int
	rng     *rand.Rand
	// stored is a real data folder that receives every write of one member.
	stored *store.Store
	folder string
	writes int
}

func newSoak(t *testing.T, seed uint64, every, keep int) *soak {
	config := simulationConfig(3)
	config.CompactEntries, config.RetainEntries = every, keep
	s := &soak{simulation: newSimulationWith(t, seed, config, noDefect), rng: rand.New(rand.NewPCG(seed, 11))}
	s.faultsEnabled, s.loss = false, 0
	s.runFor(5 * time.Second)
	return s
}

// change applies one bundle, and retries until it is acknowledged.
func (s *soak) change(size int) {
	configuration := make([]byte, size)
	for place := range configuration {
		configuration[place] = byte(s.rng.Uint32())
	}
	digest := sha256.Sum256(fmt.Append(nil, "change ", s.changes))
	revision := ident.Revision(s.changes)
	command := statemachine.Command{Op: statemachine.OpApply, Operator: "soak", Configuration: configuration, Compressed: true, Digest: hex.EncodeToString(digest[:]), BaseRevision: revision, Revision: revision + 1}
	done := false
	took := s.runUntil(30*time.Second, func() bool {
		if leader := s.leader(); leader != nil && !done && s.now%(200*clock.Mark(time.Millisecond)) < 10*clock.Mark(time.Millisecond) {
			s.request(leader, &command, func(a Response) { done = done || a.Outcome == Applied && a.Result.Outcome == statemachine.Done })
		}
		return done
	})
	if !done {
		s.reportViolation("change %d was not acknowledged within %v", s.changes, took)
	}
	s.changes++
}

// injectFault makes one of the faults happen that occur in operation between changes.
func (s *soak) injectFault() {
	if !s.fullyRepaired() {
		return
	}
	n := s.randomMachines(1)[0]
	switch s.rng.IntN(4) {
	case 0:
		n.crash()
		s.schedule(s.randomDuration(50, 4000), n.restart)
	case 1:
		if n != s.nodes[0] {
			n.wipe()
		}
	case 2:
		if leader := s.leader(); leader != nil {
			leader.execute(leader.core.Step(s.now, raft.TransferLeadership{}))
		}
	case 3:
		// Away for long: it comes back to a log that was compacted.
		n.crash()
		s.schedule(20*time.Second, n.restart)
	}
}

// soakMeasurement is what a member costs after a number of changes.
type soakMeasurement struct {
	changes, state, logBytes, logEntries, disk int
	restart, catchUp                           time.Duration
}

func (m soakMeasurement) String() string {
	return fmt.Sprintf("%d changes: state %d bytes, log %d entries of %d bytes, disk %d bytes, restart %v, a wiped member catches up in %v",
		m.changes, m.state, m.logEntries, m.logBytes, m.disk, m.restart.Round(100*time.Microsecond), m.catchUp)
}

// measure measures a follower, and has a wiped one catch up. Restarts take real time, all else simulated time.
func (s *soak) measure() soakMeasurement {
	s.runUntil(30*time.Second, s.fullyRepaired)
	n := s.nodes[(s.leader().index+1)%3]
	m := soakMeasurement{changes: s.changes, state: len(n.core.state.Snapshot()), logEntries: len(n.disk.state.Entries), disk: len(n.disk.state.Snapshot.Data)}
	for _, entry := range n.disk.state.Entries {
		m.logBytes += len(entry.Data)
	}
	m.disk += m.logBytes
	began := time.Now()
	restored := n.disk.state
	if _, err := NewCore(s.config, raft.New(n.id, s.config.Timing, restored, s.random), restored.Snapshot.Data, s.now, n.wall); err != nil {
		s.reportViolation("%v", err)
	}
	m.restart = time.Since(began)
	wiped := s.nodes[(s.leader().index+2)%3]
	wiped.crash()
	wiped.wipeDisk()
	wiped.start()
	m.catchUp = s.runUntil(30*time.Second, s.fullyRepaired)
	return m
}

// growthViolations checks that the costs did not grow with the number of changes: the log is compacted, restart and
// catching up depend on the state alone, and the state grows by no more than stateBytesPerChange.
func growthViolations(few, many soakMeasurement, keep int) []string {
	var faults []string
	if many.logEntries > 2*(few.logEntries+keep)+60 {
		faults = append(faults, fmt.Sprintf("the log has %d entries after %d changes, and %d after %d", many.logEntries, many.changes, few.logEntries, few.changes))
	}
	if grown := many.state - few.state; grown > stateBytesPerChange*(many.changes-few.changes) {
		faults = append(faults, fmt.Sprintf("the state grew by %d bytes over %d changes", grown, many.changes-few.changes))
	}
	if many.catchUp > few.catchUp+2*time.Second {
		faults = append(faults, fmt.Sprintf("catching up takes %v after %d changes, and %v after %d", many.catchUp, many.changes, few.catchUp, few.changes))
	}
	return faults
}

// stateBytesPerChange is what the state may retain of each change for good.
const stateBytesPerChange = 600

func (s *soak) run(until int, between func()) {
	for s.changes < until && len(s.violations) == 0 {
		s.change(compressedBundleBytes)
		between()
	}
}

// reopen closes the folder and opens it again: it must hold what the simulated disk does. It returns the file's size.
func (s *soak) reopen(t *testing.T, member *simulatedNode) int64 {
	if err := s.stored.Close(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	opened, err := store.Open(s.folder, func() raft.MemberID { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	s.stored = opened
	restored, err := opened.Load()
	if err != nil {
		t.Fatal(err)
	}
	core, err := NewCore(s.config, raft.New(member.id, s.config.Timing, restored, s.random), restored.Snapshot.Data, s.now, member.wall)
	if err != nil {
		t.Fatal(err)
	}
	took := time.Since(began)
	simulated := member.disk.state
	if restored.HardState != simulated.HardState || restored.Snapshot.Index != simulated.Snapshot.Index || len(restored.Entries) != len(simulated.Entries) || core.raft.LastIndex() < simulated.Snapshot.Index {
		t.Errorf("the folder holds %+v, snapshot %d, %d entries; the simulated disk %+v, %d, %d", restored.HardState, restored.Snapshot.Index, len(restored.Entries), simulated.HardState, simulated.Snapshot.Index, len(simulated.Entries))
	}
	info, err := os.Stat(filepath.Join(s.folder, "member.sqlite"))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d changes, %d writes: file %d bytes, opened, read and restored in %v", s.changes, s.writes, info.Size(), took.Round(time.Millisecond))
	return info.Size()
}
