package poolplacement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// sharedCatalogue is 35 models of three sizes, more than nine engines can hold with replicas.
func sharedCatalogue() upstream.Catalogue {
	c := upstream.Catalogue{Slots: fakeSlots, MemoryTokens: 150000, CapacityMb: 200000, AdapterSlots: 8, LoadsPerSecond: 2.6}
	sizes, loads := []float64{34300, 51000, 72700}, []int64{1500, 2200, 3200}
	for i := range 35 {
		adapters := 0
		if i%3 == 0 {
			adapters = 4
		}
		c.Models = append(c.Models, upstream.Model{Name: fmt.Sprintf("m%02d", i), SizeMb: sizes[i%3], LoadMs: loads[i%3], Adapters: adapters, AdapterSizeMb: 40})
	}
	return c
}

// zipf requests a few models much and for many little; which are which moves with the shift.
func zipf(f *fakeFleet, perSecond, power float64, shift func(now clock.Mark) int) {
	total := 0.0
	weights := make([]float64, len(f.truth.Models))
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -power)
		total += weights[i]
	}
	f.rate = func(now clock.Mark) (float64, func() (registry.Target, *fakeRequest)) {
		return perSecond, func() (registry.Target, *fakeRequest) {
			at, chosen := f.random.Float64()*total, 0
			for i, wanted := range weights {
				if at -= wanted; at < 0 {
					chosen = i
					break
				}
			}
			model := f.truth.Models[(chosen+shift(now))%len(weights)]
			target := registry.Target{Model: model.Name}
			if model.Adapters > 0 && f.random.IntN(2) == 0 {
				target.Adapter = fmt.Sprint("a", 1+f.random.IntN(model.Adapters))
			}
			if f.random.IntN(4) == 0 {
				return target, &fakeRequest{tokensIn: 1460, tokensOut: 171, latencyTarget: clock.Mark(600 * time.Millisecond), deadline: clock.Mark(10 * time.Second)}
			}
			return target, &fakeRequest{tokensIn: 2368, tokensOut: 24, latencyTarget: clock.Mark(600 * time.Millisecond), deadline: clock.Mark(4 * time.Second)}
		}
	}
}

func seeds(few uint64) uint64 {
	if wanted, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 32); err == nil {
		return wanted
	}
	return few
}

func (f *fakeFleet) run(span time.Duration) {
	for end := f.now + clock.Mark(span); f.now < end; {
		f.step()
	}
}

func (f *fakeFleet) summary() string {
	slices.Sort(f.waits)
	at := func(share float64) time.Duration {
		if len(f.waits) == 0 {
			return 0
		}
		return f.waits[int(share*float64(len(f.waits)-1))]
	}
	starved := 0
	for target, asked := range f.askedBy {
		if asked >= 4 && f.servedBy[target] == 0 {
			starved++
		}
	}
	return fmt.Sprintf("asked %d, on time %d, late %d, refused %d, strays %d, starved %d of %d; loads %d, evicts %d, adapter orders %d; first token %v %v %v; %+v",
		f.asked, f.onTime, f.late, f.refused, f.strays, starved, len(f.askedBy), f.loads, f.evicts, f.adapterOrders, at(.5), at(.9), at(.99), f.planner.Counters)
}

func TestPlanServesDemandWithoutFaults(t *testing.T) {
	for seed := range seeds(3) {
		f := newFleet(seed, sharedCatalogue(), 9)
		f.run(10 * time.Second)
		zipf(f, 45, 1, func(now clock.Mark) int { return int(now/clock.Mark(20*time.Second)) * 5 })
		f.run(60 * time.Second)
		t.Log(f.summary())
		for _, fault := range f.faults {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}

// injectFault brings about one thing now and then.
func (f *fakeFleet) injectFault(random *rand.Rand) {
	e := f.engines[random.IntN(len(f.engines))]
	switch random.IntN(400) {
	case 0:
		f.restart(e)
	case 1:
		e.unreachableUntil = f.now + clock.Mark(time.Duration(random.IntN(5000))*time.Millisecond)
	case 2:
		if f.planner != nil {
			f.takeOver("b#" + f.holder[:1])
			if random.IntN(2) == 0 {
				f.holder = "c#1"
			}
		}
	case 3:
		e.leaving = true
		f.later = append(f.later, func() bool {
			if e.gone || len(e.running) == 0 {
				f.restart(e)
				return true
			}
			return false
		})
	case 4:
		f.lose = float64(random.IntN(3)) * 0.15
	case 5:
		f.fail = float64(random.IntN(3)) * 0.15
	}
}

func runWithFaults(seed uint64, change func(*fakeFleet)) *fakeFleet {
	f := newFleet(seed, sharedCatalogue(), 9)
	random := rand.New(rand.NewPCG(seed, 11))
	if change != nil {
		change(f)
	}
	zipf(f, 45, 1, func(now clock.Mark) int { return int(now/clock.Mark(15*time.Second)) * 5 })
	for end := f.now + clock.Mark(90*time.Second); f.now < end; {
		f.injectFault(random)
		f.step()
	}
	return f
}

func TestPlanHoldsItsLimitsUnderFaults(t *testing.T) {
	for seed := range seeds(8) {
		f := runWithFaults(seed, nil)
		for _, fault := range f.faults {
			t.Errorf("seed %d: %s", seed, fault)
		}
		if f.planner != nil {
			t.Logf("seed %d: %s", seed, f.summary())
		}
	}
}

// turns has planners stop cleanly, one after the other, so that only the quiet time stands between them.
func turns(seed uint64, announcesNothing bool) []string {
	f := newFleet(seed, sharedCatalogue(), 9)
	f.announcesNothing = announcesNothing
	zipf(f, 45, 1, func(now clock.Mark) int { return int(now/clock.Mark(15*time.Second)) * 5 })
	for turn := 0; turn < 12 && len(f.faults) == 0; turn++ {
		f.run(7 * time.Second)
		f.drop()
		f.takeOver(ident.NodeID(fmt.Sprintf("taker-%d", turn)))
	}
	return f.faults
}

// A successor keeps quiet after the last order announced. A planner that does not tell lets its successor order
// too soon, and the check sees it.
func TestSuccessorWaitsAfterTheLastAnnouncedOrder(t *testing.T) {
	seen := 0
	for seed := range seeds(6) {
		for _, fault := range turns(seed, false) {
			t.Errorf("seed %d: %s", seed, fault)
		}
		seen += len(turns(seed, true))
	}
	if seen == 0 {
		t.Fatal("no turn was seen although nothing was told of")
	}
}
