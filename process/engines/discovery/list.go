package discovery

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/platformapi"
)

// removeAfter is how long an engine that doesn't report is kept once it is missing from the list.
const removeAfter = 30 * time.Second

// applyList adds and updates the engines of the platform's list. Rows without an id or an address are passed over.
func applyList(view *View, list platformapi.List, now clock.Mark) {
	for _, row := range list.Engines {
		if row.ID == "" || row.Address == "" {
			continue
		}
		updated := fromRow(view.Engines[row.ID], row)
		updated.lastListed = now
		if row.Draining && !updated.Draining {
			updated = *updated.withDraining(now)
		}
		view.Engines[row.ID] = &updated
	}
	for id, engine := range view.Engines {
		// Missing from one reading may be an error of the list; missing for long and not reporting is not.
		if now.Since(engine.lastListed) > removeAfter && engine.Condition != Healthy {
			delete(view.Engines, id)
		}
	}
}

// fromRow gives the engine of a row: the known one (nil is none), or a new one.
func fromRow(known *Engine, row platformapi.Engine) Engine {
	switch {
	case known == nil:
		return Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: AwaitingReport}
	case known.Address != row.Address:
		// The same id at another address is another machine: nothing known of the old one holds for it.
		return Engine{ID: row.ID, Address: row.Address, Zone: row.Zone, Condition: AwaitingReport, Incarnation: known.Incarnation + 1}
	}
	return *known
}
