package daemon

import (
	"github.com/cresspond/cresspond/process/engines/registry"
)

// engineOpen says whether operators let new requests be sent to a registered engine.
func (d *Daemon) engineOpen(engine *registry.Engine) bool {
	table := d.rollout.Table()
	return table == nil || table.OpenRegistered(engine.ID, engine.Zone)
}

// engineDrainedByRanking says whether the node ranking drains a registered engine.
func (d *Daemon) engineDrainedByRanking(engine *registry.Engine) bool {
	table := d.rollout.Table()
	return table != nil && table.Closures.Engines[engine.ID].Ranking != nil
}

// migrateFromDrained has requests at engines that the node ranking drains continue at others. The gateway does so on
// a goroutine that ends when all have been told.
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
