package poolplacement

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// Plans gives what is to be told of each engine whose part changed: at once what stands, goes and comes,
// and its load when that is another than was told.
func (p *Planner) Plans(now clock.Mark) map[ident.EngineID]registry.Plan {
	var out map[ident.EngineID]registry.Plan
	for _, id := range p.ids {
		e := p.engines[id]
		if !e.read {
			continue
		}
		next := p.planOf(now, e)
		if e.spoken && !differs(e, next, now.Since(e.toldAt)) {
			continue
		}
		e.told, e.toldAt, e.spoken = next, now, true
		if out == nil {
			out = map[ident.EngineID]registry.Plan{}
		}
		out[id] = next
	}
	return out
}

func (p *Planner) planOf(now clock.Mark, e *engine) registry.Plan {
	plan := registry.Plan{Models: e.report.Models, Active: e.report.Active, Queued: e.report.Queued, MemoryUsed: e.report.MemoryUsed, Memory: e.report.Memory}
	if f := e.flight; f != nil {
		if f.Kind == Evict {
			plan.Retiring = append(plan.Retiring, f.Target())
		} else {
			plan.PendingLoads = append(plan.PendingLoads, registry.PendingLoad{Target: f.Target(), Ready: f.ready})
		}
	}
	if p.settings.TellShares {
		plan.Weights = p.judge.Weights(now, e.id)
	}
	if e.intent != nil {
		for _, victim := range e.intent.victims {
			if !slices.Contains(plan.Retiring, victim) {
				plan.Retiring = append(plan.Retiring, victim)
			}
		}
		ready := e.intent.told + clock.Mark(p.settings.Notice+time.Duration(len(e.intent.victims))*evictSpan)
		if model := e.pool.models[e.intent.Model]; e.intent.Adapter == "" && model != nil {
			ready += clock.Mark(time.Duration(model.LoadMs) * time.Millisecond)
		}
		plan.PendingLoads = append(plan.PendingLoads, registry.PendingLoad{Target: e.intent.Target, Ready: max(ready, now)})
	}
	return plan
}

// weightsAgain is how often shares that are not all are told.
const weightsAgain = 2 * time.Second

// differs says whether something is worth telling anew.
func differs(e *engine, next registry.Plan, since time.Duration) bool {
	told := &e.told
	if !slices.Equal(told.Retiring, next.Retiring) || !slices.EqualFunc(told.PendingLoads, next.PendingLoads, func(a, b registry.PendingLoad) bool { return a.Target == b.Target }) ||
		!slices.EqualFunc(told.Models, next.Models, func(a, b registry.LoadedModel) bool {
			return a.Model == b.Model && a.Generation == b.Generation && slices.Equal(a.Adapters, b.Adapters)
		}) {
		return true
	}
	// A share that is not told again in time is no longer believed.
	if !slices.Equal(told.Weights, next.Weights) || len(next.Weights) > 0 && since > weightsAgain {
		return true
	}
	moved := func(a, b, of float64) bool { return math.Abs(a-b) > of/8 }
	return (told.Queued > 0) != (next.Queued > 0) || moved(float64(told.Active), float64(next.Active), float64(e.slots)) ||
		moved(float64(told.MemoryUsed), float64(next.MemoryUsed), float64(next.Memory)) ||
		since > 5*time.Second && (told.Active != next.Active || told.MemoryUsed != next.MemoryUsed)
}
