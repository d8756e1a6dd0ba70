package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// The interval between two publications of one engine's load figures in its own zone grows with the number of engines,
	// within these bounds.
	minLoadInterval       = 500 * time.Millisecond
	maxLoadInterval       = time.Second
	loadIntervalPerEngine = 1500 * time.Microsecond
	// otherZoneIntervalPerEngine bounds what all engines together publish to other zones to some 170 records a second.
	otherZoneIntervalPerEngine = 6 * time.Millisecond
)

// PublishPlans takes the plans of the planner in this daemon. Plans of unknown engines are dropped.
func (c *Core) PublishPlans(now clock.Mark, plans map[ident.EngineID]Plan) {
	for _, id := range slices.Sorted(maps.Keys(plans)) {
		if state := c.engines[id]; state != nil {
			plan := plans[id]
			plan.Received = now
			c.setPlan(now, state, &plan, digestOfPlan(&plan), true)
		}
	}
}

// setPlan replaces an engine's plan by a newer one; nothing else does. plannedHere says that it comes from the planner in
// this daemon, which then bounds how often load figures are published in the engine's zone.
func (c *Core) setPlan(now clock.Mark, state *engineState, plan *Plan, digest uint64, plannedHere bool) {
	if state.deregistered || notNewerThan(plan.Claim, plan.Sequence, state.plan) {
		return
	}
	onlyLoads := state.plan != nil && digest == state.planDigest
	state.plan, state.planDigest, state.plannedHere = plan, digest, plannedHere
	if onlyLoads {
		state.sameZoneLoad.pending, state.otherZoneLoad.pending = true, true
		c.dirty[state.registration.ID] = true
		c.publishLoads(now, state, plannedHere)
		return
	}
	c.recordChange(state)
	state.planChange = state.lastChange
	published := loadPublication{change: state.lastChange, published: now}
	state.sameZoneLoad, state.otherZoneLoad = published, published
}

// publishLoads publishes an engine's load figures to those whose interval is over. Within the engine's zone only the
// planner's daemon keeps to the interval (limited); all daemons keep to the longer one of other zones.
func (c *Core) publishLoads(now clock.Mark, state *engineState, limited bool) {
	sameZone := state.sameZoneLoad.pending && (!limited || now.Since(state.sameZoneLoad.published) >= c.sameZoneLoadInterval())
	otherZones := state.otherZoneLoad.pending && now.Since(state.otherZoneLoad.published) >= c.otherZoneLoadInterval()
	if !sameZone && !otherZones {
		return
	}
	c.assignChangeNumber(state)
	published := loadPublication{change: state.lastChange, published: now}
	if sameZone {
		state.sameZoneLoad = published
	}
	if otherZones {
		state.otherZoneLoad = published
	}
}

// sameZoneLoadInterval is how often one engine's load figures are published in its own zone.
func (c *Core) sameZoneLoadInterval() time.Duration {
	return min(max(minLoadInterval, time.Duration(len(c.engines))*loadIntervalPerEngine), maxLoadInterval)
}

// otherZoneLoadInterval is how often they are published in other zones.
func (c *Core) otherZoneLoadInterval() time.Duration {
	return max(c.sameZoneLoadInterval(), time.Duration(len(c.engines))*otherZoneIntervalPerEngine)
}
