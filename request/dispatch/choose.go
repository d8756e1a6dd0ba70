package dispatch

import (
	"slices"

	"github.com/cresspond/cresspond/process/engines/discovery"
)

// fit says whether an engine may be sent this record at all, room aside.
func (c *Core) fit(engine *discovery.Engine, record *Record) bool {
	return engine.Usable() && c.world.Table.Open(engine.ID) && engine.Holds(record.Model, record.Adapter)
}

// pick finds the engine: the assigned one if it may still be used, else the best that fits.
func (c *Core) pick(record *Record) (*discovery.Engine, bool) {
	if record.assigned != "" {
		assigned := c.world.Engines.Engines[record.assigned]
		// An assignment is kept even when it means waiting, unless the engine may not or cannot be used any more.
		if assigned != nil && c.fit(assigned, record) {
			return assigned, c.room(assigned) > 0
		}
		// An engine in doubt for a moment is not gone: its sessions wait a little before they are assigned elsewhere.
		if assigned != nil && !assigned.Draining && c.world.Table.Open(assigned.ID) && assigned.Condition != discovery.Healthy && c.world.Now.Since(assigned.ConditionSince) < assignmentPatience {
			return nil, false
		}
	}
	var best *discovery.Engine
	bestScore := 0.0
	othersFit := len(record.failed) > 0 && c.anotherFits(record)
	for _, engine := range c.world.Engines.Engines {
		if !c.fit(engine, record) || othersFit && slices.Contains(record.failed, engine.ID) {
			continue
		}
		room := c.room(engine)
		if room <= 0 {
			continue
		}
		allowedEngine, _ := c.world.Table.Engine(engine.ID)
		// Between engines with room, the one that is less busy as far as reports tell.
		score := (float64(room) - float64(engine.Report.Busy)) / float64(allowedEngine.Slots)
		if record.Prefix != "" && c.prefixes[record.Model+"\x00"+record.Prefix] == engine.ID {
			score += 4
		}
		// Traffic between zones is costly, so the own zone outweighs any difference in room.
		if engine.Zone == c.world.Zone {
			score += 2
		}
		if best == nil || score > bestScore || score == bestScore && engine.ID < best.ID {
			best, bestScore = engine, score
		}
	}
	return best, best != nil
}

// anotherFits says whether any engine that has not failed this record yet could serve it.
func (c *Core) anotherFits(record *Record) bool {
	for _, engine := range c.world.Engines.Engines {
		if !slices.Contains(record.failed, engine.ID) && c.fit(engine, record) {
			return true
		}
	}
	return false
}
