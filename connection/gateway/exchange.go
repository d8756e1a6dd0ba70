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

// exchange is one request under way here.
type exchange struct {
	*Gateway
	ctx         *fasthttp.RequestCtx
	record      *forwarding.Request
	canceller   connectionpool.Canceller
	caller      *callerConn
	callerGone  atomic.Bool
	header      fasthttp.RequestHeader
	body        []byte
	attempt     *forwarding.Attempt
	measurement attemptMeasurement
	// lastEvent is the last one passed on.
	lastEvent string
	hasBegun  atomic.Bool
	// hasEventID says that an event with an id went on, after which another engine can go on.
	hasEventID atomic.Bool
}

// finish ends the count of a request.
func (f *exchange) finish() {
	f.monitor.remove(f)
	f.openRequests.Add(-1)
}

// next waits for the next step.
func (f *exchange) next() forwarding.Step { return f.actor.NextStep(f.record) }

// serve makes attempts until there is an answer; it gives a stream where the answer is passed on as it comes.
func (f *exchange) serve() *stream {
	step := f.next()
	for {
		if step.Answer != nil {
			f.sendAnswer(*step.Answer)
			return nil
		}
		answer := f.sendAttempt(step.Attempt)
		outcome := outcomeOf(answer.Outcome)
		if answer.Outcome == connectionpool.OutcomeAnswered {
			var stream *stream
			if stream, outcome = f.handleResponse(answer); stream != nil {
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

// reportOutcome tells how the attempt ended, and gives the next step unless the request was served.
func (f *exchange) reportOutcome(outcome forwarding.Outcome) forwarding.Step {
	if f.callerGone.Load() && outcome != forwarding.OutcomeCompleted {
		outcome = forwarding.OutcomeCallerLeft
	}
	f.actor.AttemptEnded(f.record, outcome, f.lastEvent)
	if outcome == forwarding.OutcomeCompleted {
		return forwarding.Step{}
	}
	return f.next()
}

func outcomeOf(outcome connectionpool.Outcome) forwarding.Outcome {
	switch outcome {
	case connectionpool.OutcomeWithheld:
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

// sendAttempt makes one attempt and waits for the head of its answer.
func (f *exchange) sendAttempt(send *forwarding.Attempt) *connectionpool.Result {
	f.attempt = send
	answer := f.pools.Send(connectionpool.Attempt{
		Engine: send.Engine, Address: send.Address, Pool: send.Pool, ID: f.record.Attributes.Attempt, Header: &f.header, PrepareHeader: f.prepareHeader, Body: f.body, NotRepeatable: send.NotRepeatable,
		MaxConnections: send.MaxConnections, Deadline: f.record.Deadline + clock.Mark(f.Settings.DeadlineSlack), CheckBeforeSend: f.checkBeforeSend, Cancel: &f.canceller,
	})
	f.record.Observed.ConnectTime = answer.ConnectTime
	f.recordConnect(answer)
	return answer
}

// prepareHeader writes what is the attempt's own, as late as can be, since the time left goes by meanwhile.
func (f *exchange) prepareHeader() {
	f.Dialect.Dress(&f.header, dialect.Dress{
		Engine: string(f.attempt.Engine), Left: f.record.Deadline.Since(f.Clock.Elapsed()), Urgency: f.attempt.Urgency, LastEvent: f.attempt.LastEvent, Resumes: f.attempt.Resume,
	})
}

// callerLeft says whether the caller has left by now, and notes it.
func (f *exchange) callerLeft() bool {
	if !f.callerGone.Load() && f.caller.isGone() {
		f.callerGone.Store(true)
	}
	return f.callerGone.Load()
}

// checkBeforeSend is the last check before the first byte: what it reads is what is in force at that moment.
func (f *exchange) checkBeforeSend() string {
	reason := ""
	engine := f.View().Engines[f.attempt.Engine]
	switch {
	case !forwarding.RoutesTo(f.Index(), f.record.Host, f.record.URLPath, f.attempt.Pool):
		reason = "the table in force no longer leads there"
	case engine == nil || engine.Address != f.attempt.Address || engine.Pool != f.attempt.Pool || !engine.Usable():
		reason = "the engine is leaving or gone"
	case f.EngineOpen != nil && !f.EngineOpen(engine):
		reason = "operators have closed the engine or its zone"
	case f.Clock.Elapsed() >= f.record.Deadline:
		reason = "the deadline has passed"
	case f.callerLeft():
		reason = "the caller has left"
	case f.attempt.NeedsWorkerID && !f.HasWorkerID():
		reason = "the worker id has lapsed"
	}
	if reason != "" {
		f.Counters.Withheld.Add(1)
	} else {
		f.recordSend()
	}
	return reason
}

// handleResponse turns an engine's answer into ours: whole, as a stream, or not at all.
func (f *exchange) handleResponse(answer *connectionpool.Result) (*stream, forwarding.Outcome) {
	status := answer.Response().StatusCode()
	if status >= 200 && status < 300 && !answer.Header.Sealed {
		// A success without the engine's stamp is nobody's.
		f.Counters.Unsealed.Add(1)
		answer.Close()
		return nil, forwarding.OutcomeProtocolError
	}
	if saysNotRun(status) {
		// The engine did not say that it has not run, and from us this status would say so.
		answer.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	if answer.Header.Events {
		return f.streamEvents(answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil {
		answer.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	f.recordFirstByte(status)
	f.copyHeader(answer)
	if !answer.Complete() && len(body) == maxBuffered {
		return f.streamBody(answer, body), forwarding.OutcomeCompleted
	}
	if len(body) > 0 {
		f.ctx.Response.SetBodyRaw(body)
	}
	answer.Close()
	f.Counters.Completed.Add(1)
	if status >= fasthttp.StatusInternalServerError {
		return nil, forwarding.OutcomeEngineError
	}
	return nil, forwarding.OutcomeCompleted
}

// saysNotRun says whether a status tells a client that its request has not run.
func saysNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeader takes over the engine's head, but for what concerns its connection only.
func (f *exchange) copyHeader(answer *connectionpool.Result) {
	answer.Response().Header.CopyTo(&f.ctx.Response.Header)
	f.ctx.Response.Header.SetNoDefaultContentType(true)
	connectionpool.RemoveHopByHopResponse(&f.ctx.Response.Header)
	if f.Draining() {
		f.ctx.SetConnectionClose()
	}
}

// sendAnswer writes our own final answer.
func (f *exchange) sendAnswer(answer forwarding.Answer) {
	if answer.Status == 0 {
		// Nobody is there to read, or what has begun must not look whole.
		f.ctx.SetConnectionClose()
		return
	}
	f.writeText(f.ctx, answer.Status, "cresspond: "+strings.ReplaceAll(answer.Cause.String(), "-", " "))
	f.Dialect.Refuse(&f.ctx.Response.Header, answer.RetryAfter)
	if f.Draining() {
		f.ctx.SetConnectionClose()
	}
}
