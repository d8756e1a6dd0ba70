package soundness

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
)

// Counters are counted over a judge's life.
type Counters struct {
	Attempts, Wrong, Ejections, Relapses, Slowed, Returns, DigestsDropped uint64
	// Spared counts the steps in which an engine stood out that the bound left in.
	Spared uint64
}

// Judge weighs what all daemons saw. It belongs to whoever plans.
type Judge struct {
	settings Settings
	Counters Counters
	engines  map[ident.EngineID]*judged
	pools    map[string][]ident.EngineID
	sums     map[string]poolSum
}

// NewJudge makes one that knows nothing yet, and so finds all sound.
func NewJudge(settings Settings) *Judge {
	return &Judge{settings: settings, engines: map[ident.EngineID]*judged{}, sums: map[string]poolSum{}}
}

// Meet takes up which engines each pool has that may be sent to.
func (j *Judge) Meet(pools map[string][]ident.EngineID) {
	j.pools = pools
	known := map[ident.EngineID]bool{}
	for pool, engines := range pools {
		for _, id := range engines {
			known[id] = true
			if j.engines[id] == nil || j.engines[id].pool != pool {
				j.engines[id] = &judged{pool: pool, zones: map[ident.ZoneID]*standing{}}
			}
		}
	}
	// One that left the list and comes back keeps its standing only while it is remembered elsewhere: it does not
	// pay to remember lives that never come back.
	maps.DeleteFunc(j.engines, func(id ident.EngineID, _ *judged) bool { return !known[id] })
}

// Step moves engines between stages; it is to be called about each tenth of a second.
func (j *Judge) Step(now clock.Mark) {
	for _, pool := range slices.Sorted(maps.Keys(j.pools)) {
		j.stepPool(now, j.pools[pool])
	}
}
