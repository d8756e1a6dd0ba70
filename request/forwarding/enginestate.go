package forwarding

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// engineState is what this daemon itself knows of an engine.
type engineState struct {
	// inFlight is its own attempts there, reading the tokens of prompts sent and not yet begun, memory the
	// tokens that its attempts may take.
	inFlight, prefillTokens, memoryTokens int
	// told is the newest report taken into account, ownThen the attempts in flight when it came.
	reportedAt       clock.Mark
	inFlightAtReport int
	// waiting counts the attempts whose answer has not begun; asked is when the first of them left, or when
	// the engine last gave a sign since.
	awaitingCount int
	waitingSince  clock.Mark
	// awaiting is when each attempt left whose answer has not begun, the first of them first.
	awaitingSince []clock.Mark
	// failures is how many attempts failed in a row, unreached how many times it could not be reached, badness a
	// smoothed share of both, failedAt the last of them.
	consecutiveFailures, connectFailures int
	failureRate                          float64
	lastFailureAt                        clock.Mark
	// restUntil is until when it gets nothing, illUntil until when only what nothing else can take.
	backoffUntil, unhealthyUntil clock.Mark
	// missing is until when something is taken not to be there, since the engine said so, whatever its report.
	missingUntil map[registry.Target]clock.Mark
	// firstByte is a smoothed time from sending to the first byte, firstAt when one was last seen.
	firstByteTime time.Duration
	firstByteAt   clock.Mark
	prefixes      *prefixCache
	// speculations are of what it was to have loaded by now, as far as no report shows it.
	speculations map[registry.Target]*speculation
}

func (c *Core) engineState(id ident.EngineID) *engineState {
	state := c.engines[id]
	if state == nil {
		state = &engineState{prefixes: newPrefixCache()}
		c.engines[id] = state
	}
	return state
}

// Forget drops what is known of engines that are no longer registered and have nothing under way.
func (c *Core) Forget(view *registry.View) {
	for id, state := range c.engines {
		if _, known := view.Engines[id]; !known && state.inFlight == 0 {
			delete(c.engines, id)
		}
	}
	c.outcomes.Prune(func(id ident.EngineID) bool { return c.engines[id] != nil })
}

// took notes an attempt that is about to leave.
func (e *engineState) attemptStarted(request *Request, env Environment) {
	e.inFlight++
	e.memoryTokens += request.memoryTokens
	request.prefillTokens = max(0, request.Attributes.TokensIn-e.prefixes.cachedTokens(request))
	e.prefillTokens += request.prefillTokens
	request.awaitingFirstByte = true
	if e.awaitingCount++; e.awaitingCount == 1 {
		e.waitingSince = env.Now
	}
	e.prefixes.add(request)
	e.awaitingSince = append(e.awaitingSince, env.Now)
}

// ended notes how an attempt ended.
func (e *engineState) attemptEnded(request *Request, outcome Outcome, env Environment) {
	e.inFlight--
	e.memoryTokens -= request.memoryTokens
	requested := e.waitingSince
	e.stopAwaiting(request, env)
	if request.speculative && (outcome == OutcomeWithheld || outcome == OutcomeUnreachable || outcome == OutcomeCallerLeft) {
		e.withdrawSpeculation(request)
	}
	switch outcome {
	case OutcomeCompleted:
		e.recordSuccess()
	case OutcomeUnreachable:
		e.recordUnreachable(env)
	case OutcomeProtocolError:
		e.recordFailure(env, true)
	case OutcomeResponseLost, OutcomeStreamBroken, OutcomeEngineError:
		// One that ran into its own deadline says little of the engine, but it is no sign of life either.
		if env.Now < request.Deadline {
			e.recordFailure(env, false)
		} else if outcome == OutcomeResponseLost {
			e.waitingSince = requested
		}
	case OutcomeWithheld, OutcomeCallerLeft:
		e.waitingSince = requested
	case OutcomeMisdirected, OutcomeRejected:
		if request.speculative {
			e.speculationRejected(request.target(), env.Now)
			return
		}
		if outcome == OutcomeRejected {
			// It is full, or about to be: a moment's rest spreads what comes over others.
			e.backoffUntil = max(e.backoffUntil, env.Now+clock.Mark(rejectedBackoff))
			return
		}
		if e.missingUntil == nil {
			e.missingUntil = map[registry.Target]clock.Mark{}
		}
		maps.DeleteFunc(e.missingUntil, func(_ registry.Target, until clock.Mark) bool { return env.Now >= until })
		e.missingUntil[request.target()] = env.Now + clock.Mark(missingTTL)
	}
}

// began notes that an attempt's answer has begun, so that its prompt is read.
func (e *engineState) responseBegun(request *Request, env Environment) {
	e.stopAwaiting(request, env)
	waited := env.Now.Since(request.sentAt)
	smooth(&e.firstByteTime, waited)
	e.firstByteAt = env.Now
	e.recordSuccess()
}

// read takes an attempt off those whose answer has not begun.
func (e *engineState) stopAwaiting(request *Request, env Environment) {
	if request.awaitingFirstByte {
		request.awaitingFirstByte = false
		e.awaitingCount--
		if index := slices.Index(e.awaitingSince, request.sentAt); index >= 0 {
			e.awaitingSince = slices.Delete(e.awaitingSince, index, index+1)
		}
		e.prefillTokens -= request.prefillTokens
		e.waitingSince = env.Now
	}
}

// oldest is for how long the first byte that has been awaited longest has been.
func (e *engineState) longestAwaited(now clock.Mark) time.Duration {
	if len(e.awaitingSince) == 0 {
		return 0
	}
	return now.Since(e.awaitingSince[0])
}

// quiet is for how long it has given no sign although it was asked.
func (e *engineState) unresponsiveFor(now clock.Mark) time.Duration {
	if e.awaitingCount == 0 {
		return 0
	}
	return now.Since(e.waitingSince)
}

// hear takes up a new report.
func (e *engineState) observeReport(plan *registry.Plan) {
	if plan != nil && plan.Received != e.reportedAt {
		e.reportedAt, e.inFlightAtReport = plan.Received, e.inFlight
	}
}

// running is how many requests run and wait there, this daemon's newest included.
func (e *engineState) requestCount(engine *registry.Engine, env Environment, settings Settings) int {
	running := e.inFlight
	if plan := engine.Plan; plan != nil && env.Now.Since(plan.Received) < settings.ReportMaxAge {
		e.observeReport(plan)
		running = max(running, plan.Active+plan.Queued+max(0, e.inFlight-e.inFlightAtReport))
	}
	return running
}
