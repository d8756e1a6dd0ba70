package poolplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// crowdedCatalogue is one model of twelve adapters, four more than an engine has places.
func crowdedCatalogue() upstream.Catalogue {
	return upstream.Catalogue{Slots: fakeSlots, MemoryTokens: 150000, CapacityMb: 83000, AdapterSlots: 8, LoadsPerSecond: 2,
		Models: []upstream.Model{{Name: "m00", SizeMb: 60000, LoadMs: 2000, Adapters: 12, AdapterSizeMb: 40}}}
}

// crowded is a fleet whose engines all hold that model, and whose clients request its adapters alike.
func crowded(seed uint64, engines int, perSecond float64) *fakeFleet {
	f := newFleet(seed, crowdedCatalogue(), engines)
	for _, e := range f.engines {
		e.models["m00"], e.disk["m00"] = nil, true
	}
	f.rate = func(clock.Mark) (float64, func() (registry.Target, *fakeRequest)) {
		return perSecond, func() (registry.Target, *fakeRequest) {
			return registry.Target{Model: "m00", Adapter: fmt.Sprint("a", 1+f.random.IntN(12))},
				&fakeRequest{tokensIn: 1460, tokensOut: 171, latencyTarget: clock.Mark(600 * time.Millisecond), deadline: clock.Mark(10 * time.Second)}
		}
	}
	return f
}

func (f *fakeFleet) adapterChanges() uint64 {
	return f.planner.Counters.AdapterLoads + f.planner.Counters.AdapterEvicts
}

// Where more adapters are requested than an engine has places, they take turns: everyone gets one, and the engine
// trades one in use for another no more often than once in a turn, however many ask.
func TestAdaptersOnACrowdedEngineTakeTurns(t *testing.T) {
	const minute = time.Minute
	for _, perSecond := range []float64{1, 3, 6, 12} {
		for seed := range seeds(6) {
			f := crowded(seed, 1, perSecond)
			f.run(20 * time.Second)
			before := f.adapterChanges()
			f.run(minute)
			// Each trade is an order to unload and one to load; a turn begun before counts in part.
			most := 2*uint64(minute/minAdapterResidence) + 1
			if given := f.adapterChanges() - before; given > most {
				t.Errorf("%v a second, seed %d: %d orders of adapters in a minute, where turns allow %d", perSecond, seed, given, most)
			}
			for target, asked := range f.askedBy {
				if asked >= 4 && f.servedBy[target] == 0 {
					t.Errorf("%v a second, seed %d: %s was asked for %d times and never had its turn", perSecond, seed, target.Adapter, asked)
				}
			}
			for _, fault := range f.faults {
				t.Errorf("seed %d: %s", seed, fault)
			}
		}
	}
}

// Where the engines that hold a model have places for all its adapters together, these are spread over them, and
// next to nothing is traded once they stand.
func TestAdaptersSpreadOverTheEnginesThatHoldTheirModel(t *testing.T) {
	for _, engines := range []int{2, 3} {
		total, runs := uint64(0), uint64(0)
		for seed := range seeds(6) {
			f := crowded(seed, engines, 6)
			f.run(20 * time.Second)
			before := f.adapterChanges()
			f.run(time.Minute)
			total += f.adapterChanges() - before
			runs++
			for target, asked := range f.askedBy {
				if asked >= 4 && f.servedBy[target] == 0 {
					t.Errorf("seed %d: %s was never served", seed, target.Adapter)
				}
			}
			if late := float64(f.late+f.refused) / float64(f.asked); late > 0.08 {
				t.Errorf("%d engines, seed %d: %.2f of the requests were late or refused: %s", engines, seed, late, f.summary())
			}
		}
		if mean := float64(total) / float64(runs); mean > 10 {
			t.Errorf("%d engines: %.0f orders of adapters in a minute, though all have a place", engines, mean)
		}
	}
}
