package dispatch

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
)

// freeSlots is how many more attempts an engine may be sent from here now.
func (c *Core) freeSlots(engine *discovery.Engine) int {
	allowedEngine, ok := c.world.Table.Engine(engine.ID)
	if !ok {
		return 0
	}
	if at, refused := c.refusedAt[engine.ID]; refused && discovery.StillRefuses(at, engine.ReportRequested, c.world.Now) {
		return 0
	}
	if !c.world.Admission && engine.Report.Saturated && engine.ReportRequested > 0 && c.running[engine.ID] > 0 {
		return 0
	}
	slots := engine.Capacity(c.world.Now, allowedEngine.Slots)
	own := c.running[engine.ID]
	if c.world.Admission {
		// The owner of the engine's slots counts for all daemons; here only the number of requests to it is bounded.
		return slots - own
	}
	// What the report shows beyond what this daemon had running when it was requested is the work of others.
	others := max(0, engine.Report.Busy-c.runningAt(engine.ID, engine.ReportRequested))
	return slots - own - others
}

// runningCount is how many ran on an engine from a moment on.
type runningCount struct {
	from  clock.Mark
	count int
}

// countRunning counts an attempt in or out.
func (c *Core) countRunning(engine ident.EngineID, by int) {
	c.running[engine] += by
	history := append(c.runningHistory[engine], runningCount{c.world.Now, c.running[engine]})
	if known := c.world.Engines.Engines[engine]; known != nil {
		// Only the last change before the report, and those after it, are ever needed again.
		for len(history) > 1 && history[1].from <= known.ReportRequested {
			history = history[1:]
		}
	}
	c.runningHistory[engine] = history
}

// runningAt is how many ran on an engine from here at a moment.
func (c *Core) runningAt(engine ident.EngineID, at clock.Mark) int {
	count := 0
	for _, since := range c.runningHistory[engine] {
		if since.from > at {
			break
		}
		count = since.count
	}
	return count
}
