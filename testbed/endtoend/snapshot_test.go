package endtoend

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// shortLogs has each daemon cut its log so often that an absence of seconds ends with a snapshot.
func shortLogs(c *daemonconfig.Config) {
	waiting(c)
	c.Compaction = daemonconfig.Compaction{Entries: 10, Keep: 1}
}

// restart ends a daemon, lets something happen, and starts it on the same folder.
func restart(t *testing.T, b *bench, meanwhile func()) {
	t.Helper()
	close(b.stop)
	if err := <-b.ended; err != nil {
		t.Fatal(err)
	}
	meanwhile()
	b.stop, b.hurry = make(chan struct{}), make(chan struct{})
	b.run()
}

// One that was away while the log was cut is sent a snapshot, and so is one that lost its folder.
func TestOneThatWasAwayWhileTheLogWasCutTakesASnapshot(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option { return nil }, shortLogs)
	for round, wiped := range []bool{false, true} {
		away := all[round+1]
		restart(t, away, func() {
			for change := range 12 {
				shut(all[0], change%2 == 0)
			}
			if wiped {
				if err := os.RemoveAll(away.data); err != nil {
					t.Fatal(err)
				}
			}
		})
		away.await("it votes with all that came meanwhile", func() bool {
			status := away.status()
			return status.Raft != nil && status.Raft.Voter && status.ClosureVersion == all[0].status().ClosureVersion
		})
		if away.counter("snapshots_taken") == 0 {
			t.Errorf("it took no snapshot (wiped: %t)", wiped)
		}
	}
	sent := uint64(0)
	for _, b := range all {
		sent += b.counter("snapshots_sent")
		if refused := b.counter("snapshots_refused") + b.counter("raft_malformed") + b.counter("states_differ"); refused > 0 {
			t.Errorf("%s counted %d refusals or differences", b.name, refused)
		}
	}
	if sent == 0 {
		t.Error("no snapshot is counted as sent")
	}
	all[0].await("all tell the same digest", func() bool {
		digests := map[string]bool{}
		for _, b := range all {
			if raft := b.status().Raft; raft != nil {
				digests[raft.StateDigest] = true
			}
		}
		return len(digests) == 1 && !digests[""]
	})
}

// altering is a disk that writes another command than it was given, once.
type altering struct {
	under replica.Disk
	due   *atomic.Bool
}

func (a altering) Write(group ident.GroupID, save raft.Save) error {
	for place, entry := range save.Entries {
		var command statemachine.Command
		if entry.Kind != raft.EntryCommand || json.Unmarshal(entry.Data, &command) != nil || command.Op != statemachine.OpClosure || !a.due.CompareAndSwap(true, false) {
			continue
		}
		command.Zone = "elsewhere"
		data, err := json.Marshal(command)
		if err != nil {
			return err
		}
		save.Entries = slices.Clone(save.Entries)
		save.Entries[place].Data = data
	}
	return a.under.Write(group, save)
}

// A daemon whose disk kept another command than was committed holds another state after its restart. Its digest
// gives it away: it sets the folder aside and joins as a new member, with the state of the others, while they go on.
func TestADaemonWhoseStateDiffersGivesItUpAndJoinsAnew(t *testing.T) {
	due := &atomic.Bool{}
	all := several(t, 3, func(i int) []daemon.Option {
		if i != 1 {
			return nil
		}
		return []daemon.Option{daemon.WithDisk(func(under replica.Disk) replica.Disk { return altering{under, due} })}
	}, waiting)
	odd := all[1]
	due.Store(true)
	shut(all[0], true)
	odd.await("it wrote another command", func() bool { return !due.Load() })
	restart(t, odd, func() {})
	odd.await("its state is seen to differ", func() bool { return odd.status().Version != "" && odd.counter("states_differ") > 0 })
	odd.await("it votes again", func() bool {
		raft := odd.status().Raft
		return raft != nil && raft.Voter && odd.counter("member_troubles") > 0
	})
	entries, err := os.ReadDir(odd.data)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(entries, func(entry os.DirEntry) bool { return strings.HasPrefix(entry.Name(), "aside-1.") }) {
		t.Errorf("the state that differed is gone: %v", entries)
	}
	odd.await("all tell the same digest", func() bool {
		digests := map[string]bool{}
		for _, b := range all {
			if raft := b.status().Raft; raft != nil {
				digests[raft.StateDigest] = true
			}
		}
		return len(digests) == 1 && !digests[""]
	})
	for _, b := range all {
		if b != odd && b.counter("member_troubles") > 0 {
			t.Errorf("%s left the group", b.name)
		}
	}
}

// After hundreds of changes a restarted member and one that lost its folder vote as soon as after few, and the folder
// does not grow. CRESSPOND_SOAK=1 plays 500 changes.
func TestHundredsOfChangesOnRealDaemons(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option { return nil }, shortLogs)
	marks := []int{0, 40}
	if os.Getenv("CRESSPOND_SOAK") != "" {
		marks = []int{0, 100, 500}
	}
	changes, sizes := 0, []int64{}
	for _, mark := range marks {
		for ; changes < mark; changes++ {
			shut(all[changes%3], changes%2 == 0)
			if changes%50 == 49 {
				again(t, all[1+changes/50%2], changes%100 == 99)
			}
		}
		restarted, wiped := again(t, all[1], false), again(t, all[2], true)
		info, err := os.Stat(filepath.Join(all[1].data, "member.sqlite"))
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, info.Size())
		t.Logf("%d changes: file %d bytes, votes %v after a restart, %v without its folder", changes, info.Size(), restarted.Round(time.Millisecond), wiped.Round(time.Millisecond))
	}
	// Closures, members and leases are few: the file is a snapshot or two and a short log.
	if last := sizes[len(sizes)-1]; last > sizes[0]+256<<10 {
		t.Errorf("the file grew from %d to %d bytes", sizes[0], last)
	}
	for _, b := range all {
		if refused := b.counter("snapshots_refused") + b.counter("raft_malformed") + b.counter("states_differ"); refused > 0 {
			t.Errorf("%s counted %d refusals or differences", b.name, refused)
		}
	}
}

// again restarts a daemon, with an empty folder if it is to be wiped, and says how long it took until it voted with
// all that was closed.
func again(t *testing.T, b *bench, wiped bool) time.Duration {
	t.Helper()
	wanted := b.status().ClosureVersion
	restart(t, b, func() {
		if wiped {
			if err := os.RemoveAll(b.data); err != nil {
				t.Fatal(err)
			}
		}
	})
	began := machine.Elapsed()
	b.await("it votes again", func() bool {
		status := b.status()
		return status.Raft != nil && status.Raft.Voter && status.ClosureVersion >= wanted
	})
	return machine.Elapsed().Since(began)
}
