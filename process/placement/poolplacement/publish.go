package poolplacement

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// Plans gives the plans to publish, of each engine whose plan changed: at once what is loaded, retiring and pending, and
// its load when it differs enough from what was published.
func (p *Planner) Plans(now clock.Mark) map[ident.EngineID]registry.Plan {
	var out map[ident.EngineID]registry.Plan
	for _, id := range p.ids {
		e := p.engines[id]
		if !e.reportRead {
			continue
		}
		next := p.planOf(now, e)
		if e.hasPublished && !shouldPublish(e, next, now.Since(e.publishedAt)) {
			continue
		}
		e.published, e.publishedAt, e.hasPublished = next, now, true
		if out == nil {
			out = map[ident.EngineID]registry.Plan{}
		}
		out[id] = next
	}
	return out
}

func (p *Planner) planOf(now clock.Mark, e *engine) registry.Plan {
	plan := registry.Plan{Models: e.report.Models, Active: e.report.Active, Queued: e.report.Queued, MemoryUsed: e.report.MemoryUsed, Memory: e.report.Memory}
	if f := e.pending; f != nil {
		if f.Kind == Evict {
			plan.Retiring = append(plan.Retiring, f.Target())
		} else {
			plan.PendingLoads = append(plan.PendingLoads, registry.PendingLoad{Target: f.Target(), Ready: f.ready})
		}
	}
	if p.settings.PublishWeights {
		plan.Weights = p.outliers.Weights(now, e.id)
	}
	if e.intent != nil {
		for _, victim := range e.intent.victims {
			if !slices.Contains(plan.Retiring, victim) {
				plan.Retiring = append(plan.Retiring, victim)
			}
		}
		ready := e.intent.announcedAt + clock.Mark(p.settings.EvictionNotice+time.Duration(len(e.intent.victims))*evictSpan)
		if e.intent.Adapter == "" {
			ready += clock.Mark(e.pool.loadTime(e.intent.Model))
		}
		plan.PendingLoads = append(plan.PendingLoads, registry.PendingLoad{Target: e.intent.Target, Ready: max(ready, now)})
	}
	return plan
}

// republishWeightsAfter is how often weights below one are published again.
const republishWeightsAfter = 2 * time.Second

// shouldPublish says whether a plan differs enough from the published one.
func shouldPublish(e *engine, next registry.Plan, since time.Duration) bool {
	published := &e.published
	if !slices.Equal(published.Retiring, next.Retiring) || !slices.EqualFunc(published.PendingLoads, next.PendingLoads, func(a, b registry.PendingLoad) bool { return a.Target == b.Target }) ||
		!slices.EqualFunc(published.Models, next.Models, func(a, b registry.LoadedModel) bool {
			return a.Model == b.Model && a.Generation == b.Generation && slices.Equal(a.Adapters, b.Adapters)
		}) {
		return true
	}
	// A weight that is not published again in time expires.
	if !slices.Equal(published.Weights, next.Weights) || len(next.Weights) > 0 && since > republishWeightsAfter {
		return true
	}
	moved := func(a, b, of float64) bool { return math.Abs(a-b) > of/8 }
	return (published.Queued > 0) != (next.Queued > 0) || moved(float64(published.Active), float64(next.Active), float64(e.slots)) ||
		moved(float64(published.MemoryUsed), float64(next.MemoryUsed), float64(next.Memory)) ||
		since > 5*time.Second && (published.Active != next.Active || published.MemoryUsed != next.MemoryUsed)
}
