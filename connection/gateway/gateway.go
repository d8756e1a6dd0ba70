// Package gateway is where opaque requests come in and their answers go out: it reads a request by the
// table in force, has forwarding decide, makes the attempts, and passes on what an engine answered.
package gateway

import (
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
)

// Surroundings is what a gateway looks at.
type Surroundings struct {
	Clock   clock.Clock
	Dialect dialect.Dialect
	// Index is the table in force, View the engines, Held whether a worker id is held.
	Index func() *upstream.Index
	View  func() *registry.View
	// Current says that the table in force is known to be new enough, so that what it does not allow is not allowed.
	Current func() bool
	Held    func() bool
	// EngineOpen says whether operators let new requests go to an engine; nil is yes.
	EngineOpen func(*registry.Engine) bool
	// Draining says that whoever is answered should connect elsewhere next time.
	Draining func() bool
	Settings forwarding.Settings
	// Recorder takes what is measured of engines' nodes; nil measures nothing.
	Recorder *nodehealth.Recorder
}

// Counters are counted over a daemon's life.
type Counters struct {
	Read, Unreadable, TooLarge, Whole, Streams, StreamsWhole, StreamsBroken, Events, Resumed, CallersLeft, LastLookStops, Unsealed atomic.Uint64
}

// Gateway serves opaque requests.
type Gateway struct {
	Surroundings
	Counters Counters
	actor    *forwarding.Actor
	pools    *connectionpool.Pools
	watcher  *watcher
	open     atomic.Int64
}

// New makes a gateway.
func New(s Surroundings, actor *forwarding.Actor, pools *connectionpool.Pools) *Gateway {
	return &Gateway{Surroundings: s, actor: actor, pools: pools, watcher: newWatcher()}
}

// Open counts the requests that were read and are not yet answered whole.
func (g *Gateway) Open() int64 { return g.open.Load() }

// Stop gives all that have no answer yet their final one, since the daemon may not wait much longer; answers
// that have begun go on for as long as it does wait.
func (g *Gateway) Stop() {
	g.actor.Do(func(c *forwarding.Core, w forwarding.Environment) { c.Stop(w) })
	g.watcher.each(func(f *flight) {
		if !f.begun.Load() {
			f.cancel.Now()
		}
	})
}

const (
	// mostWhole is how much of an answer is gathered before any of it goes on.
	mostWhole = 256 << 10
	// writeSlack is how long past its deadline an answer may take to be read by its caller.
	writeSlack = 20 * time.Second
	// longestWait bounds requests of which nothing says how long they may take.
	longestWait = time.Hour
)

// flight is one request under way here.
type flight struct {
	*Gateway
	ctx    *fasthttp.RequestCtx
	record *forwarding.Request
	cancel connectionpool.Cancel
	caller *watched
	left   atomic.Bool
	head   fasthttp.RequestHeader
	body   []byte
	send   *forwarding.Attempt
	node   nodeWatch
	// lastEvent is the last one passed on.
	lastEvent string
	begun     atomic.Bool
	// named says that an event with an id went on, after which another engine can go on.
	named atomic.Bool
}

// MoveOff stops what is under way at engines that are emptied, where it can go on elsewhere.
func (g *Gateway) MoveOff() {
	var flights []*flight
	g.watcher.each(func(f *flight) { flights = append(flights, f) })
	if len(flights) == 0 {
		return
	}
	// Between the core's decision and the stop no next attempt can begin, since only the core begins one.
	g.actor.Do(func(c *forwarding.Core, w forwarding.Environment) {
		for _, f := range flights {
			if f.begun.Load() && !f.named.Load() || f.left.Load() {
				continue
			}
			if c.Migrate(f.record, w) {
				f.cancel.Interrupt()
			}
		}
	})
}

// headBytes is how long a request's head is, its first line with it.
func headBytes(head *fasthttp.RequestHeader) int {
	return len(head.Method()) + len(head.RequestURI()) + len(" ") + len(" HTTP/1.1\r\n") + len(head.RawHeaders())
}

