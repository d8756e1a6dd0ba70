package forwarding

import (
	"github.com/cresspond/cresspond/process/featuregates"
)

// Outcome is how an attempt ended that gave no whole answer, or that it did.
type Outcome uint8

const (
	// HeldBack: the last look found a reason not to send.
	OutcomeWithheld Outcome = iota
	// NeverSent: the engine could not be reached.
	OutcomeUnreachable
	// EngineRefused: the engine gave its word that it has not run.
	OutcomeRejected
	// Misdirected: another engine is there, or it lacks what was asked for.
	OutcomeMisdirected
	// Lost: it may have run, and nothing of it goes on.
	OutcomeResponseLost
	// Junk: the same, and the engine broke the rules.
	OutcomeProtocolError
	// Cut: an answer that has begun broke off.
	OutcomeStreamBroken
	// Failed: the engine's whole answer is a failure of its own; it goes on as it is.
	OutcomeEngineError
	// Whole: the engine's whole answer went on.
	OutcomeCompleted
	// Left: the caller went away.
	OutcomeCallerLeft
)

// mostHeldBack is how often a request may be stopped at its last look, each time for a change since it was
// chosen for.
const maxWithheld = 8

// Attempted takes up how an attempt ended, and gives the next step unless the record is served.
func (c *Core) AttemptEnded(request *Request, outcome Outcome, env Environment) {
	if request.stage != StageSending && request.stage != StageResponding {
		return
	}
	c.closeAttempt(request, outcome, env)
	tooSoon := request.speculative && (outcome == OutcomeMisdirected || outcome == OutcomeRejected)
	if outcome != OutcomeWithheld && outcome != OutcomeUnreachable {
		if request.lastSpeculationRejectedBy != request.engine {
			// What counts is how many engines it was sent to.
			request.enginesTried++
		}
		if tooSoon {
			c.Counters.SpeculativeRejected++
			request.lastSpeculationRejectedBy = request.engine
			if request.enginesTried >= request.Path.Attempts {
				// It was sent to as many engines as it may be, and this one did not run it.
				request.onlyEngine = request.engine
			}
		}
		if !request.firstSendCounted {
			request.firstSendCounted = true
			c.Counters.Sent++
			// It counts from when it was sent: a stream that ends long after is no request of now.
			c.retryBudget(request.pool).recordFirstSend(request.sentAt, env.Now, c.settings.RetryWindow)
		}
	}
	if outcome != OutcomeWithheld && outcome != OutcomeMisdirected && !tooSoon {
		// What an engine lacked it may get; until then it is passed by for that.
		request.triedEngines = append(request.triedEngines, request.engine)
	}
	switch outcome {
	case OutcomeWithheld:
		c.Counters.Withheld++
		if request.withheldCount++; request.withheldCount > maxWithheld {
			c.finish(request, env, CauseNoCapacity, c.retryAfter(request, env))
		} else {
			c.dispatch(request, env)
		}
	case OutcomeUnreachable:
		c.Counters.Unreachable++
		c.dispatch(request, env)
	case OutcomeRejected:
		c.Counters.RejectedByEngine++
		c.dispatch(request, env)
	case OutcomeMisdirected:
		c.Counters.Misdirected++
		c.dispatch(request, env)
	case OutcomeResponseLost, OutcomeProtocolError, OutcomeStreamBroken:
		switch outcome {
		case OutcomeResponseLost:
			c.Counters.ResponsesLost++
		case OutcomeProtocolError:
			c.Counters.ProtocolErrors++
		case OutcomeStreamBroken:
			c.Counters.StreamsBroken++
		}
		request.mayHaveRun = true
		switch {
		case !request.mayRepeat() || request.responseBegun && (request.lastEvent == "" || c.settings.Disabled.Has(featuregates.Resumption)):
			cause := CauseResponseLost
			if env.Now >= request.Deadline {
				cause = CauseDeadline
			}
			c.finish(request, env, cause, 0)
		default:
			if request.responseBegun {
				c.Counters.Resumed++
			}
			c.dispatch(request, env)
		}
	case OutcomeCompleted:
		c.Counters.Completed++
		request.transition(StageEnded)
	case OutcomeEngineError:
		c.engineError(request, env)
	case OutcomeCallerLeft:
		c.finish(request, env, CauseCallerLeft, 0)
	}
	c.DispatchQueued(env)
}

// failed lets an engine's own failure go on, unless the request may be repeated and another engine can take it now.
func (c *Core) engineError(request *Request, env Environment) {
	request.mayHaveRun = true
	if request.repeatable() && !request.callerLeft && request.enginesTried < request.Path.Attempts && request.Deadline.Since(env.Now) > c.minAttemptTime(request) && RoutesTo(env.Index, request.Host, request.URLPath, request.pool) {
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

// settle notes at the engine that an attempt has ended.
func (c *Core) closeAttempt(request *Request, outcome Outcome, env Environment) {
	c.demandState(request).running--
	c.attemptsByPool[request.pool]--
	judged := outcome
	if request.migrating && outcome != OutcomeCompleted && outcome != OutcomeEngineError {
		// We ended it ourselves, which says nothing of the engine.
		judged = OutcomeWithheld
	}
	request.migrating = false
	c.engineState(request.engine).attemptEnded(request, judged, env)
	c.reportEnd(request, judged, env)
	if outcome == OutcomeCompleted {
		if !request.responseBegun {
			c.recordLoss(request, c.lateReason(request, env.Now), env.Now)
			c.pathState(request).responseBegun(request, env.Now)
		}
		smooth(&c.pathState(request).serviceTime, env.Now.Since(request.sentAt))
	}
}

// Begun notes that bytes of the answer go on to the caller, up to and with this event.
func (c *Core) ResponseBegun(request *Request, env Environment) {
	if request.stage == StageSending {
		request.transition(StageResponding)
	}
	if !request.responseBegun {
		request.responseBegun = true
		if request.speculative {
			c.learnLoadTimes(request, env)
		}
		c.recordLoss(request, c.lateReason(request, env.Now), env.Now)
		c.engineState(request.engine).responseBegun(request, env)
		c.reportFirstByte(request, env.Now)
		c.pathState(request).responseBegun(request, env.Now)
	}
}
