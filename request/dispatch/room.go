package dispatch

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
)

// room is how many more attempts an engine may get from here now.
func (c *Core) room(engine *discovery.Engine) int {
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
		// The engine's keeper counts for all daemons; here only the asking is bounded.
		return slots - own
	}
	// What the report shows beyond what this daemon had running when it was asked is others' work.
	others := max(0, engine.Report.Busy-c.ranAt(engine.ID, engine.ReportRequested))
	return slots - own - others
}

// ranSince is how many ran on an engine from a moment on.
type ranSince struct {
	from  clock.Mark
	count int
}

// run counts an attempt in or out.
func (c *Core) run(engine ident.EngineID, by int) {
	c.running[engine] += by
	history := append(c.history[engine], ranSince{c.world.Now, c.running[engine]})
	if known := c.world.Engines.Engines[engine]; known != nil {
		// What lies before the last change ahead of the report is never asked for again.
		for len(history) > 1 && history[1].from <= known.ReportRequested {
			history = history[1:]
		}
	}
	c.history[engine] = history
}

// ranAt is how many ran on an engine from here at a moment.
func (c *Core) ranAt(engine ident.EngineID, at clock.Mark) int {
	count := 0
	for _, since := range c.history[engine] {
		if since.from > at {
			break
		}
		count = since.count
	}
	return count
}
