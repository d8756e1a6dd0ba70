package endtoend

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// full is a data folder that may take no more bytes.
type full struct {
	under *atomic.Pointer[replica.Disk]
	is    *atomic.Bool
}

func (f full) Write(group ident.GroupID, save raft.Save) error {
	if f.is.Load() {
		return errors.New("no space left on device")
	}
	return (*f.under.Load()).Write(group, save)
}

// waiting has a daemon wait where its disk is in trouble. Each attempt arrives once, so that nothing but the
// disk is in the way of a request.
func waiting(c *daemonconfig.Config) {
	c.OnFault, c.AttemptScope = daemonconfig.RetryOnFault, daemonconfig.LocalAttempts
}

func TestLeaderWithFullDiskLeavesTheGroupAndRejoins(t *testing.T) {
	fulls := make([]*atomic.Bool, 3)
	all := several(t, 3, func(i int) []daemon.Option {
		fulls[i] = &atomic.Bool{}
		return []daemon.Option{daemon.WithDisk(func(under replica.Disk) replica.Disk {
			queued := &atomic.Pointer[replica.Disk]{}
			queued.Store(&under)
			return full{queued, fulls[i]}
		})}
	}, waiting)
	callers := traffic(all)
	for round := range 3 {
		var leader *bench
		all[0].await("there is a leader", func() bool { leader = leaderOf(all); return leader != nil })
		at := 0
		for i, b := range all {
			if b == leader {
				at = i
			}
		}
		fulls[at].Store(true)
		// Something must be written for the trouble to show.
		shut(all[(at+1)%3], round%2 == 0)
		leader.await("another leads", func() bool { other := leaderOf(all); return other != nil && other != leader })
		leader.await("it is out of the group", func() bool { return leader.counter("member_troubles") > 0 })
		shut(all[(at+2)%3], round%2 == 1)
		if !leader.status().Ready {
			// What needs no disk goes on: its own part in the group is all that it lacks.
			t.Error("a daemon with a full disk takes no work: ", leader.status().NotReady)
		}
		callers.goOn(10)
		fulls[at].Store(false)
		leader.await("it follows again", func() bool {
			raft := leader.status().Raft
			return raft != nil && raft.Voter && leader.status().ClosureVersion == all[(at+2)%3].status().ClosureVersion
		})
	}
	callers.stop()
	for _, b := range all {
		select {
		case err := <-b.ended:
			t.Errorf("%s ended by itself: %v", b.name, err)
		default:
		}
	}
}

// TestADaemonWithoutItsFolderWaitsForIt: what needs no disk goes on meanwhile.
func TestADaemonWithoutItsFolderWaitsForIt(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option { return nil }, waiting)
	lone := all[1]
	close(lone.stop)
	if err := <-lone.ended; err != nil {
		t.Fatal(err)
	}
	kept := lone.data + ".kept"
	if err := os.Rename(lone.data, kept); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(lone.data, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	lone.stop, lone.hurry = make(chan struct{}), make(chan struct{})
	lone.run()
	lone.await("it serves without a vote", func() bool { return lone.status().Ready && lone.counter("member_troubles") > 1 })
	if raft := lone.status().Raft; raft != nil {
		t.Errorf("it takes part in the group without a folder: %+v", raft)
	}
	if record := lone.call("without-a-folder", work()); !record.Complete() {
		t.Errorf("%+v", record)
	}
	if err := os.Remove(lone.data); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(kept, lone.data); err != nil {
		t.Fatal(err)
	}
	lone.await("it votes again, as who it was", func() bool { raft := lone.status().Raft; return raft != nil && raft.Voter })
}

// TestAMemberWhoseSeedsAreAllGoneFindsItsGroup: its disk remembers the others.
func TestAMemberWhoseSeedsAreAllGoneFindsItsGroup(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option { return nil }, waiting)
	shut(all[0], true)
	lone := all[2]
	close(lone.stop)
	if err := <-lone.ended; err != nil {
		t.Fatal(err)
	}
	shut(all[1], false)
	lone.seeds = []string{free(t), free(t)}
	lone.stop, lone.hurry = make(chan struct{}), make(chan struct{})
	lone.run()
	lone.await("it is ready, with what came while it was away", func() bool {
		status := lone.status()
		return status.Ready && status.ClosureVersion == all[1].status().ClosureVersion && status.Raft != nil && status.Raft.Voter
	})
	// With the others' leader gone it is part of the next majority.
	leader := leaderOf(all[:2])
	lone.await("there is a leader", func() bool { leader = leaderOf(all[:2]); return leader != nil || leaderOf(all) != nil })
	if leader == nil {
		leader = lone
	}
	close(leader.stop)
	if err := <-leader.ended; err != nil {
		t.Fatal(err)
	}
	leader.ran = false
	for _, b := range all {
		if b != leader {
			shut(b, true)
			break
		}
	}
}

func TestDamagedFolderIsQuarantinedAndMachineJoinsAsNewMember(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option { return nil }, waiting)
	shut(all[0], true)
	hurt := all[1]
	before := hurt.status().ClosureVersion
	close(hurt.stop)
	if err := <-hurt.ended; err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(hurt.data, "member.sqlite")
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	// The whole middle is torn: no page of it is what it was.
	for i := len(data) / 4; i < len(data); i++ {
		data[i] ^= 0x5a
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	hurt.stop, hurt.hurry = make(chan struct{}), make(chan struct{})
	hurt.run()
	hurt.await("it votes again", func() bool {
		raft := hurt.status().Raft
		return raft != nil && raft.Voter && hurt.status().ClosureVersion >= before
	})
	entries, err := os.ReadDir(hurt.data)
	if err != nil {
		t.Fatal(err)
	}
	kept := 0
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), "aside-1.member.sqlite") {
			kept++
		}
		if entry.Name() == "setting-aside" {
			t.Error("the mark of setting aside is still there")
		}
	}
	if kept == 0 {
		t.Errorf("the damaged file is gone: %v", entries)
	}
	voters := 0
	for _, member := range all[0].status().Raft.Members {
		if member.Voter {
			voters++
		}
	}
	if voters != 3 {
		t.Errorf("%d voters after one was replaced", voters)
	}
}