// Handle serves one request.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	g.Counters.Read.Add(1)
	ctx.Response.Header.SetNoDefaultContentType(true)
	arrived := g.Clock.Elapsed()
	ask, err := g.Dialect.ReadAsk(&ctx.Request.Header)
	if err != nil {
		g.Counters.Unreadable.Add(1)
		g.plain(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	host, prefixed := string(ctx.Request.Header.Host()), PathOf(ctx.Request.Header.RequestURI())
	record := forwarding.Request{Attributes: ask, Host: host, URLPath: prefixed, ArrivedAt: arrived, Deadline: arrived + clock.Mark(longestWait)}
	if index := g.Index(); index != nil {
		if most := index.Section.Limits.MaxHeaderBytes; most > 0 && headBytes(&ctx.Request.Header) > most {
			g.tooLarge(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too large")
			return
		}
		if most := index.Section.Limits.MaxBodyBytes; most > 0 && int64(len(ctx.Request.Body())) > most {
			g.tooLarge(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is too large")
			return
		}
		if path, found := index.Lookup(host, prefixed); found {
			record.Path = path
			limit := time.Duration(path.DeadlineMs) * time.Millisecond
			if ask.Deadline > 0 {
				limit = min(limit, ask.Deadline)
			}
			record.Deadline = arrived + clock.Mark(limit)
		}
	}
	f := &flight{Gateway: g, ctx: ctx, record: forwarding.NewRequest(record), caller: newWatched(ctx.Conn()), body: ctx.Request.Body()}
	ctx.Request.Header.CopyTo(&f.head)
	connectionpool.HopByHop(&f.head)
	g.open.Add(1)
	g.watcher.add(f)
	if !g.actor.Admit(f.record) {
		f.end(forwarding.Answer{Status: fasthttp.StatusServiceUnavailable, Cause: forwarding.CauseShuttingDown, RetryAfter: time.Second})
		f.done()
		return
	}
	// An answer goes out as soon as it is there, also where another request waits behind it.
	_ = ctx.SetWriteDeadline(time.Now().Add(record.Deadline.Since(arrived) + writeSlack))
	if stream := f.serve(); stream != nil {
		ctx.SetBodyStream(stream, stream.length)
		return
	}
	f.done()
}

// done ends the count of a request.
func (f *flight) done() {
	f.watcher.remove(f)
	f.open.Add(-1)
}

// PathOf is the path of a request's target as it was sent.
func PathOf(target []byte) string {
	if len(target) > 0 && target[0] != '/' {
		// A target may name scheme and host too.
		if at := bytes.Index(target, []byte("://")); at >= 0 {
			target = target[at+3:]
			if slash := bytes.IndexByte(target, '/'); slash >= 0 {
				target = target[slash:]
			} else {
				target = []byte{'/'}
			}
		}
	}
	if at := bytes.IndexAny(target, "?#"); at >= 0 {
		target = target[:at]
	}
	return string(target)
}

// plain answers with a line of our own.
func (g *Gateway) plain(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(reason + "\n")
}

// tooLarge answers what passes the limits in force. Only a table that is known to be new enough can say so for
// good: a newer one may allow it, and a client never asks again after the final word.
func (g *Gateway) tooLarge(ctx *fasthttp.RequestCtx, status int, reason string) {
	g.Counters.TooLarge.Add(1)
	if g.Current() {
		g.plain(ctx, status, reason)
	} else {
		g.plain(ctx, fasthttp.StatusServiceUnavailable, "cresspond: "+forwarding.CauseNoTable.String()+": "+reason)
		g.Dialect.Refuse(&ctx.Response.Header, time.Second)
	}
	ctx.SetConnectionClose()
}

// Unread answers a request that the limits in force kept from being read whole, as Handle answers what was read.
func (g *Gateway) Unread(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.SetNoDefaultContentType(true)
	g.tooLarge(ctx, status, "the request is larger than was read")
}

// end writes our own final answer.
func (f *flight) end(answer forwarding.Answer) {
	if answer.Status == 0 {
		// Nobody is there to read, or what has begun must not look whole.
		f.ctx.SetConnectionClose()
		return
	}
	f.plain(f.ctx, answer.Status, "cresspond: "+strings.ReplaceAll(answer.Cause.String(), "-", " "))
	f.Dialect.Refuse(&f.ctx.Response.Header, answer.RetryAfter)
	if f.Draining() {
		f.ctx.SetConnectionClose()
	}
}

// next waits for the next step.
func (f *flight) next() forwarding.Step { return f.actor.NextStep(f.record) }

// serve makes attempts until there is an answer; it gives a stream where the answer is passed on as it comes.
func (f *flight) serve() *stream {
	step := f.next()
	for {
		if step.Answer != nil {
			f.end(*step.Answer)
			return nil
		}
		answer := f.attempt(step.Attempt)
		outcome := outcomeOf(answer.Outcome)
		if answer.Outcome == connectionpool.Answered {
			var stream *stream
			if stream, outcome = f.take(answer); stream != nil {
				return stream
			}
			switch outcome {
			case forwarding.OutcomeCompleted:
				f.report(outcome)
				return nil
			case forwarding.OutcomeEngineError:
				// The engine's own failure stands ready, unless another attempt is made.
				step = f.report(outcome)
				if step.PassEngineError {
					return nil
				}
				f.ctx.Response.Reset()
				f.ctx.Response.Header.SetNoDefaultContentType(true)
				continue
			}
		}
		step = f.report(outcome)
	}
}

// report tells how the attempt ended, and gives the next step unless the request was served.
func (f *flight) report(outcome forwarding.Outcome) forwarding.Step {
	if f.left.Load() && outcome != forwarding.OutcomeCompleted {
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
	case connectionpool.HeldBack:
		return forwarding.OutcomeWithheld
	case connectionpool.NeverSent:
		return forwarding.OutcomeUnreachable
	case connectionpool.Refused:
		return forwarding.OutcomeRejected
	case connectionpool.Misdirected:
		return forwarding.OutcomeMisdirected
	case connectionpool.Junk:
		return forwarding.OutcomeProtocolError
	}
	return forwarding.OutcomeResponseLost
}

// attempt makes one attempt and waits for the head of its answer.
func (f *flight) attempt(send *forwarding.Attempt) *connectionpool.Answer {
	f.send = send
	answer := f.pools.Send(connectionpool.Attempt{
		Engine: send.Engine, Address: send.Address, Pool: send.Pool, ID: f.record.Attributes.Attempt, Head: &f.head, Dress: f.dress, Body: f.body, Careful: send.NotRepeatable,
		MostConnections: send.MaxConnections, Until: f.record.Deadline + clock.Mark(f.Settings.DeadlineSlack), LastLook: f.lastLook, Cancel: &f.cancel,
	})
	f.record.Observed.ConnectTime = answer.Connect
	f.connected(answer)
	return answer
}

// dress writes what is the attempt's own, as late as can be, since the time left goes by meanwhile.
func (f *flight) dress() {
	f.Dialect.Dress(&f.head, dialect.Dress{
		Engine: string(f.send.Engine), Left: f.record.Deadline.Since(f.Clock.Elapsed()), Urgency: f.send.Urgency, LastEvent: f.send.LastEvent, Resumes: f.send.Resume,
	})
}

// callerLeft says whether the caller has left by now, and notes it.
func (f *flight) callerLeft() bool {
	if !f.left.Load() && f.caller.gone() {
		f.left.Store(true)
	}
	return f.left.Load()
}

// lastLook is the last check before the first byte: what it reads is what is in force at that moment.
func (f *flight) lastLook() string {
	reason := ""
	engine := f.View().Engines[f.send.Engine]
	switch {
	case !forwarding.RoutesTo(f.Index(), f.record.Host, f.record.URLPath, f.send.Pool):
		reason = "the table in force no longer leads there"
	case engine == nil || engine.Address != f.send.Address || engine.Pool != f.send.Pool || !engine.Usable():
		reason = "the engine is leaving or gone"
	case f.EngineOpen != nil && !f.EngineOpen(engine):
		reason = "operators have closed the engine or its zone"
	case f.Clock.Elapsed() >= f.record.Deadline:
		reason = "the deadline has passed"
	case f.callerLeft():
		reason = "the caller has left"
	case f.send.NeedsWorkerID && !f.Held():
		reason = "the worker id has lapsed"
	}
	if reason != "" {
		f.Counters.LastLookStops.Add(1)
	} else {
		f.leaves()
	}
	return reason
}

// take turns an engine's answer into ours: whole, as a stream, or not at all.
func (f *flight) take(answer *connectionpool.Answer) (*stream, forwarding.Outcome) {
	status := answer.Response().StatusCode()
	if status >= 200 && status < 300 && !answer.Head.Sealed {
		// A success without the engine's stamp is nobody's.
		f.Counters.Unsealed.Add(1)
		answer.Close()
		return nil, forwarding.OutcomeProtocolError
	}
	if promises(status) {
		// The engine did not say that it has not run, and from us this status would say so.
		answer.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	if answer.Head.Events {
		return f.takeEvents(answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer, mostWhole))
	if err != nil {
		answer.Close()
		return nil, forwarding.OutcomeResponseLost
	}
	f.firstByte(status)
	f.copyHead(answer)
	if !answer.Whole() && len(body) == mostWhole {
		return f.takeLong(answer, body), forwarding.OutcomeCompleted
	}
	if len(body) > 0 {
		f.ctx.Response.SetBodyRaw(body)
	}
	answer.Close()
	f.Counters.Whole.Add(1)
	if status >= fasthttp.StatusInternalServerError {
		return nil, forwarding.OutcomeEngineError
	}
	return nil, forwarding.OutcomeCompleted
}

// promises says whether a status tells a client that its request has not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHead takes over the engine's head, but for what concerns its connection only.
func (f *flight) copyHead(answer *connectionpool.Answer) {
	answer.Response().Header.CopyTo(&f.ctx.Response.Header)
	f.ctx.Response.Header.SetNoDefaultContentType(true)
	connectionpool.HopByHopAnswer(&f.ctx.Response.Header)
	if f.Draining() {
		f.ctx.SetConnectionClose()
	}
}
