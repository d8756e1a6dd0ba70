package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/ident"
)

// fullFrom is the share of its slots from which an engine may refuse requests or queue them.
const fullFrom = 0.75

// fullMemory is for how long after that it counts as full: reports are about a second apart, and requests that were
// queued are reported when they have begun.
const fullMemory = 2 * time.Second

// detectOutliers feeds the detector with the daemons' observations. The planner does so since it alone reads reports: a full
// engine's refusals and late first bytes say nothing of its health.
func (p *Planner) detectOutliers(in Input) {
	ids := map[string][]ident.EngineID{}
	for _, id := range p.ids {
		if e := p.engines[id]; e.usable {
			ids[e.pool.name] = append(ids[e.pool.name], id)
		}
	}
	p.outliers.SetPools(ids)
	full := func(id ident.EngineID) bool {
		e := p.engines[id]
		if e == nil || !e.reportRead {
			return false
		}
		if e.report.Queued > 0 || float64(e.report.Active) >= fullFrom*float64(e.slots) {
			e.lastFull = in.Now
		}
		return e.lastFull > 0 && in.Now.Since(e.lastFull) <= fullMemory
	}
	for _, outcome := range in.Outcomes {
		p.outliers.Observe(in.Now, outcome, full)
	}
	p.outliers.Step(in.Now)
	for id, e := range p.engines {
		e.unreliable = p.settings.ReplaceUnhealthy && p.outliers.NeedsReplacement(in.Now, id)
	}
}
