package forwarding

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// pathKey tells models apart: each has its engines, and its pace.
type pathKey struct{ path, model string }

// pathState is what this daemon has seen of one path's requests for one model.
type pathState struct {
	// first is a smoothed time from sending to the first byte, served the same to the whole answer.
	firstByteTime, serviceTime time.Duration
	// pace is a smoothed time to the first byte for each token of expected cost, paced when it was last seen,
	// best the least of it lately: what a token takes where nothing is in its way.
	timePerToken, bestTimePerToken float64
	measuredAt                     clock.Mark
}

// began notes how long the first byte took.
func (p *pathState) responseBegun(request *Request, now clock.Mark) {
	waited := now.Since(request.sentAt)
	smooth(&p.firstByteTime, waited)
	if request.expectedCost <= 0 {
		return
	}
	pace := float64(waited) / request.expectedCost
	if p.timePerToken == 0 {
		p.timePerToken, p.bestTimePerToken = pace, pace
	}
	p.timePerToken += (pace - p.timePerToken) / 8
	if p.bestTimePerToken += (pace - p.bestTimePerToken) / 256; pace < p.bestTimePerToken {
		p.bestTimePerToken = pace
	}
	p.measuredAt = now
}

// tokens is how many tokens could be read in a time.
func (p *pathState) tokensIn(duration time.Duration) float64 {
	if p.bestTimePerToken <= 0 || duration <= 0 {
		return 0
	}
	return float64(duration) / p.bestTimePerToken
}

// fading lets what was seen count less the longer ago: half after a second.
func decayed(seen time.Duration, at, now clock.Mark) time.Duration {
	return time.Duration(float64(seen) * float64(time.Second) / float64(time.Second+now.Since(at)))
}

// sheds says whether a request is given up although an engine could be sent it: where its first byte is
// likely to come too late, it would only make those behind it late as well. Between in time and far too late
// a draw decides, since all daemons shedding and letting in by turns is worse than either. Nothing is shed
// while first bytes come well in time, nor what went out before. Those that come back are no exception: where
// they were, each wave of refusals came back as the next flood. What was seen counts less the
// longer ago, or a path that was given up on would never be tried again.
func (p *pathState) shouldShed(request *Request, env Environment, settings Settings, least time.Duration) bool {
	expected := decayed(time.Duration(request.expectedCost*p.timePerToken), p.measuredAt, env.Now)
	if expected > request.responseDeadline().Since(env.Now)-least {
		return true
	}
	target := float64(request.Path.TargetMs) * float64(time.Millisecond)
	if settings.Disabled.Has(featuregates.Shedding) {
		return false
	}
	if settings.ShedRange <= 0 || target <= 0 || float64(decayed(p.firstByteTime, p.measuredAt, env.Now)) < settings.ShedMinFirstByte*target {
		return false
	}
	drawn := float64(xxhash.Sum64String(request.Attributes.Attempt)>>40) / (1 << 24)
	return (float64(expected)/target-settings.ShedStart)/settings.ShedRange > drawn
}

func (c *Core) pathState(request *Request) *pathState {
	key := pathKey{request.Path.Name, request.Attributes.Model}
	state := c.paths[key]
	if state == nil {
		if len(c.paths) >= maxPathStates {
			// Paths come and go with the bundles; what is known of them is soon known again.
			clear(c.paths)
		}
		state = &pathState{}
		c.paths[key] = state
	}
	return state
}

const maxPathStates = 10_000

// smooth moves a smoothed time towards the newest.
func smooth(into *time.Duration, newest time.Duration) {
	if *into == 0 {
		*into = newest
		return
	}
	*into += (newest - *into) / 8
}

// least is the time that an attempt needs at least to be worth sending: what it took lately, but no more than
// its target, or a bad hour would keep the next request from even being tried.
func (c *Core) minAttemptTime(request *Request) time.Duration {
	if request.Path == nil {
		return 0
	}
	target := time.Duration(request.Path.TargetMs) * time.Millisecond
	return max(target/10, min(c.pathState(request).firstByteTime, target)/2, minAttemptFloor)
}

const minAttemptFloor = 5 * time.Millisecond

// comeBack is when asking again makes sense: later than what holds it up now, and early enough to be served.
func (c *Core) retryAfter(request *Request, env Environment) time.Duration {
	if request.Path == nil {
		return time.Second
	}
	return max(request.Deadline.Since(env.Now)/4, minRetryAfter)
}

