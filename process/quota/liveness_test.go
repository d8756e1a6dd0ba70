package quota

import (
	"slices"
	"testing"
	"time"
)

// deniedFraction is the fraction of a tenant's requests that was denied.
func (t *tally) deniedFraction() float64 { return float64(t.denied) / float64(t.asked) }

func TestTrafficUnderTheLimitIsNotDenied(t *testing.T) {
	const end = 60 * time.Second
	tests := map[string]struct {
		daemons int
		limit   Limit
		clump   int
		pick    func(f *fleet) func() *simulatedDaemon
		faults  func(f *fleet)
		// denied is the highest fraction of requests that may be denied.
		denied float64
	}{
		"one daemon has all of the traffic": {daemons: 60, limit: Limit{RatePerSecond: 20, Burst: 20}, clump: 3,
			pick: func(f *fleet) func() *simulatedDaemon { return func() *simulatedDaemon { return f.daemons[0] } }},
		"60 daemons": {daemons: 60, limit: Limit{RatePerSecond: 60, Burst: 60}, clump: 3,
			pick: func(f *fleet) func() *simulatedDaemon { return f.anyDaemon }},
		"requests that wait for engines": {daemons: 20, limit: Limit{RatePerSecond: 100, Burst: 100}, clump: 1,
			pick: func(f *fleet) func() *simulatedDaemon { return f.anyDaemon }, denied: 0.01,
			faults: func(f *fleet) { f.queueing = 600 * time.Millisecond }},
		"leader change": {daemons: 60, limit: Limit{RatePerSecond: 60, Burst: 60}, clump: 3,
			pick: func(f *fleet) func() *simulatedDaemon { return f.anyDaemon }, denied: 0.1,
			faults: func(f *fleet) {
				for i := 1; i < 6; i++ {
					f.after(time.Duration(i)*10*time.Second, func() { f.changeLeader(1500 * time.Millisecond) })
				}
			}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, test.daemons, map[string]Limit{"t": test.limit})
			if test.faults != nil {
				test.faults(f)
			}
			f.arrivals("t", 0.62*test.limit.RatePerSecond, test.clump, end, test.pick(f))
			f.runUntil(end + time.Second)
			got := f.tally["t"]
			if got.deniedFraction() > test.denied {
				t.Errorf("%.4f of the requests are denied", got.deniedFraction())
			}
			t.Logf("%d requests, %.4f denied, %d on credit, %.0f messages a second",
				got.asked, got.deniedFraction(), got.onCredit, float64(f.messages)/end.Seconds())
		})
	}
}

// deniedAroundLeaderChanges is the fraction of a thinly spread tenant's requests that is denied, over many histories with
// a change of leader every ten seconds.
func deniedAroundLeaderChanges(zones int) float64 {
	const end, seeds = 40 * time.Second, 12
	limit := Limit{RatePerSecond: 20, Burst: 10}
	denied, asked := 0, 0
	for seed := range uint64(seeds) {
		f := newFleet(seed+1, 60, map[string]Limit{"t": limit})
		f.zones = zones
		for i := 1; i < 4; i++ {
			f.after(time.Duration(i)*10*time.Second, func() { f.changeLeader(1500 * time.Millisecond) })
		}
		f.arrivals("t", 0.62*limit.RatePerSecond, 3, end, f.anyDaemon)
		f.runUntil(end + time.Second)
		denied += f.tally["t"].denied
		asked += f.tally["t"].asked
	}
	return float64(denied) / float64(asked)
}

// Guards against lending that is of no use to those whom it is for: tenants with less than a token on each daemon.
func TestThinlySpreadTenantLosesLessWhereNeighboursLend(t *testing.T) {
	with, without := deniedAroundLeaderChanges(4), deniedAroundLeaderChanges(0)
	t.Logf("%.4f of the requests are denied, %.4f without lending", with, without)
	if with > 0.08 || with > 0.9*without {
		t.Errorf("%.4f of the requests are denied, %.4f without lending", with, without)
	}
}

// movingTraffic picks another eighth of the daemons each second.
func movingTraffic(f *fleet) func() *simulatedDaemon {
	return func() *simulatedDaemon {
		part := max(1, len(f.daemons)/8)
		first := int(f.now/time.Second) % 8 * part
		return f.daemons[first+f.random.IntN(part)]
	}
}

// firstThenJoined picks among the daemons that were there at the start, and from 20 s on among those that joined at 19.9 s.
func firstThenJoined(f *fleet) func() *simulatedDaemon {
	first := slices.Clone(f.daemons)
	f.after(19900*time.Millisecond, func() {
		for i := range 4 {
			f.addDaemon("joined-" + string(rune('a'+i)))
		}
	})
	return func() *simulatedDaemon {
		if f.now < 20*time.Second {
			return first[f.random.IntN(len(first))]
		}
		joined := f.daemons[len(first):]
		return joined[f.random.IntN(len(joined))]
	}
}

