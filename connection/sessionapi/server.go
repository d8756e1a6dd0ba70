// Package sessionapi serves the clients of sessions (POST /v1/generate): it reads a request, checks it against the
// configuration in force, hands it to package dispatch, and answers with the engine's stream or a typed error.
package sessionapi

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// Server serves clients' requests.
type Server struct {
	clock      clock.Clock
	table      func() *routingtable.Table
	actor      *dispatch.Actor
	ctx        context.Context
	inProgress atomic.Int64
	// Invalid counts the requests that were refused as invalid.
	Invalid atomic.Uint64
}

// New makes a server; ctx ends when the daemon may wait no longer for requests in progress.
func New(ctx context.Context, c clock.Clock, tables func() *routingtable.Table, actor *dispatch.Actor) *Server {
	return &Server{clock: c, table: tables, actor: actor, ctx: ctx}
}

// InProgress counts the requests that were read and are not yet answered completely.
func (server *Server) InProgress() int64 { return server.inProgress.Load() }

const (
	// maxNameBytes bounds attempt ids, sessions and prefixes.
	maxNameBytes = 256
	// minTimeLimit is the shortest time that a request is given, so that its deadline lies ahead.
	minTimeLimit = time.Millisecond
)

// requestFault is what makes a request invalid: the answer's status, and the field with the reason.
type requestFault struct {
	status        int
	field, reason string
}

// Handle serves one request.
func (server *Server) Handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		server.invalid(ctx, requestFault{fasthttp.StatusMethodNotAllowed, "", "only POST is served here"})
		return
	}
	// The handler's buffers are reused once it returns, so everything kept is copied here.
	request, prompt, fault := server.readRequest(ctx)
	if fault != nil {
		server.invalid(ctx, *fault)
		return
	}
	server.inProgress.Add(1)
	call := dispatch.NewCall(server.ctx, request, prompt)
	call.Arrived = server.clock.Elapsed()
	if !server.actor.Admit(call) {
		call.Cancel()
		server.inProgress.Add(-1)
		Fail(ctx, fasthttp.StatusServiceUnavailable, callerapi.Error{Outcome: callerapi.Unknown, Reason: "this daemon is stopping, and cannot tell whether another has this attempt", RetryAfterMs: 1000})
		return
	}
	answer, stream := server.await(ctx, call)
	switch {
	case stream == nil && answer == nil:
		// The client has disconnected, so nobody reads what is written here.
		call.Cancel()
		server.inProgress.Add(-1)
		ctx.SetConnectionClose()
	case answer != nil:
		call.Cancel()
		server.inProgress.Add(-1)
		Fail(ctx, answer.Status, callerapi.Error{Outcome: callerapi.Outcome(answer.Kind), Reason: answer.Reason, RetryAfterMs: answer.RetryAfter.Milliseconds()})
	default:
		ctx.SetContentType("application/x-ndjson")
		ctx.Response.Header.Set(callerapi.HeaderAttempt, request.Attempt)
		ctx.Response.ImmediateHeaderFlush = true
		// A reader, not a writer: fasthttp ends a writer's stream with a clean last chunk whatever became of it.
		ctx.SetBodyStream(&countedStream{stream, server}, -1)
	}
}

// await waits for the answer or the stream of a call; neither means that the client has disconnected.
func (server *Server) await(ctx *fasthttp.RequestCtx, call *dispatch.Call) (*dispatch.Answer, *dispatch.Stream) {
	// Clients older than HTTP/1.1 know of no interim answers.
	client := newClientWatch(ctx.Conn(), ctx.Request.Header.IsHTTP11())
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case answer := <-call.Answered:
			return &answer, nil
		case stream := <-call.Started:
			return nil, stream
		case <-poll.C:
			if client.disconnected() {
				return nil, nil
			}
		}
	}
}

// countedStream tells the server when an answer has been written, or given up.
type countedStream struct {
	io.ReadCloser
	server *Server
}

// Close ends the count.
func (c *countedStream) Close() error {
	c.server.inProgress.Add(-1)
	return c.ReadCloser.Close()
}

func (server *Server) invalid(ctx *fasthttp.RequestCtx, fault requestFault) {
	if fault.status == fasthttp.StatusServiceUnavailable {
		// A daemon without a configuration knows nothing of other daemons, so it can't say that the work has not run.
		Fail(ctx, fault.status, callerapi.Error{Outcome: callerapi.Unknown, Reason: fault.reason, RetryAfterMs: 1000})
		return
	}
	server.Invalid.Add(1)
	Fail(ctx, fault.status, callerapi.Error{Outcome: callerapi.Invalid, Reason: fault.reason, Field: fault.field})
}

// Fail writes an answer that is no stream.
func Fail(ctx *fasthttp.RequestCtx, status int, body callerapi.Error) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("broken invariant: an error cannot be encoded: " + err.Error())
	}
	ctx.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if body.RetryAfterMs > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt((body.RetryAfterMs+999)/1000, 10))
	}
	ctx.SetBody(data)
}
