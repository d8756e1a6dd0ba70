package forwarding

import (
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Outcome is how an attempt ended, as the sender saw it.
type Outcome uint8

const (
	// OutcomeWithheld: the check right before sending found a reason not to send; no byte left.
	OutcomeWithheld Outcome = iota
	// OutcomeQuotaExceeded: as OutcomeWithheld, because the tenant's limit no longer allows the request.
	OutcomeQuotaExceeded
	// OutcomeUnreachable: the engine could not be reached; no byte left.
	OutcomeUnreachable
	// OutcomeRejected: the engine rejected the request and guarantees that it has not run.
	OutcomeRejected
	// OutcomeMisdirected: another engine is at the address, or it has not loaded the model or adapter; it has not run.
	OutcomeMisdirected
	// OutcomeResponseLost: the request may have run, and no response can be passed on.
	OutcomeResponseLost
	// OutcomeProtocolError: as OutcomeResponseLost, because the engine broke the protocol.
	OutcomeProtocolError
	// OutcomeStreamBroken: a response broke off after bytes of it had been passed on.
	OutcomeStreamBroken
	// OutcomeEngineError: the engine answered in full with an error of its own (5xx), ready to be passed on.
	OutcomeEngineError
	// OutcomeCompleted: the engine's full response was passed on.
	OutcomeCompleted
	// OutcomeCallerLeft: the caller disconnected.
	OutcomeCallerLeft
)

// reachedEngine reports whether the engine got the request.
func (o Outcome) reachedEngine() bool { return !o.withheld() && o != OutcomeUnreachable }

// MayHaveRun reports whether the engine may have run the request.
func (o Outcome) MayHaveRun() bool {
	return o.reachedEngine() && o != OutcomeRejected && o != OutcomeMisdirected
}

// withheld reports whether this daemon itself did not send the request.
func (o Outcome) withheld() bool { return o == OutcomeWithheld || o == OutcomeQuotaExceeded }

// maxWithheld bounds how often one request may be withheld. Each time something changed since its engine was chosen.
const maxWithheld = 8

// AttemptEnded takes an attempt's outcome, and gives the sender the next step unless the request is served. Then queued
// requests are dispatched, since the engine may have capacity again.
func (c *Core) AttemptEnded(request *Request, outcome Outcome, env Environment) {
	if request.stage != StageSending && request.stage != StageResponding {
		return
	}
	c.closeAttempt(request, outcome, env)
	tooSoon := request.speculative && (outcome == OutcomeMisdirected || outcome == OutcomeRejected)
	if outcome.reachedEngine() {
		c.countEngine(request, tooSoon)
		c.countFirstSend(request, env)
	}
	if !outcome.withheld() && outcome != OutcomeMisdirected && !tooSoon {
		// An engine that lacks the model may load it; until then engineState.missingUntil excludes it.
		request.triedEngines = append(request.triedEngines, request.engine)
	}
	c.countOutcome(outcome)
	c.continueAfter(request, outcome, env)
	c.DispatchQueued(env)
}

// countEngine counts one more engine that the request was sent to. Repeated speculation at one engine counts once.
func (c *Core) countEngine(request *Request, tooSoon bool) {
	if request.lastSpeculationRejectedBy != request.engine {
		request.enginesTried++
	}
	if !tooSoon {
		return
	}
	c.Counters.SpeculativeRejected++
	request.lastSpeculationRejectedBy = request.engine
	if request.enginesTried >= request.Path.Attempts {
		// No further engine is allowed, but this one has not run it.
		request.onlyEngine = request.engine
	}
}

// countFirstSend counts a request's first send, which the retry budget is a share of.
func (c *Core) countFirstSend(request *Request, env Environment) {
	if request.firstSendCounted {
		return
	}
	request.firstSendCounted = true
	c.Counters.Sent++
	// The time of sending counts: a stream that ends now was not sent now.
	c.retryBudget(request.pool).recordFirstSend(request.sentAt, env.Now, c.settings.RetryWindow)
}

// countOutcome counts an outcome; those that end a request in a way of their own are counted there.
func (c *Core) countOutcome(outcome Outcome) {
	switch outcome {
	case OutcomeWithheld, OutcomeQuotaExceeded:
		c.Counters.Withheld++
	case OutcomeUnreachable:
		c.Counters.Unreachable++
	case OutcomeRejected:
		c.Counters.RejectedByEngine++
	case OutcomeMisdirected:
		c.Counters.Misdirected++
	case OutcomeResponseLost:
		c.Counters.ResponsesLost++
	case OutcomeProtocolError:
		c.Counters.ProtocolErrors++
	case OutcomeStreamBroken:
		c.Counters.StreamsBroken++
	case OutcomeCompleted:
		c.Counters.Completed++
	}
}

// continueAfter dispatches a request again, or ends it.
func (c *Core) continueAfter(request *Request, outcome Outcome, env Environment) {
	switch outcome {
	case OutcomeWithheld:
		if request.withheldCount++; request.withheldCount > maxWithheld {
			c.finish(request, env, CauseNoCapacity, c.retryAfter(request, env))
			return
		}
		c.dispatch(request, env)
	case OutcomeQuotaExceeded:
		c.finish(request, env, CauseQuotaExceeded, request.QuotaRetryAfter)
	case OutcomeUnreachable, OutcomeRejected, OutcomeMisdirected:
		c.dispatch(request, env)
	case OutcomeResponseLost, OutcomeProtocolError, OutcomeStreamBroken:
		c.retryAfterLoss(request, env)
	case OutcomeEngineError:
		c.engineError(request, env)
	case OutcomeCompleted:
		request.transition(StageEnded)
	case OutcomeCallerLeft:
		c.finish(request, env, CauseCallerLeft, 0)
	}
}

// retryAfterLoss dispatches a request that may have run, if it may run again: it is repeatable and no response has begun,
// or it is a stream that can be resumed after its last event.
func (c *Core) retryAfterLoss(request *Request, env Environment) {
	request.mayHaveRun = true
	unresumable := request.responseBegun && (request.lastEvent == "" || c.settings.Disabled.Has(featuregates.Resumption))
	if !request.mayRepeat() || unresumable {
		cause := CauseResponseLost
		if env.Now >= request.Deadline {
			cause = CauseDeadline
		}
		c.finish(request, env, cause, 0)
		return
	}
	if request.responseBegun {
		c.Counters.Resumed++
	}
	c.dispatch(request, env)
}

// engineError passes an engine's own error on, unless the request is repeatable and another engine can take it now.
func (c *Core) engineError(request *Request, env Environment) {
	request.mayHaveRun = true
	if c.mayRetryError(request, env) {
		if chosen, _ := c.chooseEngine(request, env); chosen != nil && c.retryBudget(request.pool).allowsRetry(env.Now, c.settings, env.Routers) {
			c.startAttempt(request, env, chosen)
			return
		}
	}
	c.Counters.EngineErrors++
	c.recordLoss(request, ReasonEngineError, env.Now)
	request.transition(StageEnded)
	request.give(Step{PassEngineError: true})
}

// mayRetryError reports whether a request that got an engine's error may be sent to another engine.
func (c *Core) mayRetryError(request *Request, env Environment) bool {
	if !RoutesTo(env.Index, request.Host, request.URLPath, request.pool) {
		return false
	}
	path, _ := env.Index.Lookup(request.Host, request.URLPath)
	request.usePath(path)
	return request.mayRepeat() && path.Class == upstream.Idempotent && !request.callerLeft && request.enginesTried < request.Path.Attempts &&
		request.Deadline.Since(env.Now) > c.minAttemptTime(request)
}

// closeAttempt takes an attempt off the engine's and the pool's counts, and records its outcome.
func (c *Core) closeAttempt(request *Request, outcome Outcome, env Environment) {
	c.demandState(request).running--
	c.attemptsByPool[request.pool]--
	attributed := outcome
	if outcome.withheld() {
		attributed = OutcomeWithheld
	}
	if request.migrating && outcome != OutcomeCompleted && outcome != OutcomeEngineError {
		// This daemon stopped the attempt itself, which says nothing about the engine.
		attributed = OutcomeWithheld
	}
	request.migrating = false
	c.engineState(request.engine).attemptEnded(request, attributed, env)
	c.reportEnd(request, attributed, env)
	if outcome == OutcomeCompleted {
		if !request.responseBegun {
			c.recordLoss(request, c.lateReason(request, env.Now), env.Now)
			c.pathState(request).responseBegun(request, env.Now)
		}
		smooth(&c.pathState(request).serviceTime, env.Now.Since(request.sentAt))
	}
}

// ResponseBegun records that bytes of the response are passed on to the caller from now on.
func (c *Core) ResponseBegun(request *Request, env Environment) {
	if request.stage == StageSending {
		request.transition(StageResponding)
	}
	if request.responseBegun {
		return
	}
	request.responseBegun = true
	if request.speculative {
		c.learnLoadTimes(request, env)
	}
	c.recordLoss(request, c.lateReason(request, env.Now), env.Now)
	c.engineState(request.engine).responseBegun(request, env)
	c.reportFirstByte(request, env.Now)
	c.pathState(request).responseBegun(request, env.Now)
}
