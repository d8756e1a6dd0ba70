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

// packedRoutes is how long a bundle of 3,000 routes is, packed: 7.9 KB for 1,000 and 66 KB for 10,000 were measured.
const packedRoutes = 22 << 10

// soak is a group under thousands of changes of its bundle.
type soak struct {
	*sim
	changes int
	rng     *rand.Rand
	// stored is a real data folder that gets every write of one member.
	stored *store.Store
	folder string
	writes int
}

func newSoak(t *testing.T, seed uint64, every, keep int) *soak {
	config := simConfig(3)
	config.CompactEntries, config.RetainEntries = every, keep
	s := &soak{sim: newSimWith(t, seed, config, sound), rng: rand.New(rand.NewPCG(seed, 11))}
	s.faults, s.loss = false, 0
	s.runFor(5 * time.Second)
	return s
}

// change puts one bundle in force, and asks again until it is acknowledged.
func (s *soak) change(size int) {
	spec := make([]byte, size)
	for place := range spec {
		spec[place] = byte(s.rng.Uint32())
	}
	digest := sha256.Sum256(fmt.Append(nil, "change ", s.changes))
	revision := ident.Revision(s.changes)
	command := statemachine.Command{Op: statemachine.OpApply, Operator: "soak", Configuration: spec, Compressed: true, Digest: hex.EncodeToString(digest[:]), BaseRevision: revision, Revision: revision + 1}
	done := false
	took := s.until(30*time.Second, func() bool {
		if leader := s.leader(); leader != nil && !done && s.now%(200*clock.Mark(time.Millisecond)) < 10*clock.Mark(time.Millisecond) {
			s.ask(leader, &command, func(a Response) { done = done || a.Outcome == Applied && a.Result.Outcome == statemachine.Done })
		}
		return done
	})
	if !done {
		s.fault("change %d was not acknowledged within %v", s.changes, took)
	}
	s.changes++
}

// upset does what the users' days do between changes.
func (s *soak) upset() {
	if !s.whole() {
		return
	}
	n := s.some(1)[0]
	switch s.rng.IntN(4) {
	case 0:
		n.crash()
		s.after(s.ms(50, 4000), n.revive)
	case 1:
		if n != s.nodes[0] {
			n.wipe()
		}
	case 2:
		if leader := s.leader(); leader != nil {
			leader.carryOut(leader.core.Step(s.now, raft.TransferLeadership{}))
		}
	case 3:
		// Away for long: it comes back to a log that was cut.
		n.crash()
		s.after(20*time.Second, n.revive)
	}
}

// measured is what a member costs after a number of changes.
type measured struct {
	changes, state, logBytes, logEntries, disk int
	restart, catchUp                           time.Duration
}

func (m measured) String() string {
	return fmt.Sprintf("%d changes: state %d bytes, log %d entries of %d bytes, disk %d bytes, restart %v, a wiped member catches up in %v",
		m.changes, m.state, m.logEntries, m.logBytes, m.disk, m.restart.Round(100*time.Microsecond), m.catchUp)
}

// measure looks at a follower, and has a wiped one catch up. Restarts are timed on this machine, all else in made-up time.
func (s *soak) measure() measured {
	s.until(30*time.Second, s.whole)
	n := s.nodes[(s.leader().place+1)%3]
	m := measured{changes: s.changes, state: len(n.core.state.Snapshot()), logEntries: len(n.disk.state.Entries), disk: len(n.disk.state.Snapshot.Data)}
	for _, entry := range n.disk.state.Entries {
		m.logBytes += len(entry.Data)
	}
	m.disk += m.logBytes
	began := time.Now()
	restored := n.disk.state
	if _, err := NewCore(s.config, raft.New(n.id, s.config.Timing, restored, s.random), restored.Snapshot.Data, s.now, n.wall); err != nil {
		s.fault("%v", err)
	}
	m.restart = time.Since(began)
	wiped := s.nodes[(s.leader().place+2)%3]
	wiped.crash()
	wiped.empty()
	wiped.start()
	m.catchUp = s.until(30*time.Second, s.whole)
	return m
}

// keepsUp says that what was measured did not grow with the number of changes: the log is cut, restart and catching
// up rest on the state alone, and the state grows by no more than what it remembers of each change.
func keepsUp(few, many measured, keep int) []string {
	var faults []string
	if many.logEntries > 2*(few.logEntries+keep)+60 {
		faults = append(faults, fmt.Sprintf("the log has %d entries after %d changes, and %d after %d", many.logEntries, many.changes, few.logEntries, few.changes))
	}
	if grown := many.state - few.state; grown > perChange*(many.changes-few.changes) {
		faults = append(faults, fmt.Sprintf("the state grew by %d bytes over %d changes", grown, many.changes-few.changes))
	}
	if many.catchUp > few.catchUp+2*time.Second {
		faults = append(faults, fmt.Sprintf("catching up takes %v after %d changes, and %v after %d", many.catchUp, many.changes, few.catchUp, few.changes))
	}
	return faults
}

// perChange is what the state may remember of a change for good.
const perChange = 600

func (s *soak) run(until int, between func()) {
	for s.changes < until && len(s.violations) == 0 {
		s.change(packedRoutes)
		between()
	}
}

// reopen closes the folder and opens it again: it must hold what the simulated disk does. It says how long the file is.
func (s *soak) reopen(t *testing.T, member *simNode) int64 {
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
	held := member.disk.state
	if restored.HardState != held.HardState || restored.Snapshot.Index != held.Snapshot.Index || len(restored.Entries) != len(held.Entries) || core.raft.LastIndex() < held.Snapshot.Index {
		t.Errorf("the folder holds %+v, snapshot %d, %d entries; the simulated disk %+v, %d, %d", restored.HardState, restored.Snapshot.Index, len(restored.Entries), held.HardState, held.Snapshot.Index, len(held.Entries))
	}
	info, err := os.Stat(filepath.Join(s.folder, "member.sqlite"))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d changes, %d writes: file %d bytes, opened, read and restored in %v", s.changes, s.writes, info.Size(), took.Round(time.Millisecond))
	return info.Size()
}
