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
	loggedAt      clock.Mark
	steps         int
	took, longest time.Duration
	before        Counters
}

// logSteps writes a debug line a second on what the plan did, and why models with queued requests were not placed.
func (a *Actor) logSteps(now clock.Mark, took time.Duration) {
	s := &a.steps
	s.steps++
	s.took += took
	s.longest = max(s.longest, took)
	if now.Since(s.loggedAt) < logStepsEvery {
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
	a.log.WithFields(fields).Debug("planner steps")
	*s = stepLog{loggedAt: now, before: counters}
}

// busiestShown is how many models a debug line shows.
const busiestShown = 4

// busiest describes the models most requested: on how many engines each is loaded and loading, and what runs and is queued.
func (p *Planner) busiest() []string {
	type row struct {
		name string
		a    *itemDemand
	}
	var rows []row
	for _, demand := range p.demand {
		for name, item := range demand.models {
			rows = append(rows, row{name, item})
		}
	}
	slices.SortFunc(rows, func(x, y row) int {
		return cmp.Or(cmp.Compare(y.a.tokens, x.a.tokens), cmp.Compare(x.name, y.name))
	})
	var out []string
	for _, one := range rows[:min(busiestShown, len(rows))] {
		loadedOn, loadingOn, active, queued := 0, 0, 0, 0
		for _, e := range p.engines {
			if !e.canServe() {
				continue
			}
			if _, loaded := e.loadedModel(one.name); loaded {
				loadedOn++
				active += e.report.Active
				queued += e.report.Queued
			}
			if e.pending != nil && e.pending.Kind == Load && e.pending.Target() == (registry.Target{Model: one.name}) {
				loadingOn++
			}
		}
		out = append(out, fmt.Sprintf("%s: %d hold, %d get, %.0f/s, %d run, %d held, engines run %d and queue %d", one.name, loadedOn, loadingOn, one.a.arrivals, one.a.running, one.a.queued, active, queued))
	}
	return out
}

// occupation counts what the engines of all pools are doing.
func (p *Planner) occupation(now clock.Mark) log.Fields {
	loading, adapting, unloading, preparing, ready, unplaced, loadedModels := 0, 0, 0, 0, 0, 0, 0
	distinct := map[string]int{}
	for _, e := range p.engines {
		switch {
		case e.pending != nil && e.pending.Kind == Evict:
			unloading++
		case e.pending != nil && e.pending.Adapter != "":
			adapting++
		case e.pending != nil:
			loading++
		case e.intent != nil:
			preparing++
		case e.ready(now):
			ready++
		}
		if e.canServe() {
			loadedModels += len(e.report.Models)
			for _, loaded := range e.report.Models {
				distinct[loaded.Model]++
			}
		}
	}
	for _, demand := range p.demand {
		for _, item := range demand.models {
			if item.unmet > 0 {
				unplaced++
			}
		}
	}
	return log.Fields{"engines": len(p.engines), "loading": loading, "adapting": adapting, "unloading": unloading, "preparing": preparing,
		"ready": ready, "standing": loadedModels, "distinct": len(distinct), "lacking": unplaced, "lagMs": p.lag.Milliseconds()}
}
