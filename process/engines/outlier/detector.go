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
	// Suppressed counts the steps in which an engine would have been ejected but for the limit.
	Suppressed uint64
}

// Detector evaluates what all daemons observed. It belongs to the pool planner's goroutine.
type Detector struct {
	settings  Settings
	Counters  Counters
	engines   map[ident.EngineID]*engineState
	pools     map[string][]ident.EngineID
	baselines map[string]baseline
}

// NewDetector makes a detector without observations, to which all engines are healthy.
func NewDetector(settings Settings) *Detector {
	return &Detector{settings: settings, engines: map[ident.EngineID]*engineState{}, baselines: map[string]baseline{}}
}

// SetPools sets the engines of each pool that may be sent to.
func (d *Detector) SetPools(pools map[string][]ident.EngineID) {
	d.pools = pools
	known := map[ident.EngineID]bool{}
	for pool, engines := range pools {
		for _, id := range engines {
			known[id] = true
			if d.engines[id] == nil || d.engines[id].pool != pool {
				d.engines[id] = &engineState{pool: pool, zones: map[ident.ZoneID]*stageState{}}
			}
		}
	}
	// An engine that leaves the pools and comes back starts anew: most never come back.
	maps.DeleteFunc(d.engines, func(id ident.EngineID, _ *engineState) bool { return !known[id] })
}

// Step moves engines between stages; it is to be called some ten times a second.
func (d *Detector) Step(now clock.Mark) {
	for _, pool := range slices.Sorted(maps.Keys(d.pools)) {
		d.stepPool(now, d.pools[pool])
	}
}
