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
		// Bytes or an end on a kept connection belong to no request of ours, so another one is taken.
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
		// Nothing was said on it, so it is as good as before.
		result.releaseConnection()
		return result.finish(OutcomeWithheld, reason)
	}
	first := !conn.used
	conn.used = true
	result.sending = startWrite(conn, buffer)
	if result.sending.nothingSent() {
		// Not one byte was taken, which no engine can run.
		result.closeConnection()
		return result.finish(OutcomeUnreachable, "the connection to the engine was broken")
	}
	// A failed write is no proof: what went before the failure may have been enough to run. The engine may
	// also have said why it would not read the rest, so its answer is looked for all the same.
	skipped := 0
	for ; ; skipped++ {
		if outcome, reason := result.readHeader(attempt.Header.IsHead()); outcome != OutcomeAnswered {
			result.closeConnection()
			result.sending.wait()
			if result.sending.nothingSent() {
				return result.finish(OutcomeUnreachable, "the connection to the engine was broken")
			}
			return result.finish(outcome, reason)
		}
		if result.Header.Attempt == attempt.ID {
			break
		}
		if result.Header.Attempt == "" && skipped == 0 && (attempt.MissingID == AllowMissingIDOnIdle || attempt.MissingID == AllowMissingIDOnNew && first) {
			result.unusable = result.unusable || attempt.MissingID == AllowMissingIDOnNew
			break
		}
		// Not a byte of another request's answer may go on. It may be one too many to an earlier request, with
		// ours behind it; then it says itself whose it is and where it ends.
		p.Counters.ForeignResponses.Add(1)
		result.unusable = true
		if result.Header.Attempt == "" || skipped >= maxSkippedResponses || result.Header.Events || !result.discardBody() {
			result.closeConnection()
			return result.finish(OutcomeProtocolError, "the engine's answer is not to this attempt")
		}
		result.releaseResponse()
		result.complete, result.bodyErr = false, nil
		_ = conn.SetReadDeadline(time.Now().Add(min(skippedResponseTimeout, attempt.Deadline.Since(p.clock.Elapsed()))))
	}
	if skipped > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(attempt.Deadline.Since(p.clock.Elapsed())))
	}
	if result.Header.NotRun {
		result.discardBody()
		if result.Header.Misdirected {
			return result.finish(OutcomeMisdirected, "the engine is another one, or does not hold what was asked for")
		}
		return result.finish(OutcomeRejected, "the engine refused")
	}
	result.Outcome = OutcomeAnswered
	return result
}

// readHeader reads one response header and makes its body ready to be read.
func (a *Result) readHeader(head bool) (Outcome, string) {
	a.response = fasthttp.AcquireResponse()
	a.response.StreamBody = true
	a.response.SkipBody = head
	if err := a.response.ReadLimitBody(a.connection.reader, 0); err != nil {
		if isNetworkError(err) {
			a.headErr = err
			return OutcomeResponseLost, "the engine gave no answer"
		}
		a.pools.Counters.ProtocolErrors.Add(1)
		return OutcomeProtocolError, "the engine sent what is no answer"
	}
	if protocol := string(a.response.Header.Protocol()); protocol != "HTTP/1.1" && protocol != "HTTP/1.0" {
		// Readers differ on where a body of any other version ends.
		a.pools.Counters.ProtocolErrors.Add(1)
		return OutcomeProtocolError, "the engine answered in another protocol"
	}
	if a.response.StatusCode() < fasthttp.StatusOK {
		// Interim answers were passed over, so it is a change of protocol, which nobody asked for.
		a.pools.Counters.ProtocolErrors.Add(1)
		return OutcomeProtocolError, "the engine changed the protocol"
	}
	a.Header = a.pools.dialect.ReadHead(&a.response.Header)
	a.body = a.response.BodyStream()
	a.delimited = a.body == nil || a.response.Header.ContentLength() >= -1
	a.complete = a.body == nil
	return OutcomeAnswered, ""
}
