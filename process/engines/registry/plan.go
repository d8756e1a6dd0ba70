package registry

import (
	"cmp"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
)

// PendingLoad is a load that the planner has ordered and that is not done yet.
type PendingLoad struct {
	Target
	// Ready is when it is expected to be done, by this daemon's own clock.
	Ready clock.Mark
}

// Plan is what the pool planner last published of an engine. Of two the one with the higher claim, then sequence, wins.
type Plan struct {
	// Claim is the planner's fencing token, Sequence its count of publications.
	Claim    ident.FencingToken
	Sequence uint64
	// Models is what the engine's newest report showed; nil is not known. Retiring is about to be unloaded, and gets
	// nothing new.
	Models       []LoadedModel
	Retiring     []Target
	PendingLoads []PendingLoad
	// Active and Queued are requests, MemoryUsed and Memory tokens, all as the engine reported them.
	Active, Queued     int
	MemoryUsed, Memory int64
	// Weights are the fractions of its usual requests that it is to get, where that is not all of them.
	Weights []outlier.Weight
	// Received is when this daemon received it.
	Received clock.Mark
}

// weightsValidFor is how long a weight holds after it was received. A planner that still applies it publishes it again
// well before that.
const weightsValidFor = 8 * time.Second

// Weight is the fraction of its usual requests that an engine is to get from daemons of a zone.
func (p *Plan) Weight(zone ident.ZoneID, now clock.Mark) float64 {
	if p == nil || len(p.Weights) == 0 || now.Since(p.Received) > weightsValidFor {
		return 1
	}
	return outlier.WeightFor(p.Weights, zone)
}

// notNewerThan reports whether a plan of this version is older than another plan, or the same.
func notNewerThan(claim ident.FencingToken, sequence uint64, plan *Plan) bool {
	return plan != nil && cmp.Or(cmp.Compare(claim, plan.Claim), cmp.Compare(sequence, plan.Sequence)) <= 0
}
