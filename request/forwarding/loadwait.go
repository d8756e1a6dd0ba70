package forwarding

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// loadWait is how long something that no engine holds is likely to take to be there, and whether that is
// the planner's word.
func (c *Core) estimateLoadWait(request *Request, env Environment) (time.Duration, bool) {
	state := c.demandState(request)
	load, catalogued := c.loadTime(request, env)
	if state.missingSince == 0 {
		state.missingSince, state.readyAt, state.expectedLoadTime = env.Now, 0, load
	}
	plan, spread := learnedOr(c.planningTime, defaultPlanningTime), learnedOr(c.propagationTime, defaultPropagationTime)
	soonest := clock.Mark(math.MaxInt64)
	for _, engine := range env.View.Pools[request.pool] {
		if engine.Plan == nil || !engine.Usable() {
			continue
		}
		for _, one := range engine.Plan.PendingLoads {
			if one.Model != request.Attributes.Model {
				continue
			}
			switch one.Adapter {
			case request.Attributes.Adapter:
				soonest = min(soonest, one.Ready)
			case "":
				// The adapter can only be ordered once its model is there.
				soonest = min(soonest, one.Ready+clock.Mark(plan))
			}
		}
	}
	if soonest < math.MaxInt64 {
		state.readyAt = soonest
		return max(0, (soonest + clock.Mark(spread)).Since(env.Now)), true
	}
	if env.NotLoadedFor != nil {
		if wait, unavailable := env.NotLoadedFor(request.pool, request.Attributes.Model, request.Attributes.Adapter); unavailable {
			return wait, true
		}
	}
	if !catalogued {
		// Nobody can load what the catalogue does not have.
		return time.Hour, true
	}
	complete := plan + load + spread
	since := env.Now.Since(state.missingSince)
	if since > 2*complete {
		// Whoever plans has not done it so far, and may begin now at best.
		since = 0
	}
	return max(0, complete-since), false
}

// loadTime is how long a load takes of what a record asks for; false where the catalogue does not have it.
func (c *Core) loadTime(request *Request, env Environment) (time.Duration, bool) {
	model, known := env.Index.Model(request.pool, request.Attributes.Model)
	if !known {
		return 0, false
	}
	if request.Attributes.Adapter != "" && slices.ContainsFunc(env.View.Pools[request.pool], func(engine *registry.Engine) bool {
		return engine.Usable() && engine.Holds(request.Attributes.Model, "")
	}) {
		// An adapter alone comes in a moment.
		return 0, true
	}
	return time.Duration(model.LoadMs) * time.Millisecond, true
}

// known takes what was learned, or else what is usual.
func learnedOr(learned, usual time.Duration) time.Duration {
	if learned == 0 {
		return usual
	}
	return learned
}

// present learns how long it took something to be there, where somebody waited for it all the while.
func (c *Core) learnLoadTimes(request *Request, env Environment) {
	state := c.demandState(request)
	if state.missingSince == 0 {
		return
	}
	if request.stage == StageQueued || request.speculative {
		if state.readyAt > 0 {
			usable := env.Now
			if request.speculative {
				usable = request.sentAt
			}
			smooth(&c.propagationTime, min(max(usable.Since(state.readyAt), minLearnedTime), maxLearnedTime))
		} else {
			took := env.Now.Since(state.missingSince) - state.expectedLoadTime - learnedOr(c.propagationTime, defaultPropagationTime)
			smooth(&c.planningTime, min(max(took, minLearnedTime), maxLearnedTime))
		}
	}
	state.missingSince, state.readyAt = 0, 0
}
