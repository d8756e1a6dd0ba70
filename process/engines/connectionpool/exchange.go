package connectionpool

import (
	"time"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

const (
	// maxSkippedResponses bounds the responses to earlier requests that may precede the one to this request.
	maxSkippedResponses = 2
	// skippedResponseTimeout is how long the response to this request is then awaited, since it may never come.
	skippedResponseTimeout = time.Second
)

// Send makes an attempt and waits for the header of its response. The caller must close the result.
func (p *Pools) Send(attempt Attempt) *Result {
	key := engineKey{attempt.Engine, attempt.Address}
	for {
		conn, available := p.acquire(key, attempt)
		if !available {
			return &Result{Outcome: OutcomeWithheld, Reason: "no connection to the engine is free"}
		}
		isNew := conn == nil
		if isNew {
			dialed, reason := p.dialConnection(attempt, key)
			if dialed == nil {
				return &Result{Outcome: OutcomeUnreachable, Reason: reason}
			}
			conn = dialed
		}
		// Bytes or an end on an idle connection belong to no request of this daemon, so another one is taken.
		if !isNew && conn.isReadable() {
			p.Counters.FoundStale.Add(1)
			_ = conn.Close()
			p.forget(key)
			continue
		}
		if !isNew {
			p.Counters.Reused.Add(1)
		}
		idle := p.clock.Elapsed().Since(conn.idleSince)
		// Close may release the connection to another attempt before this returns, so its fields are read first.
		connect := conn.connectTime
		conn.connectTime = 0
		result := p.exchange(conn, attempt, key)
		result.ConnectTime = connect
		if !isNew && result.Outcome == OutcomeResponseLost && isDisconnect(result.headErr) {
			p.recordDropped(attempt.Pool, idle)
		}
		return result
	}
}

// recordDropped learns from an idle connection that turned out closed when it was reused.
func (p *Pools) recordDropped(pool string, idle time.Duration) {
	p.Counters.DroppedWhileIdle.Add(1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.learned.recordDropped(pool, idle, p.clock.Elapsed())
}

// exchange makes the attempt over a connection.
func (p *Pools) exchange(conn *connection, attempt Attempt, key engineKey) *Result {
	result := &Result{pools: p, key: key, connection: conn, canceller: attempt.Cancel}
	if !attempt.Cancel.arm(func() { _ = conn.Close() }) {
		result.closeConnection()
		return result.finish(OutcomeUnreachable, "the caller has left")
	}
	_ = conn.SetDeadline(time.Now().Add(attempt.Deadline.Since(p.clock.Elapsed())))
	attempt.PrepareHeader()
	buffer := bytebufferpool.Get()
	buffer.B = append(appendHeader(buffer.B[:0], attempt.Header, len(attempt.Body)), attempt.Body...)
	if reason := attempt.CheckBeforeSend(); reason != "" {
		bytebufferpool.Put(buffer)
		// Nothing was written, so the connection can be reused.
		result.releaseConnection()
		return result.finish(OutcomeWithheld, reason)
	}
	firstRequest := !conn.used
	conn.used = true
	if !attempt.UniqueID {
		conn.sent.add(attempt.ID)
	}
	result.sending = startWrite(conn, buffer)
	if result.sending.nothingSent() {
		// An engine can't run a request of which it got no byte.
		result.closeConnection()
		return result.finish(OutcomeUnreachable, reasonBroken)
	}
	// A failed write proves nothing: the engine may have got enough to run the request, or may have responded why it
	// would not read the rest. So its response is read all the same.
	if failed := result.awaitResponse(attempt, firstRequest); failed != nil {
		return failed
	}
	if result.Header.NotRun {
		result.discardBody()
		if result.Header.Misdirected {
			return result.finish(OutcomeMisdirected, "the engine is another one, or has not loaded what was asked for")
		}
		return result.finish(OutcomeRejected, "the engine rejected the request")
	}
	result.Outcome = OutcomeAnswered
	return result
}

// reasonBroken is the reason of attempts of which no byte could be written.
const reasonBroken = "the connection to the engine was broken"

// awaitResponse reads response headers until one belongs to the attempt. It gives nil then, or else the result finished.
func (a *Result) awaitResponse(attempt Attempt, firstRequest bool) *Result {
	conn, clock := a.connection, a.pools.clock
	skipped := 0
	for ; ; skipped++ {
		if outcome, reason := a.readHeader(attempt.Header.IsHead()); outcome != OutcomeAnswered {
			a.closeConnection()
			a.sending.wait()
			if a.sending.nothingSent() {
				return a.finish(OutcomeUnreachable, reasonBroken)
			}
			return a.finish(outcome, reason)
		}
		if a.belongsTo(attempt, skipped == 0, firstRequest) {
			break
		}
		// No byte of another request's response may be passed on. It may be a surplus response to an earlier request,
		// followed by ours; then it bears an id and says where it ends.
		a.pools.Counters.ForeignResponses.Add(1)
		a.unusable = true
		if a.Header.Attempt == "" || skipped >= maxSkippedResponses || a.Header.Events || !a.discardBody() {
			a.closeConnection()
			return a.finish(OutcomeProtocolError, "the engine's response is not to this attempt")
		}
		a.releaseResponse()
		a.complete, a.bodyErr = false, nil
		_ = conn.SetReadDeadline(time.Now().Add(min(skippedResponseTimeout, attempt.Deadline.Since(clock.Elapsed()))))
	}
	if skipped > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(attempt.Deadline.Since(clock.Elapsed())))
	}
	return nil
}

// belongsTo reports whether the response that was read is to the attempt. The first response may bear no id where the
// attempt's MissingIDPolicy allows it.
func (a *Result) belongsTo(attempt Attempt, firstResponse, firstRequest bool) bool {
	if a.Header.Attempt == attempt.ID {
		return true
	}
	if a.Header.Attempt != "" || !firstResponse {
		return false
	}
	switch attempt.MissingID {
	case AllowMissingIDOnIdle:
		return true
	case AllowMissingIDOnNew:
		a.unusable = a.unusable || firstRequest
		return firstRequest
	}
	return false
}

// readHeader reads one response header and makes its body ready to be read.
func (a *Result) readHeader(head bool) (Outcome, string) {
	a.response = fasthttp.AcquireResponse()
	a.response.StreamBody = true
	a.response.SkipBody = head
	if err := a.response.ReadLimitBody(a.connection.reader, 0); err != nil {
		if isNetworkError(err) {
			a.headErr = err
			return OutcomeResponseLost, "the engine gave no response"
		}
		a.pools.Counters.ProtocolErrors.Add(1)
		return OutcomeProtocolError, "the engine sent no valid response"
	}
	if protocol := string(a.response.Header.Protocol()); protocol != "HTTP/1.1" && protocol != "HTTP/1.0" {
		// Readers differ on where a body of any other version ends.
		a.pools.Counters.ProtocolErrors.Add(1)
		return OutcomeProtocolError, "the engine responded in another protocol"
	}
	if a.response.StatusCode() < fasthttp.StatusOK {
		// Interim responses were skipped, so it is a change of protocol, which was not requested.
		a.pools.Counters.ProtocolErrors.Add(1)
		return OutcomeProtocolError, "the engine changed the protocol"
	}
	a.Header = a.pools.dialect.ReadHead(&a.response.Header)
	a.body = a.response.BodyStream()
	a.complete = a.body == nil
	if delimited := a.complete || a.response.Header.ContentLength() >= -1; !delimited {
		// The body ends with its connection.
		a.unusable = true
	}
	return OutcomeAnswered, ""
}
