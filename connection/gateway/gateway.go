// Package gateway serves opaque requests: it reads a request by the routing table in force, lets package forwarding
// decide, makes the attempts over package connectionpool, and passes the engine's response on.
//
// One exchange, on the connection's goroutine, carries out the steps that forwarding gives for its request. A response is
// passed on only if it bears the engine's seal and id; one that breaks off after bytes were passed on is resumed at
// another engine or visibly truncated, so that it never looks complete. callerMonitor ends exchanges whose callers have
// disconnected. Package daemon makes the Gateway and its server.
package gateway

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/quota"
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
)

// Dependencies are what a gateway depends on. Functions are called for each request and must be safe for concurrent use.
type Dependencies struct {
	Clock   clock.Clock
	Dialect dialect.Dialect
	// Index gives the routing table in force, View the registered engines.
	Index func() *upstream.Index
	View  func() *registry.View
	// IndexCurrent reports whether the table is recent enough for a final answer that says what is not allowed.
	IndexCurrent func() bool
	// HasWorkerID reports whether this daemon holds a worker id.
	HasWorkerID func() bool
	// EngineOpen reports whether operators let new requests go to an engine; nil is always.
	EngineOpen func(*registry.Engine) bool
	// TakeQuota takes a token of a limited tenant's limit; nil limits nobody.
	TakeQuota func(tenant string) QuotaDecision
	// ReturnQuota returns a token of a tenant that was not spent; nil lets tokens lapse.
	ReturnQuota func(tenant string, token quota.Token)
	// Draining reports whether callers should connect elsewhere, so that connections are closed after a response.
	Draining func() bool
	Settings forwarding.Settings
	// Recorder takes measurements of the engines' nodes; nil measures nothing.
	Recorder *nodehealth.Recorder
}

// Counters count events since the daemon started. Read counts requests read, Unreadable and TooLarge those rejected for
// it; Completed and Streams count responses passed on at once and as they came, Withheld the attempts that
// checkBeforeSend stopped, Unsealed successes without an engine's seal.
type Counters struct {
	Read, Unreadable, TooLarge, Completed, Streams, StreamsCompleted, StreamsBroken, Events, Resumed, CallersLeft, Withheld, Unsealed atomic.Uint64
}

// Gateway serves opaque requests. It is safe for concurrent use.
type Gateway struct {
	Dependencies
	Counters     Counters
	actor        *forwarding.Actor
	pools        *connectionpool.Pools
	monitor      *callerMonitor
	openRequests atomic.Int64
}

// New makes a gateway.
func New(s Dependencies, actor *forwarding.Actor, pools *connectionpool.Pools) *Gateway {
	return &Gateway{Dependencies: s, actor: actor, pools: pools, monitor: newCallerMonitor()}
}

// OpenRequests counts the requests that were read and are not yet answered in full.
func (g *Gateway) OpenRequests() int64 { return g.openRequests.Load() }

// Stop gives all requests without a response their final answer; responses that have begun continue for as long as the
// daemon waits for them.
func (g *Gateway) Stop() {
	g.actor.Do(func(c *forwarding.Core, w forwarding.Environment) { c.Stop(w) })
	g.monitor.each(func(f *exchange) {
		if !f.hasBegun.Load() {
			f.canceller.Cancel()
		}
	})
}

// MigrateEvacuated stops the attempts at evacuated engines that can be made elsewhere.
func (g *Gateway) MigrateEvacuated() {
	var exchanges []*exchange
	g.monitor.each(func(f *exchange) { exchanges = append(exchanges, f) })
	if len(exchanges) == 0 {
		return
	}
	// Between the core's decision and the stop no next attempt can begin, since only the core begins one.
	g.actor.Do(func(c *forwarding.Core, w forwarding.Environment) {
		for _, f := range exchanges {
			if f.hasBegun.Load() && !f.hasEventID.Load() || f.callerGone.Load() {
				continue
			}
			if c.Migrate(f.request, w) {
				f.canceller.Interrupt()
			}
		}
	})
}

const (
	// maxBuffered is how much of a response is buffered before any of it is passed on, in bytes.
	maxBuffered = 256 << 10
	// writeGracePeriod is how long past its deadline a caller may take to read its response.
	writeGracePeriod = 20 * time.Second
	// defaultDeadline bounds requests without a deadline.
	defaultDeadline = time.Hour
)

// Handle serves one request.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	g.Counters.Read.Add(1)
	ctx.Response.Header.SetNoDefaultContentType(true)
	arrived := g.Clock.Elapsed()
	attributes, err := g.Dialect.ReadAsk(&ctx.Request.Header)
	if err != nil {
		g.Counters.Unreadable.Add(1)
		g.writeText(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	host, prefixed := string(ctx.Request.Header.Host()), PathOf(ctx.Request.Header.RequestURI())
	record := forwarding.Request{Attributes: attributes, Host: host, URLPath: prefixed, ArrivedAt: arrived, Deadline: arrived + clock.Mark(defaultDeadline)}
	if index := g.Index(); index != nil {
		if most := index.Section.Limits.MaxHeaderBytes; most > 0 && headerSize(&ctx.Request.Header) > most {
			g.tooLarge(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too large")
			return
		}
		if most := index.Section.Limits.MaxBodyBytes; most > 0 && int64(len(ctx.Request.Body())) > most {
			g.tooLarge(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is too large")
			return
		}
		if path, found := index.Lookup(host, prefixed); found {
			record.SetPath(path)
		}
	}
	f := &exchange{Gateway: g, ctx: ctx, request: forwarding.NewRequest(record), caller: newCallerConn(ctx.Conn()), body: ctx.Request.Body()}
	ctx.Request.Header.CopyTo(&f.header)
	connectionpool.RemoveHopByHop(&f.header)
	g.openRequests.Add(1)
	g.monitor.add(f)
	f.takeQuota()
	if !g.actor.Admit(f.request) {
		f.sendAnswer(forwarding.Answer{Status: fasthttp.StatusServiceUnavailable, Cause: forwarding.CauseShuttingDown, RetryAfter: time.Second})
		f.finish()
		return
	}
	// A response is sent at once, also if a pipelined request follows.
	_ = ctx.SetWriteDeadline(time.Now().Add(record.Deadline.Since(arrived) + writeGracePeriod))
	if stream := f.serve(); stream != nil {
		ctx.SetBodyStream(stream, stream.length)
		return
	}
	f.finish()
}
