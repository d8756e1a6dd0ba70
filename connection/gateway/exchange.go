package gateway

import (
	"io"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
)

// exchange is one request and its response. Its methods run on the connection's goroutine; the atomic fields and the
// canceller are also used by the caller monitor.
type exchange struct {
	*Gateway
	ctx         *fasthttp.RequestCtx
	request     *forwarding.Request
	canceller   connectionpool.Canceller
	caller      *callerConn
	callerGone  atomic.Bool
	header      fasthttp.RequestHeader
	body        []byte
	attempt     *forwarding.Attempt
	measurement attemptMeasurement
	// tenancy is what the header of the attempt was written by; token is the one taken of the tenant's limit.
	tenancy tenancy
	token   quotaToken
	// mayHaveRun reports that the request is counted for its tenant's limit already; overQuota that the attempt was withheld
	// because that limit no longer allows it.
	mayHaveRun, overQuota bool
	// lastEvent is the id of the last event passed on.
	lastEvent string
	hasBegun  atomic.Bool
	// hasEventID reports that an event with an id was passed on, after which a stream can be resumed.
	hasEventID atomic.Bool
}

// finish stops monitoring the caller and counting the request as open.
func (f *exchange) finish() {
	f.returnToken()
	f.monitor.remove(f)
	f.openRequests.Add(-1)
}

// next waits for the next step, before long without the token of a limited tenant.
func (f *exchange) next() forwarding.Step {
	if f.token.tenant == "" {
		return f.actor.NextStep(f.request)
	}
	step, came := f.actor.NextStepWithin(f.request, queuedTokenTime)
	if !came {
		f.returnToken()
		step = f.actor.NextStep(f.request)
	}
	return step
}

// serve makes attempts until there is a response. It gives a stream where the response is passed on as it comes.
func (f *exchange) serve() *stream {
	step := f.next()
	for {
		if step.Answer != nil {
			f.sendAnswer(*step.Answer)
			return nil
		}
		result := f.sendAttempt(step.Attempt)
		outcome := f.outcomeOf(result.Outcome)
		if result.Outcome == connectionpool.OutcomeAnswered {
			var stream *stream
			if stream, outcome = f.handleResponse(result); stream != nil {
				return stream
			}
			switch outcome {
			case forwarding.OutcomeCompleted:
				f.reportOutcome(outcome)
				return nil
			case forwarding.OutcomeEngineError:
				// The engine's own failure stands ready, unless another attempt is made.
				step = f.reportOutcome(outcome)
				if step.PassEngineError {
					return nil
				}
				f.ctx.Response.Reset()
				f.ctx.Response.Header.SetNoDefaultContentType(true)
				continue
			}
		}
		step = f.reportOutcome(outcome)
	}
}

// reportOutcome reports an attempt's outcome, and gives the next step unless the request was served.
func (f *exchange) reportOutcome(outcome forwarding.Outcome) forwarding.Step {
	if f.callerGone.Load() && outcome != forwarding.OutcomeCompleted {
		outcome = forwarding.OutcomeCallerLeft
	}
	f.mayHaveRun = f.mayHaveRun || outcome.MayHaveRun()
	f.actor.AttemptEnded(f.request, outcome, f.lastEvent)
	if outcome == forwarding.OutcomeCompleted {
		return forwarding.Step{}
	}
	return f.next()
}

// outcomeOf maps the connection pool's outcome to forwarding's.
func (f *exchange) outcomeOf(outcome connectionpool.Outcome) forwarding.Outcome {
	switch outcome {
	case connectionpool.OutcomeWithheld:
		if f.overQuota {
			return forwarding.OutcomeQuotaExceeded
		}
		return forwarding.OutcomeWithheld
	case connectionpool.OutcomeUnreachable:
		return forwarding.OutcomeUnreachable
	case connectionpool.OutcomeRejected:
		return forwarding.OutcomeRejected
	case connectionpool.OutcomeMisdirected:
		return forwarding.OutcomeMisdirected
	case connectionpool.OutcomeProtocolError:
		return forwarding.OutcomeProtocolError
	}
	return forwarding.OutcomeResponseLost
}

// sendAttempt makes one attempt and waits for the header of its response.
func (f *exchange) sendAttempt(attempt *forwarding.Attempt) *connectionpool.Result {
	f.attempt = attempt
	result := f.pools.Send(connectionpool.Attempt{
		Engine: attempt.Engine, Address: attempt.Address, Pool: attempt.Pool, ID: f.request.Attributes.Attempt, Header: &f.header, PrepareHeader: f.prepareHeader, Body: f.body, NotRepeatable: attempt.NotRepeatable,
		MaxConnections: attempt.MaxConnections, Deadline: f.request.Deadline + clock.Mark(f.Settings.DeadlineSlack), CheckBeforeSend: f.checkBeforeSend, Cancel: &f.canceller,
	})
	f.request.Observed.ConnectTime = result.ConnectTime
	f.recordConnect(result)
	return result
}

