package registry

import (
	"cmp"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
)

// older says whether a plan is older than another, or the same.
func notNewerThan(claim ident.FencingToken, turn uint64, than *Plan) bool {
	return than != nil && cmp.Or(cmp.Compare(claim, than.Claim), cmp.Compare(turn, than.Sequence)) <= 0
}

// Coming is something that the planner has ordered an engine to load.
type PendingLoad struct {
	Target
	// Ready is when it is expected to be there, by this daemon's own clock.
	Ready clock.Mark
}

// Plan is what the planner last told of an engine. Of two the one with the higher claim, then turn, counts.
type Plan struct {
	Claim    ident.FencingToken
	Sequence uint64
	// Models is what its newest report showed; Retiring is about to be unloaded and gets nothing new.
	Models       []LoadedModel
	Retiring     []Target
	PendingLoads []PendingLoad
	// Active, Queued and the memory in tokens are as reported.
	Active, Queued     int
	MemoryUsed, Memory int64
	// Weights are the shares of its usual requests that it is to get, where they are not all.
	Weights []outlier.Weight
	// Told is when this daemon heard it.
	Received clock.Mark
}

// weightsBelieved is for how long a share is believed; a planner that still goes by it tells it anew well before.
const weightsValidFor = 8 * time.Second

// Weight is the share of its usual requests that an engine is to get from daemons of a zone.
func (p *Plan) Weight(zone ident.ZoneID, now clock.Mark) float64 {
	if p == nil || len(p.Weights) == 0 || now.Since(p.Received) > weightsValidFor {
		return 1
	}
	return outlier.WeightFor(p.Weights, zone)
}
