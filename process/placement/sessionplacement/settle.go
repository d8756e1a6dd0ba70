package sessionplacement

import (
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// settle compares each order under way with the newest report that can reflect it.
func (p *Planner) settle(in Input) {
	for id, inFlight := range p.inFlight {
		engine := in.Engines.Engines[id]
		switch {
		case engine == nil || engine.Address != inFlight.address || engine.Incarnation != inFlight.Incarnation && inFlight.confirmed:
			// A new incarnation of the engine: what was ordered before is void.
			p.Counters.Void++
			delete(p.inFlight, id)
			delete(p.ordered, id)
			continue
		case engine.Incarnation != inFlight.Incarnation:
			// The new incarnation was not known of when the order left, so it may be the one that got it: only its
			// reports can tell, and its counter began anew.
			inFlight.Incarnation, inFlight.Expect = engine.Incarnation, 1
			p.ordered[id] = 1
		case inFlight.answered > 0 && engine.ReportRequested > inFlight.answered:
			inFlight.confirmed = true
		}
		if engine.ReportRequested <= inFlight.Sent || inFlight.State == Sending {
			continue
		}
		if engine.Report.CallSeq < inFlight.Expect {
			// The report can't yet reflect the order. Only when reports asked for longer after than any lag still lack it, it never arrived.
			// One that was taken and never shows was taken by an incarnation that has ended unseen.
			if engine.ReportRequested.Since(inFlight.Sent) > reportLagLimit {
				p.Counters.NeverArrived++
				delete(p.inFlight, id)
			}
			continue
		}
		p.settleShown(in.Now, id, engine, inFlight)
	}
}

func (p *Planner) settleShown(now clock.Mark, id ident.EngineID, engine *discovery.Engine, inFlight *OrderInFlight) {
	held, present := find(engine, inFlight.Model)
	hasAdapter := present && slices.Contains(held.Adapters, inFlight.Adapter)
	var done, waiting bool
	switch inFlight.Kind {
	case engineapi.Load:
		done, waiting = present && held.State == engineapi.Loaded, present && held.State == engineapi.Loading
	case engineapi.Unload:
		done, waiting = !present, present && held.State == engineapi.Unloading
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
	case now.Since(inFlight.Sent) < 2*orderLimit:
		// The effect may need a moment to show.
		return
	default:
		p.Counters.Failed++
		p.blockedUntil[placed{id, inFlight.Model, inFlight.Adapter}] = now + clock.Mark(failedRest)
	}
	delete(p.inFlight, id)
}

func find(engine *discovery.Engine, model string) (engineapi.ModelReport, bool) {
	for _, held := range engine.Report.Models {
		if held.Model == model {
			return held, true
		}
	}
	return engineapi.ModelReport{}, false
}
