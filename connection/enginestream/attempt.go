// Package enginestream runs one attempt of a session's request at an engine, over a connection of its own, and sends load
// orders the same way. Nothing is ever sent twice: on a fresh connection, "could not connect" proves that nothing was
// sent.
package enginestream

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Attempt is one attempt at an engine.
type Attempt struct {
	Address string
	Attempt string
	Work    engineapi.Generate
	// LastCheck is called right before the first byte; it gives a reason not to send, or nothing.
	LastCheck func() string
	// Chunk takes each checked line; it returns false when the client has disconnected.
	Chunk func(line []byte) bool
	// FirstByteTimeout bounds the wait for an answer to begin, StallTimeout that for each next piece, Limit the whole go.
	FirstByteTimeout, StallTimeout, Timeout time.Duration
}

// Result is how an attempt ended.
type Result struct {
	Outcome dispatch.AttemptOutcome
	Reason  string
	// Malformed says that the engine violated its protocol and should be avoided for a while.
	Malformed bool
	// Sent and Received count bytes on the connection.
	Sent, Received int64
	Chunks         int
}

// Run runs an attempt to its end. When ctx ends it is cancelled at the engine by closing the connection.
func Run(ctx context.Context, attempt Attempt) (result Result) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", attempt.Address)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: dispatch.ClientDisconnected}
		}
		return Result{Outcome: dispatch.NeverSent, Reason: "the engine could not be reached"}
	}
	conn := &countingConn{Conn: raw}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer func() { result.Sent, result.Received = conn.sent, conn.received }()

	body, err := json.Marshal(attempt.Work)
	if err != nil {
		panic("broken invariant: an attempt cannot be encoded: " + err.Error())
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + attempt.Address + engineapi.PathGenerate)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(engineapi.HeaderAttempt, attempt.Attempt)
	request.Header.SetConnectionClose()
	request.SetBodyRaw(body)

	end := time.Now().Add(attempt.Timeout)
	if reason := attempt.LastCheck(); reason != "" {
		fasthttp.ReleaseResponse(response)
		return Result{Outcome: dispatch.Withdrawn, Reason: reason}
	}
	_ = raw.SetDeadline(time.Now().Add(attempt.FirstByteTimeout))
	writer := bufio.NewWriter(conn)
	// A failed write is no proof: what was sent before the failure may have been enough to run.
	if request.Write(writer) == nil {
		_ = writer.Flush()
	}
	response.StreamBody = true
	reader := bufio.NewReaderSize(conn, 4096)
	if err := response.ReadLimitBody(reader, 0); err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: dispatch.ClientDisconnected}
		}
		return Result{Outcome: dispatch.Lost, Reason: "the engine gave no answer", Malformed: !isNetworkError(err)}
	}
	defer fasthttp.ReleaseResponse(response)
	stream := response.BodyStream()
	if stream == nil {
		return Result{Outcome: dispatch.Lost, Reason: "the engine gave no answer", Malformed: true}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return readRefusal(response.StatusCode(), stream)
	}
	return relayStream(ctx, attempt, raw, stream, end)
}

// readRefusal reads an engine's refusal. Only the refusal itself proves that the work did not run.
func readRefusal(status int, stream io.Reader) Result {
	data, err := io.ReadAll(io.LimitReader(stream, 64<<10))
	var refusal engineapi.Refusal
	if err == nil && json.Unmarshal(data, &refusal) == nil && refusal.Refused && status >= 400 {
		return Result{Outcome: dispatch.EngineRefused, Reason: "the engine refused: " + refusal.Reason}
	}
	return Result{Outcome: dispatch.Lost, Reason: "the engine failed without saying whether the work ran", Malformed: status < 500}
}
