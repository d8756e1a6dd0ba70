package quota

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// historyLength is how long the simulated histories are.
const historyLength = 30 * time.Second

// histories is how many random histories are played; CRESSPOND_SEEDS sets more for a search.
func histories(usual int) int {
	if wanted, err := strconv.Atoi(os.Getenv("CRESSPOND_SEEDS")); err == nil {
		return wanted
	}
	return usual
}

// randomHistory plays one history with faults of all kinds and returns the fleet after it. The tenant's clients send up
// to eight times its rate.
func randomHistory(seed uint64, trace func(format string, values ...any)) *fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	limit := Limit{RatePerSecond: float64(2 + random.IntN(199)), Burst: float64(random.IntN(200))}
	f := newFleet(seed, 1+random.IntN(60), map[string]Limit{"t": limit})
	f.trace = trace
	f.loss = []float64{0, 0, 0.01, 0.1}[random.IntN(4)]
	f.duplication = []float64{0, 0.05}[random.IntN(2)]
	f.holding = []time.Duration{0, 50 * time.Millisecond, time.Second}[random.IntN(3)]
	f.randomFaults(random)
	f.randomTraffic(random, limit)
	f.queueing = []time.Duration{0, 300 * time.Millisecond, 3 * time.Second}[random.IntN(3)]
	f.zones = []int{0, 1, 4}[random.IntN(3)]
	f.runUntil(historyLength)
	return f
}

// randomTraffic lets clients send on all daemons or on a few, at a steady rate or in waves that let buckets fill.
func (f *fleet) randomTraffic(random *rand.Rand, limit Limit) {
	load := []float64{0.62, 1, 2, 8}[random.IntN(4)]
	spread := []int{1, 2, len(f.daemons)}[random.IntN(3)]
	pick := func() *simulatedDaemon {
		if len(f.daemons) == 0 {
			return nil
		}
		return f.daemons[f.random.IntN(min(spread, len(f.daemons)))]
	}
	clump := []int{1, 3, 20}[random.IntN(3)]
	if random.IntN(2) == 0 {
		f.arrivals("t", load*limit.RatePerSecond, clump, historyLength, pick)
		return
	}
	for start := time.Duration(0); start < historyLength; start += 6 * time.Second {
		f.after(start+time.Duration(random.Int64N(int64(3*time.Second))), func() {
			f.arrivals("t", load*limit.RatePerSecond, clump, f.now+3*time.Second, pick)
		})
	}
}

// randomFaults lets up to eight faults happen.
func (f *fleet) randomFaults(random *rand.Rand) {
	for range random.IntN(9) {
		at := time.Duration(random.Int64N(int64(historyLength)))
		length := time.Duration(random.Int64N(int64(8 * time.Second)))
		fraction := random.Float64()
		kind := random.IntN(7)
		f.after(at, func() { f.fault(kind, fraction, length) })
	}
}

// fault makes one fault happen to a fraction of the fleet for a time.
func (f *fleet) fault(kind int, fraction float64, length time.Duration) {
	f.trace("%v: fault %d on %.2f of %d daemons for %v, term %d", f.now, kind, fraction, len(f.daemons), length, f.term)
	affected := f.daemons[:int(fraction*float64(len(f.daemons)+1))]
	switch kind {
	case 0, 1:
		if f.leader != nil {
			f.changeLeader(length / 4)
		}
	case 2, 3:
		f.isolate(affected, length)
	case 4:
		for _, d := range affected {
			d.freeze(length)
		}
	case 5:
		f.restart(affected)
	case 6:
		f.lowerLimit(length / 16)
	}
}

// isolate takes daemons out of contact for a time.
func (f *fleet) isolate(daemons []*simulatedDaemon, length time.Duration) {
	for _, d := range daemons {
		d.isolated = true
		f.after(length, func() { d.isolated = false })
	}
}

// restart ends daemons and starts them again under new incarnations.
func (f *fleet) restart(daemons []*simulatedDaemon) {
	for _, d := range append([]*simulatedDaemon(nil), daemons...) {
		d.crash()
		f.addDaemon(d.id.Name())
	}
}

// lowerLimit halves the tenant's limit and later doubles it again, on the daemons later than at the leader.
func (f *fleet) lowerLimit(later time.Duration) {
	limit := f.limits["t"]
	f.setLimit(Limit{RatePerSecond: limit.RatePerSecond / 2, Burst: limit.Burst / 2}, later)
	f.after(8*time.Second, func() {
		limit := f.limits["t"]
		f.setLimit(Limit{RatePerSecond: limit.RatePerSecond * 2, Burst: limit.Burst * 2}, later)
	})
}

// setLimit puts a limit in force at the leader, and later on the daemons. A window that begins before it is in force
// everywhere, and before the tokens given earlier have lapsed, may have what the highest of the limits allows.
func (f *fleet) setLimit(limit Limit, later time.Duration) {
	f.limits = map[string]Limit{"t": limit}
	tally := f.tally["t"]
	raised := limit.RatePerSecond >= tally.changes[len(tally.changes)-1].limit.RatePerSecond
	change := func() {
		// A limit that another one has replaced meanwhile was never in force everywhere.
		if f.limits["t"] == limit {
			tally.changes = append(tally.changes, limitChange{at: f.now, limit: limit})
		}
	}
	if raised {
		change()
	}
	f.after(later, func() {
		if f.limits["t"] != limit {
			return
		}
		for _, d := range f.daemons {
			d.limits = f.limits
		}
		if !raised {
			f.after(TokenValidity, change)
		}
	})
}

func TestNoWindowExceedsTheLimitInRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = histories(100)
	properties := gopter.NewProperties(parameters)
	properties.Property("the requests sent in each window stay within the bounds", prop.ForAll(
		func(seed uint64) string {
			f := randomHistory(seed, noTrace)
			if excess := f.excess("t"); excess > 0 {
				return fmt.Sprintf("%d daemons, limits %v, %.1f too many", len(f.daemons), f.tally["t"].changes, excess)
			}
			return ""
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestReplay plays the history of one seed with a trace: CRESSPOND_SEED=7 go test -v -run Replay.
func TestReplay(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	f := randomHistory(seed, t.Logf)
	if excess := f.excess("t"); excess > 0 {
		t.Errorf("%.1f requests too many", excess)
	}
}
