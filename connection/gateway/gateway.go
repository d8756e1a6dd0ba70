// Package gateway is where opaque requests come in and their answers go out: it reads a request by the
// table in force, has forwarding decide, makes the attempts, and passes on what an engine answered.
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
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
)

// Dependencies is what a gateway looks at.
type Dependencies struct {
	Clock   clock.Clock
	Dialect dialect.Dialect
	// Index is the table in force, View the engines, Held whether a worker id is held.
	Index func() *upstream.Index
	View  func() *registry.View
	// IndexCurrent says that the table in force is known to be new enough, so that what it does not allow is not allowed.
	IndexCurrent func() bool
	HasWorkerID  func() bool
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
	Read, Unreadable, TooLarge, Completed, Streams, StreamsCompleted, StreamsBroken, Events, Resumed, CallersLeft, Withheld, Unsealed atomic.Uint64
}

// Gateway serves opaque requests.
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

// OpenRequests counts the requests that were read and are not yet answered whole.
func (g *Gateway) OpenRequests() int64 { return g.openRequests.Load() }

// Stop gives all that have no answer yet their final one, since the daemon may not wait much longer; answers
// that have begun go on for as long as it does wait.
func (g *Gateway) Stop() {
	g.actor.Do(func(c *forwarding.Core, w forwarding.Environment) { c.Stop(w) })
	g.monitor.each(func(f *exchange) {
		if !f.hasBegun.Load() {
			f.canceller.Cancel()
		}
	})
}

// MigrateEvacuated stops what is under way at engines that are emptied, where it can go on elsewhere.
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
			if c.Migrate(f.record, w) {
				f.canceller.Interrupt()
			}
		}
	})
}

const (
	// maxBuffered is how much of an answer is gathered before any of it goes on.
	maxBuffered = 256 << 10
	// writeGracePeriod is how long past its deadline an answer may take to be read by its caller.
	writeGracePeriod = 20 * time.Second
	// defaultDeadline bounds requests of which nothing says how long they may take.
	defaultDeadline = time.Hour
)

// Handle serves one request.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	g.Counters.Read.Add(1)
	ctx.Response.Header.SetNoDefaultContentType(true)
	arrived := g.Clock.Elapsed()
	ask, err := g.Dialect.ReadAsk(&ctx.Request.Header)
	if err != nil {
		g.Counters.Unreadable.Add(1)
		g.writeText(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	host, prefixed := string(ctx.Request.Header.Host()), PathOf(ctx.Request.Header.RequestURI())
	record := forwarding.Request{Attributes: ask, Host: host, URLPath: prefixed, ArrivedAt: arrived, Deadline: arrived + clock.Mark(defaultDeadline)}
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
			record.Path = path
			limit := time.Duration(path.DeadlineMs) * time.Millisecond
			if ask.Deadline > 0 {
				limit = min(limit, ask.Deadline)
			}
			record.Deadline = arrived + clock.Mark(limit)
		}
	}
	f := &exchange{Gateway: g, ctx: ctx, record: forwarding.NewRequest(record), caller: newCallerConn(ctx.Conn()), body: ctx.Request.Body()}
	ctx.Request.Header.CopyTo(&f.header)
	connectionpool.RemoveHopByHop(&f.header)
	g.openRequests.Add(1)
	g.monitor.add(f)
	if !g.actor.Admit(f.record) {
		f.sendAnswer(forwarding.Answer{Status: fasthttp.StatusServiceUnavailable, Cause: forwarding.CauseShuttingDown, RetryAfter: time.Second})
		f.finish()
		return
	}
	// An answer goes out as soon as it is there, also where another request waits behind it.
	_ = ctx.SetWriteDeadline(time.Now().Add(record.Deadline.Since(arrived) + writeGracePeriod))
	if stream := f.serve(); stream != nil {
		ctx.SetBodyStream(stream, stream.length)
		return
	}
	f.finish()
}
