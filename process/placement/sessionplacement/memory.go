package sessionplacement

import (
	"maps"

	"github.com/cresspond/cresspond/clock"
)

// remember keeps when models came, when they were asked for and when sessions were assigned to them.
func (p *Planner) remember(in Input) {
	p.rememberModels(in)
	p.rememberRequests(in)
	p.rememberAssignments(in)
	p.unblock(in)
}

// rememberModels keeps since when each model has been seen on each engine.
func (p *Planner) rememberModels(in Input) {
	seen := map[placed]bool{}
	for id, engine := range in.Engines.Engines {
		for _, held := range engine.Report.Models {
			key := placed{engine: id, model: held.Model}
			seen[key] = true
			if _, known := p.since[key]; !known {
				p.since[key] = in.Now
			}
		}
	}
	maps.DeleteFunc(p.since, func(key placed, _ clock.Mark) bool { return !seen[key] })
}

// rememberRequests keeps when each item was last asked for, for what worth, and since when without a quiet spell.
func (p *Planner) rememberRequests(in Input) {
	for _, demand := range in.Demand {
		if demand.Queued+demand.Running == 0 {
			continue
		}
		for _, key := range itemsOf(demand) {
			old := p.requestedAt[key]
			worth := demand.Worth
			if in.Now.Since(old.at) < quietFor {
				worth = max(worth, old.worth)
			}
			if _, known := p.requestedSince[key]; !known || in.Now.Since(old.at) >= quietFor {
				p.requestedSince[key] = in.Now
			}
			p.requestedAt[key] = lastRequest{in.Now, worth}
		}
	}
}

// rememberAssignments keeps since when sessions have been assigned to what stands on an engine.
func (p *Planner) rememberAssignments(in Input) {
	assigned := map[placed]bool{}
	for _, one := range in.Assignments {
		for _, key := range []placed{{one.Engine, one.Model, ""}, {one.Engine, one.Model, one.Adapter}} {
			assigned[key] = assigned[key] || one.Sessions > 0
			if _, known := p.assignedSince[key]; !known && assigned[key] {
				p.assignedSince[key] = in.Now
			}
		}
	}
	maps.DeleteFunc(p.assignedSince, func(key placed, _ clock.Mark) bool { return !assigned[key] })
}

// unblock lets failed orders be tried again whose rest is over.
func (p *Planner) unblock(in Input) {
	maps.DeleteFunc(p.blockedUntil, func(_ placed, until clock.Mark) bool { return in.Now >= until })
}
