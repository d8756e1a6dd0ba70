// Package sessionapi is where callers' connections end: it reads a request, checks it against the
// spec in force, and hands back a stream or a plain word on why there is none.
package sessionapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// Door serves callers.
type Door struct {
	clock  clock.Clock
	table  func() *routingtable.Table
	actor  *dispatch.Actor
	ctx    context.Context
	served atomic.Int64
	// Invalid counts requests that were wrong.
	Invalid atomic.Uint64
}

// New makes a door; ctx ends when the daemon may wait no longer.
func New(ctx context.Context, c clock.Clock, tables func() *routingtable.Table, actor *dispatch.Actor) *Door {
	return &Door{clock: c, table: tables, actor: actor, ctx: ctx}
}

// Open counts the requests that were read and are not yet answered whole.
func (d *Door) Open() int64 { return d.served.Load() }

const (
	mostName     = 256
	leastPortion = time.Millisecond
)

type fault struct {
	status        int
	field, reason string
}

// Handle serves one request.
func (d *Door) Handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		d.invalid(ctx, fault{fasthttp.StatusMethodNotAllowed, "", "only POST is served here"})
		return
	}
	// The handler's buffers are reused once it returns, so everything kept is copied here.
	request, prompt, wrong := d.read(ctx)
	if wrong != nil {
		d.invalid(ctx, *wrong)
		return
	}
	d.served.Add(1)
	flight := dispatch.NewCall(d.ctx, request, prompt)
	flight.Arrived = d.clock.Elapsed()
	if !d.actor.Admit(flight) {
		flight.Cancel()
		d.served.Add(-1)
		Fail(ctx, fasthttp.StatusServiceUnavailable, callerapi.Error{Outcome: callerapi.Unknown, Reason: "this daemon is stopping, and cannot tell whether another has this attempt", RetryAfterMs: 1000})
		return
	}
	verdict, stream := d.await(ctx, flight)
	switch {
	case stream == nil && verdict == nil:
		// The caller has left, so nobody reads what is written here.
		flight.Cancel()
		d.served.Add(-1)
		ctx.SetConnectionClose()
	case verdict != nil:
		flight.Cancel()
		d.served.Add(-1)
		Fail(ctx, verdict.Status, callerapi.Error{Outcome: callerapi.Outcome(verdict.Kind), Reason: verdict.Reason, RetryAfterMs: verdict.RetryAfter.Milliseconds()})
	default:
		ctx.SetContentType("application/x-ndjson")
		ctx.Response.Header.Set(callerapi.HeaderAttempt, request.Attempt)
		ctx.Response.ImmediateHeaderFlush = true
		// A reader, not a writer: fasthttp ends a writer's stream with a clean last chunk whatever became of it.
		ctx.SetBodyStream(&counted{stream, d}, -1)
	}
}

// await waits for the verdict or the stream of a flight; neither means that the caller left meanwhile.
func (d *Door) await(ctx *fasthttp.RequestCtx, flight *dispatch.Call) (*dispatch.Answer, *dispatch.Stream) {
	// Callers older than HTTP/1.1 know of no interim answers.
	caller := newWatch(ctx.Conn(), ctx.Request.Header.IsHTTP11())
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case verdict := <-flight.Answered:
			return &verdict, nil
		case stream := <-flight.Started:
			return nil, stream
		case <-look.C:
			if caller.gone() {
				return nil, nil
			}
		}
	}
}

// counted lets the door know when an answer has been written, or given up.
type counted struct {
	io.ReadCloser
	door *Door
}

// Close ends the count.
func (c *counted) Close() error {
	c.door.served.Add(-1)
	return c.ReadCloser.Close()
}

