package poolplacement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// logStepsEvery is how often a debug line sums up the steps of the plan.
const logStepsEvery = time.Second

// stepLog sums up the steps since the last debug line.
type stepLog struct {
	told          clock.Mark
	steps         int
	took, longest time.Duration
	before        Counters
}

// logSteps writes a debug line a second on what the plan did, and what was in the way of models that are waited for.
func (a *Actor) logSteps(now clock.Mark, took time.Duration) {
	s := &a.steps
	s.steps++
	s.took += took
	s.longest = max(s.longest, took)
	if now.Since(s.told) < logStepsEvery {
		return
	}
	fields := a.planner.occupation(now)
	fields["steps"], fields["tookMs"], fields["longestMs"] = s.steps, s.took.Milliseconds(), s.longest.Milliseconds()
	counters := a.planner.Counters
	fields["loads"], fields["adapterLoads"], fields["unloads"] = counters.Loads-s.before.Loads, counters.AdapterLoads-s.before.AdapterLoads, counters.Evicts-s.before.Evicts
	for obstacle, count := range counters.Unplaced {
		fields["unplaced_"+ObstacleNames[obstacle]] = count - s.before.Unplaced[obstacle]
	}
	fields["busiest"] = a.planner.busiest()
	a.log.WithFields(fields).Debug("steps of the plan")
	*s = stepLog{told: now, before: counters}
}

// busiestShown is how many models a debug line shows.
const busiestShown = 4

// busiest describes the models most asked for: how many engines hold and get each, and what runs and waits.
func (p *Planner) busiest() []string {
	type row struct {
		name string
		a    *ask
	}
	var rows []row
	for _, asks := range p.asks {
		for name, a := range asks.models {
			rows = append(rows, row{name, a})
		}
	}
	slices.SortFunc(rows, func(x, y row) int {
		return cmp.Or(cmp.Compare(y.a.tokens, x.a.tokens), cmp.Compare(x.name, y.name))
	})
	var out []string
	for _, one := range rows[:min(busiestShown, len(rows))] {
		holding, getting, active, queued := 0, 0, 0, 0
		for _, e := range p.engines {
			if !e.counts() {
				continue
			}
			if _, held := e.held(one.name); held {
				holding++
				active += e.report.Active
				queued += e.report.Queued
			}
			if e.flight != nil && e.flight.Kind == Load && e.flight.Target() == (registry.Target{Model: one.name}) {
				getting++
			}
		}
		out = append(out, fmt.Sprintf("%s: %d hold, %d get, %.0f/s, %d run, %d held, engines run %d and queue %d", one.name, holding, getting, one.a.arrivals, one.a.running, one.a.held, active, queued))
	}
	return out
}

// occupation counts what the engines of all pools are doing.
func (p *Planner) occupation(now clock.Mark) log.Fields {
	loading, adapting, unloading, preparing, ready, lacking, standing := 0, 0, 0, 0, 0, 0, 0
	distinct := map[string]int{}
	for _, e := range p.engines {
		switch {
		case e.flight != nil && e.flight.Kind == Evict:
			unloading++
		case e.flight != nil && e.flight.Adapter != "":
			adapting++
		case e.flight != nil:
			loading++
		case e.intent != nil:
			preparing++
		case e.ready(now):
			ready++
		}
		if e.counts() {
			standing += len(e.report.Models)
			for _, held := range e.report.Models {
				distinct[held.Model]++
			}
		}
	}
	for _, asks := range p.asks {
		for _, a := range asks.models {
			if a.debt > 0 {
				lacking++
			}
		}
	}
	return log.Fields{"engines": len(p.engines), "loading": loading, "adapting": adapting, "unloading": unloading, "preparing": preparing,
		"ready": ready, "standing": standing, "distinct": len(distinct), "lacking": lacking, "lagMs": p.lag.Milliseconds()}
}
