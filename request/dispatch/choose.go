package dispatch

import (
	"slices"

	"github.com/cresspond/cresspond/process/engines/discovery"
)

// canServe says whether an engine may be sent this record at all, apart from free slots.
func (c *Core) canServe(engine *discovery.Engine, record *Record) bool {
	return engine.Usable() && c.world.Table.Open(engine.ID) && engine.Holds(record.Model, record.Adapter)
}

// chooseEngine finds the engine: the assigned one if it may still be used, else the best of those that can serve it.
func (c *Core) chooseEngine(record *Record) (*discovery.Engine, bool) {
	if record.assigned != "" {
		assigned := c.world.Engines.Engines[record.assigned]
		// An assignment is kept even when it means waiting, unless the engine may not or cannot be used any more.
		if assigned != nil && c.canServe(assigned, record) {
			return assigned, c.freeSlots(assigned) > 0
		}
		// An engine that was unhealthy only for a moment may recover: its sessions wait a little before they are reassigned.
		if assigned != nil && !assigned.Draining && c.world.Table.Open(assigned.ID) && assigned.Condition != discovery.Healthy && c.world.Now.Since(assigned.ConditionSince) < assignmentGrace {
			return nil, false
		}
	}
	var best *discovery.Engine
	bestScore := 0.0
	othersCanServe := len(record.failed) > 0 && c.otherEngineCanServe(record)
	for _, engine := range c.world.Engines.Engines {
		if !c.canServe(engine, record) || othersCanServe && slices.Contains(record.failed, engine.ID) {
			continue
		}
		free := c.freeSlots(engine)
		if free <= 0 {
			continue
		}
		allowedEngine, _ := c.world.Table.Engine(engine.ID)
		// Of the engines with free slots, the one that is less busy by its report.
		score := (float64(free) - float64(engine.Report.Busy)) / float64(allowedEngine.Slots)
		if record.Prefix != "" && c.prefixes[record.Model+"\x00"+record.Prefix] == engine.ID {
			score += 4
		}
		// Traffic between zones is costly, so the own zone outweighs any difference in free slots.
		if engine.Zone == c.world.Zone {
			score += 2
		}
		if best == nil || score > bestScore || score == bestScore && engine.ID < best.ID {
			best, bestScore = engine, score
		}
	}
	return best, best != nil
}

// otherEngineCanServe says whether any engine that has not failed this record yet could serve it.
func (c *Core) otherEngineCanServe(record *Record) bool {
	for _, engine := range c.world.Engines.Engines {
		if !slices.Contains(record.failed, engine.ID) && c.canServe(engine, record) {
			return true
		}
	}
	return false
}