// prepareHeader writes the attempt's own header fields, as late as possible, since the time left is among them. Waiting
// for a token of the tenant's limit comes before that and before the last check, so that both see what is in force
// after it.
func (f *exchange) prepareHeader() {
	f.overQuota = !f.takeQuota()
	f.tenancy = f.tenancyBy(f.Index())
	f.Dialect.Dress(&f.header, dialect.Dress{
		Engine: string(f.attempt.Engine), Left: f.request.Deadline.Since(f.Clock.Elapsed()), Urgency: f.attempt.Urgency, LastEvent: f.attempt.LastEvent, Resumes: f.attempt.Resume,
		HideKey: f.tenancy.hidesKey, Tenant: f.tenancy.tenant,
	})
}

// callerLeft reports whether the caller has disconnected by now.
func (f *exchange) callerLeft() bool {
	if !f.callerGone.Load() && f.caller.isGone() {
		f.callerGone.Store(true)
	}
	return f.callerGone.Load()
}

// checkBeforeSend is the last check before the first byte, against what is in force at that moment. It gives a reason
// not to send, or "".
func (f *exchange) checkBeforeSend() string {
	reason := ""
	engine := f.View().Engines[f.attempt.Engine]
	index := f.Index()
	tenancy := f.tenancyBy(index)
	switch {
	case !forwarding.RoutesTo(index, f.request.Host, f.request.URLPath, f.attempt.Pool):
		reason = "the table in force no longer leads there"
	case engine == nil || engine.Address != f.attempt.Address || engine.Pool != f.attempt.Pool || !engine.Usable():
		reason = "the engine is leaving or gone"
	case f.EngineOpen != nil && !f.EngineOpen(engine):
		reason = "operators have closed the engine or its zone"
	case f.Clock.Elapsed() >= f.request.Deadline:
		reason = "the deadline has passed"
	case f.callerLeft():
		reason = "the caller has left"
	case f.attempt.NeedsWorkerID && !f.HasWorkerID():
		reason = "the worker id has lapsed"
	case !tenancy.allowed || tenancy.tenant != f.tenancy.tenant || tenancy.hidesKey != f.tenancy.hidesKey:
		reason = "the key is another tenant's, or nobody's any more"
	case f.overQuota:
		reason = "the tenant's limit no longer allows the request"
	case f.needsToken(tenancy):
		reason = "the token of the tenant's limit has lapsed"
	}
	if reason != "" {
		f.Counters.Withheld.Add(1)
	} else {
		f.token.spent = true
		f.recordSend()
	}
	return reason
}

// handleResponse passes a response on: at once, as a stream, or not at all.
func (f *exchange) handleResponse(result *connectionpool.Result) (*stream, forwarding.Outcome) {
	status := result.Response().StatusCode()
	if status >= 200 && status < 300 && !result.Header.Sealed {
		// A success without the engine's stamp is nobody's.
		f.Counters.Unsealed.Add(1)
		result.Close()
		return nil, forwarding.OutcomeProtocolError
	}
	if saysNotRun(status) {
		// The engine did not say that it has not run, and from us this status would say so.
		result.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	if result.Header.Events {
		return f.streamEvents(result)
	}
	body, err := io.ReadAll(io.LimitReader(result, maxBuffered))
	if err != nil {
		result.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	f.recordFirstByte(status)
	f.copyHeader(result)
	if !result.Complete() && len(body) == maxBuffered {
		return f.streamBody(result, body), forwarding.OutcomeCompleted
	}
	if len(body) > 0 {
		f.ctx.Response.SetBodyRaw(body)
	}
	result.Close()
	f.Counters.Completed.Add(1)
	if status >= fasthttp.StatusInternalServerError {
		return nil, forwarding.OutcomeEngineError
	}
	return nil, forwarding.OutcomeCompleted
}

// saysNotRun reports whether a status tells a client that its request has not run.
func saysNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeader copies the engine's header, except what concerns its connection.
func (f *exchange) copyHeader(result *connectionpool.Result) {
	result.Response().Header.CopyTo(&f.ctx.Response.Header)
	f.ctx.Response.Header.SetNoDefaultContentType(true)
	connectionpool.RemoveHopByHopResponse(&f.ctx.Response.Header)
	if f.Draining() {
		f.ctx.SetConnectionClose()
	}
}

// sendAnswer writes this daemon's own final answer.
func (f *exchange) sendAnswer(answer forwarding.Answer) {
	if answer.Status == 0 {
		// The caller is gone, or a response that has begun must not look complete.
		f.ctx.SetConnectionClose()
		return
	}
	f.writeText(f.ctx, answer.Status, "cresspond: "+strings.ReplaceAll(answer.Cause.String(), "-", " "))
	f.Dialect.Refuse(&f.ctx.Response.Header, answer.RetryAfter)
	if f.Draining() {
		f.ctx.SetConnectionClose()
	}
}
