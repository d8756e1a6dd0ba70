package sessionplacement

import (
	"maps"

	"github.com/cresspond/cresspond/clock"
)

// trackHistory keeps when models were loaded, when they were requested and when sessions were assigned to them.
func (p *Planner) trackHistory(in Input) {
	p.trackModels(in)
	p.trackRequests(in)
	p.trackAssignments(in)
	p.unblock(in)
}

// trackModels keeps since when each model has been seen on each engine.
func (p *Planner) trackModels(in Input) {
	seen := map[placement]bool{}
	for id, engine := range in.Engines.Engines {
		for _, reported := range engine.Report.Models {
			key := placement{engine: id, model: reported.Model}
			seen[key] = true
			if _, known := p.loadedSince[key]; !known {
				p.loadedSince[key] = in.Now
			}
		}
	}
	maps.DeleteFunc(p.loadedSince, func(key placement, _ clock.Mark) bool { return !seen[key] })
}

// trackRequests keeps when each item was last requested, at what value, and since when without a pause.
func (p *Planner) trackRequests(in Input) {
	for _, demand := range in.Demand {
		if demand.Queued+demand.Running == 0 {
			continue
		}
		for _, key := range itemsOf(demand) {
			old := p.requestedAt[key]
			value := demand.Value
			if in.Now.Since(old.at) < demandIdleAfter {
				value = max(value, old.value)
			}
			if _, known := p.requestedSince[key]; !known || in.Now.Since(old.at) >= demandIdleAfter {
				p.requestedSince[key] = in.Now
			}
			p.requestedAt[key] = lastRequest{in.Now, value}
		}
	}
}

// trackAssignments keeps since when sessions have been assigned to what an engine has loaded.
func (p *Planner) trackAssignments(in Input) {
	assigned := map[placement]bool{}
	for _, one := range in.Assignments {
		for _, key := range []placement{{one.Engine, one.Model, ""}, {one.Engine, one.Model, one.Adapter}} {
			assigned[key] = assigned[key] || one.Sessions > 0
			if _, known := p.assignedSince[key]; !known && assigned[key] {
				p.assignedSince[key] = in.Now
			}
		}
	}
	maps.DeleteFunc(p.assignedSince, func(key placement, _ clock.Mark) bool { return !assigned[key] })
}

// unblock allows failed orders to be retried whose backoff is over.
func (p *Planner) unblock(in Input) {
	maps.DeleteFunc(p.blockedUntil, func(_ placement, until clock.Mark) bool { return in.Now >= until })
}
