package daemon

import (
	"github.com/cresspond/cresspond/process/engines/registry"
)

// engineOpen says whether operators let new requests go to a registered engine.
func (d *Daemon) engineOpen(engine *registry.Engine) bool {
	t := d.keeper.Table()
	return t == nil || t.OpenRegistered(engine.ID, engine.Zone)
}

// engineEmptied says whether the ranking shut a registered engine.
func (d *Daemon) engineEmptied(engine *registry.Engine) bool {
	t := d.keeper.Table()
	return t != nil && t.Closures.Engines[engine.ID].Ranking != nil
}

// moveOff has what is under way at engines that the ranking shut go on elsewhere.
func (d *Daemon) moveOff() {
	t := d.keeper.Table()
	if t == nil || d.forwardSide.gateway == nil {
		return
	}
	for _, mark := range t.Closures.Engines {
		if mark.Ranking != nil {
			go d.forwardSide.gateway.MoveOff()
			return
		}
	}
}
