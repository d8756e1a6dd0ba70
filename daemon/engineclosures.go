package daemon

import (
	"github.com/cresspond/cresspond/process/engines/registry"
)

// engineOpen says whether operators let new requests go to a registered engine.
func (d *Daemon) engineOpen(engine *registry.Engine) bool {
	table := d.rollout.Table()
	return table == nil || table.OpenRegistered(engine.ID, engine.Zone)
}

// engineDrainedByRanking says whether the ranking shut a registered engine.
func (d *Daemon) engineDrainedByRanking(engine *registry.Engine) bool {
	table := d.rollout.Table()
	return table != nil && table.Closures.Engines[engine.ID].Ranking != nil
}

// migrateFromDrained has what is under way at engines that the ranking shut go on elsewhere.
func (d *Daemon) migrateFromDrained() {
	table := d.rollout.Table()
	if table == nil || d.forwarding.gateway == nil {
		return
	}
	for _, closure := range table.Closures.Engines {
		if closure.Ranking != nil {
			go d.forwarding.gateway.MigrateEvacuated()
			return
		}
	}
}
