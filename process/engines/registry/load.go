package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// TellPlan takes the planner's word.
func (c *Core) PublishPlans(now clock.Mark, plans map[ident.EngineID]Plan) {
	for _, id := range slices.Sorted(maps.Keys(plans)) {
		if state := c.engines[id]; state != nil {
			plan := plans[id]
			plan.Received = now
			c.setPlan(now, state, &plan, digestOfPlan(&plan), true)
		}
	}
}

// takePlan is the one place where an engine's plan is replaced. first says that it comes from the planner here,
// which bounds how often all are told of loads.
func (c *Core) setPlan(now clock.Mark, state *engineState, plan *Plan, digest uint64, first bool) {
	if state.deregistered || notNewerThan(plan.Claim, plan.Sequence, state.plan) {
		return
	}
	same := state.plan != nil && digest == state.planDigest
	state.plan, state.planDigest, state.plannedHere = plan, digest, first
	state.sameZoneLoadPending, state.otherZoneLoadPending, c.dirty[state.registration.ID] = true, true, true
	if !same {
		c.recordChange(state)
		state.planChange, state.sameZoneLoadChange, state.otherZoneLoadChange, state.sameZoneLoadPublished, state.otherZoneLoadPublished, state.sameZoneLoadPending, state.otherZoneLoadPending = state.lastChange, state.lastChange, state.lastChange, now, now, false, false
		return
	}
	c.publishLoads(now, state, first)
}

// tellLoads has others told of an engine's loads, if it is time. Only the first to hear of them bounds that for
// its own zone; those of other zones hear of them more seldom still, wherever they are asked.
func (c *Core) publishLoads(now clock.Mark, state *engineState, first bool) {
	near := state.sameZoneLoadPending && (!first || now.Since(state.sameZoneLoadPublished) >= c.sameZoneLoadInterval())
	far := state.otherZoneLoadPending && now.Since(state.otherZoneLoadPublished) >= c.otherZoneLoadInterval()
	if !near && !far {
		return
	}
	c.assignChangeNumber(state)
	if near {
		state.sameZoneLoadChange, state.sameZoneLoadPublished, state.sameZoneLoadPending = state.lastChange, now, false
	}
	if far {
		state.otherZoneLoadChange, state.otherZoneLoadPublished, state.otherZoneLoadPending = state.lastChange, now, false
	}
}

// loadEvery is how often those of its zone are told of one engine's loads.
func (c *Core) sameZoneLoadInterval() time.Duration {
	return min(max(500*time.Millisecond, time.Duration(len(c.engines))*1500*time.Microsecond), time.Second)
}

// farEvery is how often those of other zones are: all engines together make so many words a second.
func (c *Core) otherZoneLoadInterval() time.Duration {
	return max(c.sameZoneLoadInterval(), time.Duration(len(c.engines))*6*time.Millisecond)
}
