package poolplacement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// changedCatalogue is a valid change of what engines can really hold: models and adapters come and go in any order, and
// bounds and times go to the edges of what is valid. No bound goes beyond what engines have.
func changedCatalogue(random *rand.Rand, truth upstream.Catalogue) *upstream.Catalogue {
	changed := truth
	changed.Models = nil
	keep := []float64{0, 0.1, 0.5, 0.9, 1}[random.IntN(5)]
	for _, model := range truth.Models {
		if random.Float64() >= keep {
			continue
		}
		model.Adapters = random.IntN(model.Adapters + 1)
		switch random.IntN(8) {
		case 0:
			model.LoadMs = 0
		case 1:
			model.LoadMs = math.MaxInt64
		case 2:
			model.SizeMb = math.MaxFloat64
		}
		changed.Models = append(changed.Models, model)
	}
	random.Shuffle(len(changed.Models), func(i, j int) {
		changed.Models[i], changed.Models[j] = changed.Models[j], changed.Models[i]
	})
	switch random.IntN(8) {
	case 0:
		changed.CapacityMb = 0
	case 1:
		changed.AdapterSlots = 0
	case 2:
		changed.LoadsPerSecond = 0
	case 3:
		changed.Slots, changed.MemoryTokens = 0, 0
	case 4:
		changed.Slots, changed.MemoryTokens = math.MaxInt32, math.MaxInt64
	}
	return &changed
}

// changedSection is a valid section in which the pool's catalogue is changed, or the pool, its catalogue or its paths are
// withdrawn.
func changedSection(random *rand.Rand, revision uint64, truth upstream.Catalogue) *upstream.Section {
	pool := upstream.Pool{Name: "p", Catalogue: changedCatalogue(random, truth)}
	if random.IntN(8) == 0 {
		pool.Catalogue = nil
	}
	section := &upstream.Section{Revision: revision, Pools: []upstream.Pool{{Name: "plain"}}}
	if random.IntN(8) > 0 {
		section.Pools = append(section.Pools, pool)
		for number := range random.IntN(3) {
			section.Paths = append(section.Paths, upstream.Path{Name: fmt.Sprint("path", number), Rank: random.IntN(4),
				DeadlineMs: []int64{1, 600, 30_000, 86_400_000}[random.IntN(4)], TargetMs: []int64{0, 1, 600, math.MaxInt64}[random.IntN(4)],
				Shares: []upstream.Share{{Pool: "p", Weight: 1}, {Pool: "plain"}}})
		}
	}
	return section
}

// namedBy reports whether a section's catalogues name a target.
func namedBy(section *upstream.Section, target registry.Target) bool {
	return slices.ContainsFunc(section.Pools, func(pool upstream.Pool) bool {
		return pool.Catalogue != nil && slices.ContainsFunc(pool.Catalogue.Models, func(model upstream.Model) bool {
			return model.Name == target.Model && (target.Adapter == "" || model.HasAdapter(target.Adapter))
		})
	})
}

// checkIssuedLoads reports loads, ordered now, of what the section in force does not name.
func (f *fakeFleet) checkIssuedLoads() {
	if f.planner == nil {
		return
	}
	for _, e := range f.planner.engines {
		if e.pending != nil && e.pending.sent == f.now && e.pending.Kind == Load && !namedBy(f.section, e.pending.Target()) {
			f.fault("%s was ordered to load %v, which the configuration in force does not name", e.id, e.pending.Target())
		}
	}
}

// playWithdrawals changes the configuration many times while engines, their loads and the planner's lease come and go, and
// ends with the first configuration for a while. It gives the fleet with all that was broken.
func playWithdrawals(seed uint64) *fakeFleet {
	random := rand.New(rand.NewPCG(seed, 43))
	f := newFleet(seed, sharedCatalogue(), 3+random.IntN(5))
	f.lose, f.fail = 0.1, 0.1
	zipf(f, 10+40*random.Float64(), 0.9, func(clock.Mark) int { return int(seed % 7) })
	complete := f.section
	for change := range 25 {
		f.section = changedSection(random, uint64(change+2), *f.truth)
		switch random.IntN(6) {
		case 0:
			f.restart(f.engines[random.IntN(len(f.engines))])
		case 1:
			f.drop()
			f.takeOver(ident.NodeID(fmt.Sprint("d#", change)))
		case 2:
			f.section = complete
		}
		for range 1 + random.IntN(60) {
			f.step()
			f.checkIssuedLoads()
		}
	}
	f.section = complete
	f.run(15 * time.Second)
	servedBefore := f.served
	f.run(10 * time.Second)
	if f.served == servedBefore {
		f.fault("nothing is served in 10 s with the complete configuration back in force")
	}
	return f
}

// Guards against a planner that ends its process when a model, an adapter, a catalogue or a pool is withdrawn that it has
// demand, intents or loads for.
func TestPlannerOutlivesWithdrawalsFromTheCatalogue(t *testing.T) {
	for seed := range seeds(40) {
		if f := playWithdrawals(seed); len(f.faults) > 0 {
			t.Errorf("seed %d: %v", seed, f.faults[:min(3, len(f.faults))])
		}
	}
}

// FuzzWithdrawals plays TestPlannerOutlivesWithdrawalsFromTheCatalogue with any seed.
func FuzzWithdrawals(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if fleet := playWithdrawals(seed); len(fleet.faults) > 0 {
			t.Error(fleet.faults[:min(3, len(fleet.faults))])
		}
	})
}