const (
	minRetryAfter = 50 * time.Millisecond
	// planTime is about how long a planner takes to hear of a lack and order a load, spreadTime how long after a
	// load's end engines are known to hold it; both until it is known how long they took here.
	defaultPlanningTime    = 500 * time.Millisecond
	defaultPropagationTime = 250 * time.Millisecond
	// leastPlan and mostPlan bound what is learned of both.
	minLearnedTime, maxLearnedTime = 50 * time.Millisecond, 3 * time.Second
	// readyMargin is how much later than told something may come to be there.
	readyMargin = 50 * time.Millisecond
	// comesBackBy is the share of the time left by which a client that is told to is back.
	retryAfterDivisor = 3
)

// mostHeld is how long a request may be held: under half of the time it had.
func maxQueueTime(request *Request) time.Duration {
	return request.responseDeadline().Since(request.ArrivedAt) * 9 / 20
}

// firstWord is how long a request is held while nothing is known of when it can be served: well under the
// quarter of its target within which a refusal does no harm.
func initialQueueTime(request *Request) time.Duration {
	return time.Duration(request.Path.TargetMs) * time.Millisecond / 5
}

// hopeless says whether a record that nothing can take now is to be given up, and when to come back. A
// request is given up as soon as it is known that it can't be served in time, and never held for half of the
// time it had; while there is hope it is held.
func (c *Core) shouldGiveUp(request *Request, env Environment, blocked blockReason) (comeBack time.Duration, hopeless bool) {
	left, waited := request.responseDeadline().Since(env.Now), env.Now.Since(request.ArrivedAt)
	most := maxQueueTime(request)
	switch {
	case blocked == blockedAllTried:
		// Those that were tried won't do better for this one.
		return c.retryAfter(request, env), true
	case blocked == blockedNoModel:
		wait, sure := c.estimateLoadWait(request, env)
		if c.settings.Disabled.Has(featuregates.LoadEstimates) {
			return c.retryAfter(request, env), waited >= most
		}
		return c.shouldGiveUpLoad(request, wait, sure, env)
	case waited >= most:
		return c.retryAfter(request, env), true
	case blocked == blockedAllBusy:
		// Its turn comes when those before it have got theirs.
		wait := time.Duration(c.queuedAhead(request, env)+1) * c.pathState(request).serviceTime / time.Duration(max(c.attemptsByPool[request.pool], 1))
		return c.retryAfter(request, env), wait > left-c.minAttemptTime(request) && waited >= initialQueueTime(request)
	}
	// An engine may register at any moment, but nothing says that one will.
	return c.retryAfter(request, env), waited >= initialQueueTime(request)
}

// untilLoaded decides on a record whose model or adapter no engine holds, and which is there after a wait.
func (c *Core) shouldGiveUpLoad(request *Request, wait time.Duration, sure bool, env Environment) (comeBack time.Duration, hopeless bool) {
	left, waited := request.responseDeadline().Since(env.Now), env.Now.Since(request.ArrivedAt)
	target, most := time.Duration(request.Path.TargetMs)*time.Millisecond, maxQueueTime(request)
	// A client counts from all of the time it has, whatever it waits for one answer to begin.
	back := request.Deadline.Since(env.Now) / retryAfterDivisor
	reports := min(wait+readyMargin, back)
	switch {
	case waited >= most:
		return max(reports, minRetryAfter), true
	case !sure && waited < min(initialQueueTime(request), most):
		// The planner's word is on its way.
		return 0, false
	case wait > left-c.minAttemptTime(request):
		return max(reports, minRetryAfter), true
	case request.resubmitted || request.mayHaveRun:
		// It was refused before, and won't come a third time, or can't be refused any more: it stays while there is time.
		return 0, false
	case waited+wait > target && wait <= back+target/2:
		// It will be late here, and in time for a client that comes back when it is there.
		return max(reports, minRetryAfter), true
	}
	// Held for as long as it may be, it would be given up before it is there.
	return max(reports, minRetryAfter), waited+wait > most
}

// before counts those that are held for the same pool and are served first.
func (c *Core) queuedAhead(request *Request, env Environment) int {
	count, rank := 0, effectiveRank(request, env.Now)
	for _, other := range c.queue {
		if other != request && other.pool == request.pool && effectiveRank(other, env.Now) <= rank {
			count++
		}
	}
	return count
}

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
