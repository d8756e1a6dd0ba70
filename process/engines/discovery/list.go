package discovery

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/platformapi"
)

func applyList(view *View, list platformapi.List, now clock.Mark) {
	for _, row := range list.Engines {
		if row.ID == "" || row.Address == "" {
			continue
		}
		engine, known := view.Engines[row.ID]
		var copied Engine
		switch {
		case !known:
			copied = Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: AwaitingReport}
		case engine.Address != row.Address:
			// The same name at another address is another machine: nothing known of the old one holds.
			copied = Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: AwaitingReport, Incarnation: engine.Incarnation + 1}
		default:
			copied = *engine
		}
		copied.lastListed = now
		if row.Draining && !copied.Draining {
			copied = *copied.withDraining(now)
		}
		view.Engines[row.ID] = &copied
	}
	for id, engine := range view.Engines {
		// Missing from one reading isn't gone; missing for long and silent is.
		if now.Since(engine.lastListed) > removeAfter && engine.Condition != Healthy {
			delete(view.Engines, id)
		}
	}
}
