package daemon

import (
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// IsPlanner says whether this daemon holds the lease of a planner.
func (d *Daemon) IsPlanner() bool {
	return d.config.Serves(daemonconfig.Placement) && (d.sessionPlacer.Status().HasLease || d.poolPlanning.condition().HasLease)
}

// highestClaimSeen is the highest fencing token of planners that this daemon knows of, so that none is ever granted
// twice.
func (d *Daemon) highestClaimSeen() ident.FencingToken {
	var highest ident.FencingToken
	if d.poolPlanning == nil {
		return 0
	}
	for _, engine := range d.registry.View().Engines {
		if engine.Plan != nil {
			highest = max(highest, engine.Plan.Claim)
		}
	}
	return highest
}
