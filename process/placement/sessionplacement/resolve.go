package sessionplacement

import (
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// resolveOrders compares each pending order with the newest report that can reflect it.
func (p *Planner) resolveOrders(in Input) {
	for id, pending := range p.pending {
		engine := in.Engines.Engines[id]
		switch {
		case engine == nil || engine.Address != pending.address || engine.Incarnation != pending.Incarnation && pending.confirmed:
			// A new incarnation of the engine: what was ordered before is void.
			p.Counters.Void++
			delete(p.pending, id)
			delete(p.ordered, id)
			continue
		case engine.Incarnation != pending.Incarnation:
			// The new incarnation was not known of when the order left, so it may be the one that got it: only its
			// reports can tell, and its counter began anew.
			pending.Incarnation, pending.Expect = engine.Incarnation, 1
			p.ordered[id] = 1
		case pending.answered > 0 && engine.ReportRequested > pending.answered:
			pending.confirmed = true
		}
		if engine.ReportRequested <= pending.Sent || pending.State == Sending {
			continue
		}
		if engine.Report.CallSeq < pending.Expect {
			// The report can't reflect the order yet. If reports requested later than any lag still don't, the order never arrived.
			// One that was accepted and never shows was accepted by an incarnation that has ended unseen.
			if engine.ReportRequested.Since(pending.Sent) > reportLagLimit {
				p.Counters.NeverArrived++
				delete(p.pending, id)
			}
			continue
		}
		p.resolveFromReport(in.Now, id, engine, pending)
	}
}

// resolveFromReport decides by a report that reflects the order whether it is done, still running, or failed.
func (p *Planner) resolveFromReport(now clock.Mark, id ident.EngineID, engine *discovery.Engine, pending *PendingOrder) {
	reported, present := reportedModel(engine, pending.Model)
	hasAdapter := present && slices.Contains(reported.Adapters, pending.Adapter)
	var done, waiting bool
	switch pending.Kind {
	case engineapi.Load:
		done, waiting = present && reported.State == engineapi.Loaded, present && reported.State == engineapi.Loading
	case engineapi.Unload:
		done, waiting = !present, present && reported.State == engineapi.Unloading
	case engineapi.LoadAdapter:
		done = hasAdapter
	case engineapi.UnloadAdapter:
		done = !hasAdapter
	}
	switch {
	case done:
		p.Counters.Done++
	case waiting:
		return
	case now.Since(pending.Sent) < 2*orderTimeout:
		// The effect may need a moment to show.
		return
	default:
		p.Counters.Failed++
		p.blockedUntil[placement{id, pending.Model, pending.Adapter}] = now + clock.Mark(failedOrderBackoff)
	}
	delete(p.pending, id)
}

// reportedModel finds a model in an engine's report.
func reportedModel(engine *discovery.Engine, model string) (engineapi.ModelReport, bool) {
	for _, reported := range engine.Report.Models {
		if reported.Model == model {
			return reported, true
		}
	}
	return engineapi.ModelReport{}, false
}
