package endtoend

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/daemon"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/process/raft"
	"github.com/cresspond/cresspond/process/replica"
	"github.com/cresspond/cresspond/process/statemachine"
	"github.com/cresspond/cresspond/rehearsal/caller"
	"github.com/cresspond/cresspond/rehearsal/journal"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// disk is a data folder that can be slow, or stand still until it is let go.
type disk struct {
	under replica.Disk
	delay time.Duration
	mutex sync.RWMutex
}

func (d *disk) Write(group ident.GroupID, save raft.Save) error {
	// A stalled disk keeps the mutex; a slow one takes its time with each write.
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	if d.delay > 0 {
		<-time.After(d.delay)
	}
	return d.under.Write(group, save)
}

// clocks are a machine's clocks, which can jump: the time of day either way, the other as in suspend.
type clocks struct{ wall, slept atomic.Int64 }

func (c *clocks) Elapsed() clock.Mark {
	return clock.System{}.Elapsed() + clock.Mark(c.slept.Load())
}
func (c *clocks) Wall() time.Time { return clock.System{}.Wall().Add(time.Duration(c.wall.Load())) }

// traffic asks daemons in turn until stop is called, which gives all that the callers saw.
func traffic(some []*bench) (stop func() []caller.Record) {
	done, seen := make(chan struct{}), make(chan []caller.Record)
	go func() {
		var records []caller.Record
		for n := 0; ; n++ {
			select {
			case <-done:
				seen <- records
				return
			default:
				records = append(records, some[n%len(some)].call(fmt.Sprint("traffic-", n), work()))
			}
		}
	}()
	return func() []caller.Record { close(done); return <-seen }
}

// shut closes or opens the second zone, as often as it takes until the group has taken it.
func shut(b *bench, closed bool) {
	b.await("the closure is committed", func() bool {
		base := b.status().ClosureEpoch
		status, _, _ := b.post(operatorapi.PathZone, encode(b.t, operatorapi.Zone{Zone: "there", Closed: &closed, Base: &base, Operator: "ana"}))
		return status == 200 || status == 202
	})
}

func TestALeaderWithAStalledDiskGivesWayAndTrafficGoesOn(t *testing.T) {
	disks := make([]*disk, 3)
	all := several(t, 3, func(i int) []daemon.Option {
		disks[i] = &disk{}
		return []daemon.Option{daemon.WithDisk(func(under replica.Disk) replica.Disk { disks[i].under = under; return disks[i] })}
	})
	stop := traffic(all)
	for round := range 2 {
		leader := leaderOf(all)
		for leader == nil {
			leader = leaderOf(all)
		}
		stalled := disks[0]
		for i, b := range all {
			if b == leader {
				stalled = disks[i]
			}
		}
		stalled.mutex.Lock()
		// Something must be written for the stall to show.
		shut(all[round], round%2 == 0)
		leader.await("another leads", func() bool { other := leaderOf(all); return other != nil && other != leader })
		shut(all[2], round%2 == 1)
		stalled.mutex.Unlock()
		leader.await("the stalled member follows", func() bool {
			return !leader.status().Raft.Stalled && leader.status().ClosureEpoch == all[2].status().ClosureEpoch
		})
	}
	records := stop()
	for _, record := range records {
		if !record.Whole() {
			t.Errorf("%s: %d %s %s", record.Attempt, record.Status, record.Outcome, record.Reason)
		}
	}
	if len(records) < 20 {
		t.Errorf("only %d requests were sent", len(records))
	}
}

func TestSlowDisksDoNotCauseElectionAfterElection(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option {
		return []daemon.Option{daemon.WithDisk(func(under replica.Disk) replica.Disk { return &disk{under: under, delay: 150 * time.Millisecond} })}
	})
	before := all[0].status().Raft.Term
	for i := range 12 {
		shut(all[i%3], i%2 == 0)
	}
	// One more is allowed to a machine that is busy with other tests.
	if after := all[0].status().Raft.Term; after > before+1 {
		t.Errorf("from term %d to %d while disks were slow", before, after)
	}
}

func TestClocksThatJumpMoveNothing(t *testing.T) {
	machines := make([]*clocks, 3)
	all := several(t, 3, func(i int) []daemon.Option {
		machines[i] = &clocks{}
		return []daemon.Option{daemon.WithClock(machines[i])}
	})
	stop := traffic(all)
	began := time.Now()
	for round, jump := range []time.Duration{time.Hour, -30 * time.Hour, 400 * 24 * time.Hour, -time.Minute} {
		for i := range machines {
			// Whoever leads, holds or plans is among them.
			machines[(i+round)%3].wall.Store(int64(jump))
			shut(all[i], (round+i)%2 == 0)
		}
	}
	records := stop()
	for _, record := range records {
		if !record.Whole() {
			t.Errorf("%s: %d %s %s", record.Attempt, record.Status, record.Outcome, record.Reason)
		}
	}
	// The group's time went on as the machines' running time did, whatever the time of day said.
	var closures statemachine.Closures
	all[0].get(operatorapi.PathClosures, &closures)
	for _, mark := range closures.Zones {
		if off := time.UnixMilli(int64(mark.At)).Sub(time.Now()); off > time.Since(began)+time.Minute || off < -time.Since(began)-time.Minute {
			t.Errorf("the group's time is off by %v", off)
		}
	}

	// One machine sleeps for longer than its tenure, and wakes: what it believed is over.
	sleeper := all[1]
	sleeper.await("it holds a worker id", func() bool { return sleeper.status().WorkerID != nil })
	renewed := sleeper.counter("tenure_acquired") + sleeper.counter("tenure_renewed")
	machines[1].slept.Add(int64(50 * time.Second))
	if sleeper.status().Ready && sleeper.counter("tenure_acquired")+sleeper.counter("tenure_renewed") == renewed && sleeper.status().WorkerID != nil {
		t.Error("a tenure that lapsed in sleep is still held")
	}
	sleeper.await("it is ready again, under a tenure of its own", func() bool {
		return sleeper.status().Ready && sleeper.status().WorkerID != nil && sleeper.counter("tenure_acquired")+sleeper.counter("tenure_renewed") > renewed
	})
	if record := sleeper.call("after-sleep", work()); !record.Whole() && record.Outcome != "unknown" {
		t.Errorf("%+v", record)
	}
	last := uint64(0)
	for _, line := range sleeper.lines(journal.Order, "") {
		if line.Claim < last {
			t.Errorf("an order under claim %d came after claim %d", line.Claim, last)
		}
		last = line.Claim
	}
}