func (d *Door) invalid(ctx *fasthttp.RequestCtx, f fault) {
	if f.status == fasthttp.StatusServiceUnavailable {
		// A daemon without a spec knows nothing of others, so it can promise nothing for them.
		Fail(ctx, f.status, callerapi.Error{Outcome: callerapi.Unknown, Reason: f.reason, RetryAfterMs: 1000})
		return
	}
	d.Invalid.Add(1)
	Fail(ctx, f.status, callerapi.Error{Outcome: callerapi.Invalid, Reason: f.reason, Field: f.field})
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

// read gives the checked request, or the first thing wrong with it.
func (d *Door) read(ctx *fasthttp.RequestCtx) (dispatch.Request, string, *fault) {
	var none dispatch.Request
	t := d.table()
	if t == nil {
		return none, "", &fault{fasthttp.StatusServiceUnavailable, "", "no spec is in force here yet"}
	}
	body := ctx.PostBody()
	if len(body) > t.Configuration.Limits.MaxBodyBytes {
		return none, "", &fault{fasthttp.StatusRequestEntityTooLarge, "", fmt.Sprintf("the body is larger than %d bytes", t.Configuration.Limits.MaxBodyBytes)}
	}
	attempt := string(ctx.Request.Header.Peek(callerapi.HeaderAttempt))
	if !plainName(attempt) {
		return none, "", &fault{fasthttp.StatusBadRequest, callerapi.HeaderAttempt, "must be 1 to 256 plain characters"}
	}
	if len(ctx.Request.Header.PeekAll(callerapi.HeaderAttempt)) != 1 {
		return none, "", &fault{fasthttp.StatusBadRequest, callerapi.HeaderAttempt, "stands twice"}
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var g callerapi.Generate
	if err := decoder.Decode(&g); err != nil {
		if typed, ok := err.(*json.UnmarshalTypeError); ok {
			return none, "", &fault{fasthttp.StatusBadRequest, typed.Field, "a " + typed.Value + " does not fit here"}
		}
		// Of an unknown field the decoder's words hold the name.
		if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
			return none, "", &fault{fasthttp.StatusBadRequest, strings.Trim(name, `"`), "is not known"}
		}
		return none, "", &fault{fasthttp.StatusBadRequest, "", "the body is not JSON: " + strings.TrimPrefix(err.Error(), "json: ")}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return none, "", &fault{fasthttp.StatusBadRequest, "", "something follows the JSON body"}
	}
	for _, named := range []struct{ field, value string }{{"route", g.Route}, {"house", g.House}, {"model", g.Model}} {
		if named.value == "" {
			return none, "", &fault{fasthttp.StatusBadRequest, named.field, "is missing"}
		}
	}
	for _, named := range []struct{ field, value string }{{"session", g.Session}, {"prefix", g.Prefix}} {
		if len(named.value) > mostName {
			return none, "", &fault{fasthttp.StatusBadRequest, named.field, "is longer than 256 bytes"}
		}
	}
	if g.Prompt == "" {
		return none, "", &fault{fasthttp.StatusBadRequest, "prompt", "is missing"}
	}
	deadline := time.Duration(g.DeadlineMs) * time.Millisecond
	if g.DeadlineMs <= 0 || g.DeadlineMs > t.Configuration.Limits.MaxDeadlineMs {
		return none, "", &fault{fasthttp.StatusBadRequest, "deadlineMs", fmt.Sprintf("must be from 1 to %d", t.Configuration.Limits.MaxDeadlineMs)}
	}
	route, known := t.Route(g.Route)
	switch {
	case !known:
		return none, "", &fault{fasthttp.StatusNotFound, "route", "no such route"}
	case route.Tenant != g.House:
		return none, "", &fault{fasthttp.StatusForbidden, "house", "this route is not of that house"}
	}
	if _, known := t.Model(g.Model); !known {
		return none, "", &fault{fasthttp.StatusNotFound, "model", "no such model"}
	}
	if _, known := t.Adapter(g.Adapter); !known && g.Adapter != "" {
		return none, "", &fault{fasthttp.StatusNotFound, "adapter", "no such adapter"}
	}
	if !t.Allows(g.Route, g.Model, "") {
		return none, "", &fault{fasthttp.StatusForbidden, "model", "is not allowed on this route"}
	}
	if !t.Allows(g.Route, g.Model, g.Adapter) {
		return none, "", &fault{fasthttp.StatusForbidden, "adapter", "is not allowed on this route with this model"}
	}
	return dispatch.Request{
		Attempt: attempt, Route: g.Route, Tenant: g.House, Worth: route.Priority, Rank: route.Rank, Model: g.Model, Adapter: g.Adapter,
		Prefix: g.Prefix, Session: g.Session, Bytes: len(body), Digest: digestOf(body), Deadline: d.clock.Elapsed() + clock.Mark(max(deadline, leastPortion)),
		Repeatable: g.Repeatable, EndSession: g.EndSession, MaxQueued: route.MaxPending,
	}, g.Prompt, nil
}

// digestOf is a short mark of a body.
func digestOf(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// plainName lets through what can stand in a header unchanged.
func plainName(name string) bool {
	if name == "" || len(name) > mostName {
		return false
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}
