package quota

import (
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
		"leader change, a thinly spread tenant and zones that lend": {daemons: 60, limit: Limit{RatePerSecond: 20, Burst: 10},
			clump: 3, denied: 0.08, pick: func(f *fleet) func() *simulatedDaemon { return f.anyDaemon },
			faults: func(f *fleet) {
				f.zones = 4
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
