package endtoend

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/testbed/caller"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
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
		// The machine's own disk may be slower by any amount, so it has no part in one that is slow by so much. What
		// is written is not kept: no member with a slow disk begins another life here.
		return nil
	}
	return d.under.Write(group, save)
}

// clocks are a machine's clocks, which can jump: the time of day either way, the other as in suspend.
type clocks struct{ wall, slept atomic.Int64 }

func (c *clocks) Elapsed() clock.Mark {
	return machine.Elapsed() + clock.Mark(c.slept.Load())
}
func (c *clocks) Wall() time.Time { return clock.System{}.Wall().Add(time.Duration(c.wall.Load())) }

// asking is callers that ask daemons in turn, one at a time, until it is stopped.
type asking struct {
	some     []*bench
	answered atomic.Int64
	done     chan struct{}
	seen     chan []caller.Record
}

// mostDoubt is for how long a caller asks again where nobody can tell what became of its attempt.
const mostDoubt = 30 * time.Second

func traffic(some []*bench) *asking {
	a := &asking{some: some, done: make(chan struct{}), seen: make(chan []caller.Record)}
	go func() {
		var records []caller.Record
		for n := 0; ; n++ {
			select {
			case <-a.done:
				a.seen <- records
				return
			default:
				records = append(records, some[n%len(some)].callAgain(fmt.Sprint("traffic-", n), work()))
				a.answered.Add(1)
			}
		}
	}()
	return a
}

// callAgain sends an attempt as the pages tell callers to: one of which nobody can tell now whether it ran is sent
// again under its id, and runs once. No other answer is taken back.
func (b *bench) callAgain(attempt string, request callerapi.Generate) (record caller.Record) {
	for began := machine.Elapsed(); ; {
		record = b.call(attempt, request)
		doubted := record.Status == 503 && record.Outcome == callerapi.Unknown && record.RetryAfter
		if !doubted || machine.Elapsed().Since(began) > mostDoubt {
			return record
		}
	}
}

// goOn waits until so many more requests have been answered.
func (a *asking) goOn(more int64) {
	a.some[0].t.Helper()
	until := a.answered.Load() + more
	a.some[0].await("traffic goes on", func() bool { return a.answered.Load() >= until })
}

// stop ends the asking: every attempt must have been answered whole, and run once.
func (a *asking) stop() {
	close(a.done)
	first := a.some[0]
	first.t.Helper()
	records := <-a.seen
	runs := map[string]int{}
	for _, line := range first.lines(journal.Begin, "") {
		runs[line.Attempt]++
	}
	for _, record := range records {
		if !record.Complete() || runs[record.Attempt] != 1 {
			first.t.Errorf("%s ran %d times: %d %s %s", record.Attempt, runs[record.Attempt], record.Status, record.Outcome, record.Reason)
		}
	}
}

// shut closes or opens the second zone, as often as it takes until the group has taken it.
func shut(b *bench, closed bool) {
	b.await("the closure is committed", func() bool {
		base := b.status().ClosureVersion
		status, _, _ := b.post(operatorapi.PathZone, encode(b.t, operatorapi.ZoneClosure{Zone: "there", Closed: &closed, Base: &base, Operator: "ana"}))
		return status == 200 || status == 202
	})
}

func TestLeaderWithStalledDiskStepsDownAndTrafficContinues(t *testing.T) {
	disks := make([]*disk, 3)
	all := several(t, 3, func(i int) []daemon.Option {
		disks[i] = &disk{}
		return []daemon.Option{daemon.WithDisk(func(under replica.Disk) replica.Disk { disks[i].under = under; return disks[i] })}
	})
	callers := traffic(all)
	for round := range 2 {
		var leader *bench
		all[0].await("there is a leader", func() bool { leader = leaderOf(all); return leader != nil })
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
		callers.goOn(10)
		stalled.mutex.Unlock()
		leader.await("the stalled member follows", func() bool {
			return !leader.status().Raft.Stalled && leader.status().ClosureVersion == all[2].status().ClosureVersion
		})
	}
	callers.stop()
}

func TestSlowDisksDoNotCauseElectionAfterElection(t *testing.T) {
	all := several(t, 3, func(int) []daemon.Option {
		return []daemon.Option{daemon.WithDisk(func(under replica.Disk) replica.Disk { return &disk{under: under, delay: 150 * time.Millisecond} })}
	})
	// A machine that stalls for long enough elects another leader, as it should. A count during which the machine
	// itself withheld time says nothing, and is made again.
	const mostWithheld = 200 * time.Millisecond
	for count := range 12 {
		began, before := begin(), all[0].status().Raft.Term
		for i := range 12 {
			shut(all[i%3], (i+count)%2 == 0)
		}
		after := all[0].status().Raft.Term
		if after <= before+1 {
			return
		}
		if _, withheld := began.took(); withheld < mostWithheld || count == 11 {
			t.Fatalf("from term %d to %d while disks were slow; the machine withheld %v", before, after, withheld)
		}
	}
}

func TestClockJumpsChangeNothing(t *testing.T) {
	machines := make([]*clocks, 3)
	all := several(t, 3, func(i int) []daemon.Option {
		machines[i] = &clocks{}
		return []daemon.Option{daemon.WithClock(machines[i])}
	})
	callers := traffic(all)
	began := time.Now()
	for round, jump := range []time.Duration{time.Hour, -30 * time.Hour, 400 * 24 * time.Hour, -time.Minute} {
		for i := range machines {
			// Whoever leads, holds or plans is among them.
			machines[(i+round)%3].wall.Store(int64(jump))
			shut(all[i], (round+i)%2 == 0)
		}
	}
	callers.goOn(10)
	callers.stop()
	// The group's time went on as the machines' running time did, whatever the time of day said.
	var closures closure.Set
	all[0].get(operatorapi.PathClosures, &closures)
	for _, mark := range closures.Zones {
		if off := time.Until(time.UnixMilli(int64(mark.At))); off > time.Since(began)+time.Minute || off < -time.Since(began)-time.Minute {
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
	if record := sleeper.call("after-sleep", work()); !record.Complete() && record.Outcome != "unknown" {
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
