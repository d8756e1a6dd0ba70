package forwarding

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// engineState is what this daemon itself has seen of an engine. It belongs to Core.
type engineState struct {
	// inFlight counts this daemon's attempts there, prefillTokens their prompt tokens before the first byte,
	// memoryTokens the KV memory that they may take.
	inFlight, prefillTokens, memoryTokens int
	// reportedAt is the newest report taken into account, inFlightAtReport the attempts in flight when it came.
	reportedAt       clock.Mark
	inFlightAtReport int
	// awaitingCount counts the attempts without a first byte; waitingSince is when the first of them was sent, or when
	// the engine last responded.
	awaitingCount int
	waitingSince  clock.Mark
	// awaitingSince is when each attempt without a first byte was sent, ascending.
	awaitingSince []clock.Mark
	// consecutiveFailures counts failed attempts in a row, connectFailures failed connections; failureRate is the
	// smoothed share of both, lastFailureAt the last of them.
	consecutiveFailures, connectFailures int
	failureRate                          float64
	lastFailureAt                        clock.Mark
	// backoffUntil is until when the engine gets no request, unhealthyUntil until when only those that no other can
	// take.
	backoffUntil, unhealthyUntil clock.Mark
	// missingUntil is until when a model or adapter counts as not loaded, whatever the report, because the engine said
	// so.
	missingUntil map[registry.Target]clock.Mark
	// firstByteTime is a smoothed time from sending to the first byte, firstByteAt when one came last.
	firstByteTime time.Duration
	firstByteAt   clock.Mark
	prefixes      *prefixCache
	// speculations are the attempts at models that should be loaded by now but are not yet reported.
	speculations map[registry.Target]*speculation
}

// engineState gives the state of an engine, new if there is none.
func (c *Core) engineState(id ident.EngineID) *engineState {
	state := c.engines[id]
	if state == nil {
		state = &engineState{prefixes: newPrefixCache()}
		c.engines[id] = state
	}
	return state
}

// Forget drops the state of engines that are not registered any more and have no attempt in flight.
func (c *Core) Forget(view *registry.View) {
	for id, state := range c.engines {
		if _, known := view.Engines[id]; !known && state.inFlight == 0 {
			delete(c.engines, id)
		}
	}
	c.outcomes.Prune(func(id ident.EngineID) bool { return c.engines[id] != nil })
}

// attemptStarted counts an attempt that is about to be sent.
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

// attemptEnded takes in an attempt's outcome.
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
		// An attempt that ran into its own deadline says little about the engine, but it is no response either.
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
			// It is full, or nearly: a short backoff spreads the next requests over other engines.
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

// responseBegun records an attempt's first byte, by which its prompt has been read.
func (e *engineState) responseBegun(request *Request, env Environment) {
	e.stopAwaiting(request, env)
	waited := env.Now.Since(request.sentAt)
	smooth(&e.firstByteTime, waited)
	e.firstByteAt = env.Now
	e.recordSuccess()
}

// stopAwaiting takes an attempt off those without a first byte.
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

// longestAwaited is the longest time for which a first byte is awaited; zero is none.
func (e *engineState) longestAwaited(now clock.Mark) time.Duration {
	if len(e.awaitingSince) == 0 {
		return 0
	}
	return now.Since(e.awaitingSince[0])
}

// unresponsiveFor is how long the engine has not responded although it has requests; zero if it has none.
func (e *engineState) unresponsiveFor(now clock.Mark) time.Duration {
	if e.awaitingCount == 0 {
		return 0
	}
	return now.Since(e.waitingSince)
}

// observeReport takes note of a new report.
func (e *engineState) observeReport(plan *registry.Plan) {
	if plan != nil && plan.Received != e.reportedAt {
		e.reportedAt, e.inFlightAtReport = plan.Received, e.inFlight
	}
}

// requestCount is how many requests run and wait there, this daemon's newest included.
func (e *engineState) requestCount(engine *registry.Engine, env Environment, settings Settings) int {
	running := e.inFlight
	if plan := engine.Plan; plan != nil && env.Now.Since(plan.Received) < settings.ReportMaxAge {
		e.observeReport(plan)
		running = max(running, plan.Active+plan.Queued+max(0, e.inFlight-e.inFlightAtReport))
	}
	return running
}
