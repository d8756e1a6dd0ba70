package outlier

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Counters are counted over a detector's lifetime.
type Counters struct {
	Attempts, Failures, Ejections, Relapses, Throttled, Returns, DigestsDropped uint64
	// Spared counts the steps in which an engine stood out that the bound left in.
	Suppressed uint64
}

// Detector weighs what all daemons saw. It belongs to whoever plans.
type Detector struct {
	settings  Settings
	Counters  Counters
	engines   map[ident.EngineID]*engineState
	pools     map[string][]ident.EngineID
	baselines map[string]baseline
}

// NewDetector makes one that knows nothing yet, and so takes all engines for healthy.
func NewDetector(settings Settings) *Detector {
	return &Detector{settings: settings, engines: map[ident.EngineID]*engineState{}, baselines: map[string]baseline{}}
}

// SetPools takes up which engines each pool has that may be sent to.
func (j *Detector) SetPools(pools map[string][]ident.EngineID) {
	j.pools = pools
	known := map[ident.EngineID]bool{}
	for pool, engines := range pools {
		for _, id := range engines {
			known[id] = true
			if j.engines[id] == nil || j.engines[id].pool != pool {
				j.engines[id] = &engineState{pool: pool, zones: map[ident.ZoneID]*stageState{}}
			}
		}
	}
	// One that left the list and comes back keeps its standing only while it is remembered elsewhere: it does not
	// pay to remember engines that never come back.
	maps.DeleteFunc(j.engines, func(id ident.EngineID, _ *engineState) bool { return !known[id] })
}

// Step moves engines between stages; it is to be called about each tenth of a second.
func (j *Detector) Step(now clock.Mark) {
	for _, pool := range slices.Sorted(maps.Keys(j.pools)) {
		j.stepPool(now, j.pools[pool])
	}
}
