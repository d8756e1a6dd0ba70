package forwarding

import (
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// estimateLoadWait estimates when a model and adapter that no engine has will be loaded, and reports whether the planner
// announced that.
func (c *Core) estimateLoadWait(request *Request, env Environment) (time.Duration, bool) {
	state := c.demandState(request)
	loadTime, catalogued := c.loadTime(request, env)
	if state.missingSince == 0 {
		state.missingSince, state.readyAt, state.expectedLoadTime = env.Now, 0, loadTime
	}
	planning, propagation := learnedOr(c.planningTime, defaultPlanningTime), learnedOr(c.propagationTime, defaultPropagationTime)
	soonest := clock.Mark(math.MaxInt64)
	for _, engine := range env.View.Pools[request.pool] {
		if engine.Plan == nil || !engine.Usable() {
			continue
		}
		for _, option := range engine.Plan.PendingLoads {
			if option.Model != request.Attributes.Model {
				continue
			}
			switch option.Adapter {
			case request.Attributes.Adapter:
				soonest = min(soonest, option.Ready)
			case "":
				// The adapter can only be ordered once its model is there.
				soonest = min(soonest, option.Ready+clock.Mark(planning))
			}
		}
	}
	if soonest < math.MaxInt64 {
		state.readyAt = soonest
		return max(0, (soonest + clock.Mark(propagation)).Since(env.Now)), true
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
	total := planning + loadTime + propagation
	since := env.Now.Since(state.missingSince)
	if since > 2*total {
		// Whoever plans has not done it so far, and may begin now at best.
		since = 0
	}
	return max(0, total-since), false
}

// loadTime is how long the load takes; false if the catalogue does not have the model.
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
	return model.LoadTime(), true
}

// learnedOr gives a measured time, or the usual one while there is none.
func learnedOr(learned, usual time.Duration) time.Duration {
	if learned == 0 {
		return usual
	}
	return learned
}

// learnLoadTimes updates planningTime or propagationTime once a model is available that a request waited for all the
// while.
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
