package placement

import (
	"slices"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/engines"
	"github.com/cresspond/cresspond/process/ident"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// settle compares each order under way with the newest report that can reflect it.
func (p *Planner) settle(in Input) {
	for id, flight := range p.inFlight {
		engine := in.Engines.Engines[id]
		switch {
		case engine == nil || engine.Address != flight.address || engine.Life != flight.Life && flight.ofThisLife:
			// A new life of the engine: what was ordered before is void.
			p.Counters.Void++
			delete(p.inFlight, id)
			delete(p.ordered, id)
			continue
		case engine.Life != flight.Life:
			// The new life was not known of when the order left, so it may be the one that got it: only its
			// reports can tell, and its counter began anew.
			flight.Life, flight.Expect = engine.Life, 1
			p.ordered[id] = 1
		case flight.answered > 0 && engine.Asked > flight.answered:
			flight.ofThisLife = true
		}
		if engine.Asked <= flight.Sent || flight.State == Sending {
			continue
		}
		if engine.Report.CallSeq < flight.Expect {
			// The report can't yet reflect the order. Only when reports asked for longer after than any lag still lack it, it never arrived.
			// One that was taken and never shows was taken by a life that has ended unseen.
			if engine.Asked.Since(flight.Sent) > reportLagLimit {
				p.Counters.NeverArrived++
				delete(p.inFlight, id)
			}
			continue
		}
		p.settleShown(in.Now, id, engine, flight)
	}
}

func (p *Planner) settleShown(now clock.Mark, id ident.EngineID, engine *engines.Engine, flight *InFlight) {
	held, present := find(engine, flight.Model)
	hasAdapter := present && slices.Contains(held.Adapters, flight.Adapter)
	var done, waiting bool
	switch flight.Kind {
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
	case now.Since(flight.Sent) < 2*orderLimit:
		// The effect may need a moment to show.
		return
	default:
		p.Counters.Failed++
		p.restful[place{id, flight.Model, flight.Adapter}] = now + clock.Mark(failedRest)
	}
	delete(p.inFlight, id)
}

func find(engine *engines.Engine, model string) (engineapi.ModelReport, bool) {
	for _, held := range engine.Report.Models {
		if held.Model == model {
			return held, true
		}
	}
	return engineapi.ModelReport{}, false
}