// drainedOneByOne picks among the daemons that are left while one after another drains and ends.
func drainedOneByOne(f *fleet) func() *simulatedDaemon {
	left := slices.Clone(f.daemons)
	for start := 5 * time.Second; start < 45*time.Second; start += 5 * time.Second {
		f.after(start, func() { left = left[1:] })
		f.after(start+2500*time.Millisecond, func() { f.daemons[0].crash() })
	}
	return func() *simulatedDaemon { return left[f.random.IntN(len(left))] }
}

func TestTenantUnderItsLimitIsServedWhereverItsClientsConnect(t *testing.T) {
	const end = 60 * time.Second
	tests := map[string]struct {
		daemons int
		limit   Limit
		clump   int
		pick    func(f *fleet) func() *simulatedDaemon
		denied  float64
	}{
		"all on one daemon of 300":           {300, Limit{RatePerSecond: 60, Burst: 60}, 5, func(f *fleet) func() *simulatedDaemon { return func() *simulatedDaemon { return f.daemons[7] } }, 0},
		"300 daemons, under one a second":    {300, Limit{RatePerSecond: 200, Burst: 50}, 1, func(f *fleet) func() *simulatedDaemon { return f.anyDaemon }, 0},
		"300 daemons, a third of a second":   {300, Limit{RatePerSecond: 5, Burst: 5}, 1, func(f *fleet) func() *simulatedDaemon { return f.anyDaemon }, 0},
		"moves between daemons each second":  {64, Limit{RatePerSecond: 60, Burst: 60}, 3, movingTraffic, 0},
		"daemons that have just joined":      {8, Limit{RatePerSecond: 60, Burst: 60}, 3, firstThenJoined, 0},
		"daemons that drain and end in turn": {12, Limit{RatePerSecond: 60, Burst: 60}, 3, drainedOneByOne, 0.01},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, test.daemons, map[string]Limit{"t": test.limit})
			f.arrivals("t", 0.62*test.limit.RatePerSecond, test.clump, end, test.pick(f))
			f.runUntil(end + time.Second)
			got := f.tally["t"]
			t.Logf("%d requests, %.4f denied, %.0f messages a second", got.asked, got.deniedFraction(), float64(f.messages)/end.Seconds())
			if got.deniedFraction() > test.denied {
				t.Errorf("%.4f of the requests are denied", got.deniedFraction())
			}
		})
	}
}

// Guards against a zone that is cut off and takes more than its part, or whose cut costs those in contact.
func TestCutZoneSpendsItsPartAndTheOthersTheirs(t *testing.T) {
	const cut, end = 20 * time.Second, 40 * time.Second
	limit := Limit{RatePerSecond: 100, Burst: 100}
	f := newFleet(1, 40, map[string]Limit{"t": limit})
	f.zones = 4
	f.after(cut, func() { f.isolate(f.daemons[:10], end-cut) })
	f.arrivals("t", 0.62*limit.RatePerSecond*3/4, 1, end, func() *simulatedDaemon { return f.daemons[10+f.random.IntN(30)] })
	f.arrivals("t", 0.62*limit.RatePerSecond/4, 1, cut, func() *simulatedDaemon { return f.daemons[f.random.IntN(10)] })
	f.runUntil(cut)
	before := *f.tally["t"]
	f.arrivals("t", 0.62*limit.RatePerSecond/4, 1, cut+3*time.Second, func() *simulatedDaemon { return f.daemons[f.random.IntN(10)] })
	f.runUntil(end)
	got := f.tally["t"]
	t.Logf("%d of %d requests denied before, %d of %d after a quarter was cut off for good", before.denied, before.asked, got.denied-before.denied, got.asked-before.asked)
	if before.denied > 0 {
		t.Errorf("%d requests are denied before the cut", before.denied)
	}
	// The cut zone may lose some; the others ask for 46 a second of a rate of 100.
	if denied := got.denied - before.denied; denied > 30 {
		t.Errorf("%d requests are denied after the cut", denied)
	}
}

// Guards against a tenant far above its limit that takes what is others'.
func TestOtherTenantsAreServedWhileOneFloods(t *testing.T) {
	const end = 40 * time.Second
	limit := Limit{RatePerSecond: 40, Burst: 40}
	limits := map[string]Limit{"hot": limit}
	others := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, other := range others {
		limits[other] = limit
	}
	f := newFleet(1, 40, limits)
	f.arrivals("hot", 8*limit.RatePerSecond, 1, end, f.anyDaemon)
	for _, other := range others {
		f.arrivals(other, 0.62*limit.RatePerSecond, 2, end, f.anyDaemon)
	}
	f.runUntil(end + time.Second)
	for _, other := range others {
		if got := f.tally[other]; got.denied > 0 {
			t.Errorf("%s: %d of %d requests are denied", other, got.denied, got.asked)
		}
	}
	served := float64(len(f.tally["hot"].sent)) / end.Seconds()
	t.Logf("the hot tenant is served %.1f requests a second of %.1f asked", served, float64(f.tally["hot"].asked)/end.Seconds())
	if served < 0.9*limit.RatePerSecond {
		t.Errorf("the hot tenant is served %.1f requests a second of a limit of %.0f", served, limit.RatePerSecond)
	}
}
