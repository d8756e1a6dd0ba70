// Package enginestream carries one go to an engine over a connection of its own. It never sends
// twice: a fresh connection makes "could not connect" the proof that nothing was sent.
package enginestream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/request/relay"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Go is one go.
type Go struct {
	Address string
	Attempt string
	Work    engineapi.Generate
	// MayLeave is asked right before the first byte; it gives a reason not to send.
	MayLeave func() string
	// Piece takes each checked line; it says false when the caller is gone.
	Piece func(line []byte) bool
	// FirstLimit bounds the wait for an answer to begin, StallLimit that for each next piece, Limit the whole go.
	FirstLimit, StallLimit, Limit time.Duration
}

// Result is how a go ended.
type Result struct {
	Outcome dispatch.AttemptOutcome
	Reason  string
	// Junk says that the engine broke the rules and should rest.
	Junk bool
	// Sent and Received count bytes.
	Sent, Received int64
	Pieces         int
}

// Order gives one order. It gives the engine's answer, or nil with sent telling whether the order may have arrived.
func Order(ctx context.Context, address string, order engineapi.Order, limit time.Duration, mayLeave func() bool) (answer *engineapi.OrderAnswer, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dialer := net.Dialer{Timeout: dialLimit}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	body, err := json.Marshal(order)
	if err != nil {
		panic("broken invariant: an order cannot be encoded: " + err.Error())
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + engineapi.PathOrder)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.SetConnectionClose()
	request.SetBodyRaw(body)
	// The claim and the tenure are looked at once more, as late as can be.
	if !mayLeave() {
		return nil, false
	}
	writer := bufio.NewWriter(conn)
	if request.Write(writer) != nil || writer.Flush() != nil {
		return nil, true
	}
	var word engineapi.OrderAnswer
	if response.ReadLimitBody(bufio.NewReader(conn), 64<<10) != nil || json.Unmarshal(response.Body(), &word) != nil {
		return nil, true
	}
	return &word, true
}

const dialLimit = 800 * time.Millisecond

type countingConn struct {
	net.Conn
	sent, received int64
}

// Read counts what comes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	return n, err
}

// Write counts what goes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// Carry runs a go to its end. Ending ctx cancels it at the engine by closing the connection.
func Carry(ctx context.Context, g Go) (result Result) {
	dialer := net.Dialer{Timeout: dialLimit}
	raw, err := dialer.DialContext(ctx, "tcp", g.Address)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: dispatch.CallerLeft}
		}
		return Result{Outcome: dispatch.NeverSent, Reason: "the engine could not be reached"}
	}
	conn := &countingConn{Conn: raw}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer func() { result.Sent, result.Received = conn.sent, conn.received }()

	body, err := json.Marshal(g.Work)
	if err != nil {
		panic("broken invariant: a go cannot be encoded: " + err.Error())
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + g.Address + engineapi.PathGenerate)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(engineapi.HeaderAttempt, g.Attempt)
	request.Header.SetConnectionClose()
	request.SetBodyRaw(body)

	end := time.Now().Add(g.Limit)
	if reason := g.MayLeave(); reason != "" {
		fasthttp.ReleaseResponse(response)
		return Result{Outcome: dispatch.Withdrawn, Reason: reason}
	}
	_ = raw.SetDeadline(time.Now().Add(g.FirstLimit))
	writer := bufio.NewWriter(conn)
	// A failed write is no proof: what went before the failure may have been enough to run.
	if request.Write(writer) == nil {
		_ = writer.Flush()
	}
	response.StreamBody = true
	reader := bufio.NewReaderSize(conn, 4096)
	if err := response.ReadLimitBody(reader, 0); err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: dispatch.CallerLeft}
		}
		return Result{Outcome: dispatch.Lost, Reason: "the engine gave no answer", Junk: !isNetwork(err)}
	}
	defer fasthttp.ReleaseResponse(response)
	stream := response.BodyStream()
	if stream == nil {
		return Result{Outcome: dispatch.Lost, Reason: "the engine gave no answer", Junk: true}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return refused(response.StatusCode(), stream)
	}
	return follow(ctx, g, raw, stream, end)
}

// refused reads an engine's word on why it did not run the work. Only that word is proof.
func refused(status int, stream io.Reader) Result {
	data, err := io.ReadAll(io.LimitReader(stream, 64<<10))
	var word engineapi.Refusal
	if err == nil && json.Unmarshal(data, &word) == nil && word.Refused && status >= 400 {
		return Result{Outcome: dispatch.EngineRefused, Reason: "the engine refused: " + word.Reason}
	}
	return Result{Outcome: dispatch.Lost, Reason: "the engine failed without saying whether the work ran", Junk: status < 500}
}

func follow(ctx context.Context, g Go, raw net.Conn, stream io.Reader, end time.Time) Result {
	checker := relay.NewChecker(g.Attempt)
	lines := bufio.NewReaderSize(stream, 4096)
	broken := func(reason string, isJunk bool) Result {
		outcome := dispatch.Cut
		if checker.Pieces() == 0 {
			outcome = dispatch.Lost
		}
		if ctx.Err() != nil {
			outcome = dispatch.CallerLeft
		}
		return Result{Outcome: outcome, Reason: reason, Junk: isJunk && ctx.Err() == nil, Pieces: checker.Pieces()}
	}
	for {
		_ = raw.SetWriteDeadline(end)
		limit := time.Now().Add(g.StallLimit)
		if limit.After(end) {
			limit = end
		}
		_ = raw.SetReadDeadline(limit)
		line, err := readLine(lines)
		if errors.Is(err, errLong) {
			return broken("the engine sent a line without end", true)
		}
		if err == io.EOF && len(line) == 0 {
			if checker.Whole() {
				return Result{Outcome: dispatch.Whole, Pieces: checker.Pieces()}
			}
			return broken("the engine ended the stream too early", true)
		}
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return broken("the engine's stream stalled", true)
			}
			return broken("the engine's stream broke", false)
		}
		checked, reason := checker.Take(line)
		if reason != "" {
			return broken(reason, true)
		}
		if checker.Whole() {
			// The final line goes out only once the engine's stream has ended as it should.
			if _, err := lines.ReadByte(); err != io.EOF {
				return broken("the engine's stream did not end after its final line", true)
			}
		}
		if !g.Piece(checked) {
			return Result{Outcome: dispatch.CallerLeft, Pieces: checker.Pieces()}
		}
		if checker.Whole() {
			return Result{Outcome: dispatch.Whole, Pieces: checker.Pieces()}
		}
	}
}

var errLong = errors.New("a line is too long")

func readLine(lines *bufio.Reader) ([]byte, error) {
	var whole []byte
	for {
		part, err := lines.ReadSlice('\n')
		whole = append(whole, part...)
		if len(whole) > relay.MostPiece {
			return nil, errLong
		}
		if err != bufio.ErrBufferFull {
			return whole, err
		}
	}
}

func isNetwork(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "closed")
}
