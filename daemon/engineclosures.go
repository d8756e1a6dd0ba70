package daemon

import (
	"github.com/cresspond/cresspond/process/engines/registry"
)

// engineOpen says whether operators let new requests go to a registered engine.
func (d *Daemon) engineOpen(engine *registry.Engine) bool {
	t := d.rollout.Table()
	return t == nil || t.OpenRegistered(engine.ID, engine.Zone)
}

// engineEmptied says whether the ranking shut a registered engine.
func (d *Daemon) engineDrainedByRanking(engine *registry.Engine) bool {
	t := d.rollout.Table()
	return t != nil && t.Closures.Engines[engine.ID].Ranking != nil
}

// moveOff has what is under way at engines that the ranking shut go on elsewhere.
func (d *Daemon) migrateFromDrained() {
	t := d.rollout.Table()
	if t == nil || d.forwarding.gateway == nil {
		return
	}
	for _, mark := range t.Closures.Engines {
		if mark.Ranking != nil {
			go d.forwarding.gateway.MoveOff()
			return
		}
	}
}
