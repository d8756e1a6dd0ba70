package daemon

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/connection/gateway"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// forwardSide is what a daemon that forwards opaque requests has beside the rest.
type forwardSide struct {
	dialect  dialect.Dialect
	settings forwarding.Settings
	patience forwarding.ClientTimeout
	// view gives the registered engines.
	view func() *registry.View

	actor   *forwarding.Actor
	pools   *connectionpool.Pools
	gateway *gateway.Gateway
	// edges is how many daemons route, as last counted, edgesAt when that was.
	edges, edgesAt atomic.Int64
}

// WithForwarding has the daemon serve the paths of opaque requests that a bundle names.
func WithForwarding(d dialect.Dialect) Option {
	return func(daemon *Daemon) { daemon.forwardSide.dialect = d }
}

// forwardSettings takes what forwarding is held to from the daemon's own settings.
func forwardSettings(c daemonconfig.Config) forwarding.Settings {
	s := forwarding.DefaultSettings()
	s.RetryRatio, s.RetrySlack, s.RetryWindow = c.Bounds.RetryRatio, c.Bounds.RetrySlack, time.Duration(c.Bounds.RetryWindowMs)*time.Millisecond
	s.Disabled = c.Experiments.Off()
	return s
}

// WithPatience says for how long the deployment's clients wait for a stream in silence.
func WithPatience(patience forwarding.ClientTimeout) Option {
	return func(d *Daemon) { d.forwardSide.patience = patience }
}

// WithEngineView replaces where the registered engines are looked up.
func WithEngineView(view func() *registry.View) Option {
	return func(d *Daemon) { d.forwardSide.view = view }
}

// forwards says whether opaque requests are served here.
func (d *Daemon) forwards() bool {
	return d.forwardSide.dialect != nil && d.config.Serves(daemonconfig.Route)
}

// startForwarding puts the request path together.
func (d *Daemon) startForwarding(ctx context.Context) {
	side := &d.forwardSide
	side.settings = forwardSettings(d.config)
	side.settings.ClientTimeout = side.patience
	if d.config.Log == log.DebugLevel.String() {
		side.settings.ObserveLoss = d.logLoss
	}
	if side.view == nil {
		side.view = d.registry.View
	}
	side.pools = connectionpool.New(d.clock, side.dialect)
	side.actor = forwarding.NewActor(side.settings, d.forwardWorld)
	side.gateway = gateway.New(gateway.Surroundings{
		Clock: d.clock, Dialect: side.dialect, Index: d.forwardIndex, View: side.view, Current: d.tableIsCurrent, Held: d.generator.Held, EngineOpen: d.engineOpen,
		Draining: d.draining.Load, Settings: side.settings, Recorder: d.nodes.recorder,
	}, side.actor, side.pools)
	go side.actor.Run(ctx)
	go d.runSweeps(ctx)
}

// logLoss writes a line for a request that was not served, or late.
func (d *Daemon) logLoss(loss forwarding.Loss) {
	d.log.WithFields(log.Fields{"path": loss.Path, "model": loss.Model, "reason": loss.Reason.String(), "lack": loss.BlockedBy, "returned": loss.Resubmitted,
		"waitedMs": loss.Waited.Milliseconds(), "heldMs": loss.Queued.Milliseconds(), "attempts": loss.Attempts}).Debug("request lost or late")
}

// sweepEvery is how often connections that engines have let go of are closed here too.
const sweepEvery = 5 * time.Second

func (d *Daemon) runSweeps(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		view := d.forwardSide.view()
		d.forwardSide.pools.Sweep(func(id ident.EngineID) bool {
			engine, known := view.Engines[id]
			return known && !engine.Gone
		})
		d.forwardSide.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) { core.Forget(view) })
	}
}

// answerMargin is how long before a stopping daemon lets go all that it still has must have its answer.
const answerMargin = 700 * time.Millisecond

// stopForwarding has all opaque requests answered in time before the limit; what it gives back calls that off.
func (d *Daemon) stopForwarding(limit context.Context) func() {
	if d.forwardSide.gateway == nil {
		return func() {}
	}
	until, bounded := limit.Deadline()
	if !bounded {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(until)-answerMargin, d.forwardSide.gateway.Stop)
	return func() { timer.Stop() }
}

// callerLimits lets a request be as large as the bundle in force allows on paths of opaque requests.
func (d *Daemon) callerLimits(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	index := d.forwardIndex()
	if !d.forwards() || index == nil {
		return bodyLimit(header)
	}
	if !d.config.OpaqueOnly {
		if _, found := index.Lookup(string(header.Host()), gateway.PathOf(header.RequestURI())); !found {
			return bodyLimit(header)
		}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: int(index.Section.Limits.MostBodyBytes)}
}

// countForwarding lists the counters of opaque requests.
func (d *Daemon) countForwarding(say func(name string, value uint64)) {
	side := &d.forwardSide
	if side.gateway == nil {
		return
	}
	var c forwarding.Counters
	held := 0
	side.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) { c, held = core.Counters, core.QueueLength() })
	say("opaque_read", side.gateway.Counters.Read.Load())
	say("opaque_unreadable", side.gateway.Counters.Unreadable.Load())
	say("opaque_too_large", side.gateway.Counters.TooLarge.Load())
	say("opaque_open", uint64(max(0, side.gateway.Open())))
	say("opaque_no_path", c.NoPath)
	say("opaque_held", c.Queued)
	say("opaque_held_now", uint64(held))
	for place, count := range c.QueuedBy {
		say("opaque_held_for_"+forwarding.BlockReasonNames[place], count)
	}
	for place, count := range c.EndedBy {
		say("opaque_ended_"+strings.ReplaceAll(forwarding.CauseNames[place], "-", "_"), count)
	}
	say("opaque_shed", c.Shed)
	say("opaque_refused", c.Rejected)
	say("opaque_lost", c.EndedAfterLoss)
	say("opaque_broken_off", c.Truncated)
	say("opaque_whole", c.Completed)
	say("opaque_engine_failures", c.EngineErrors)
	say("opaque_callers_left", c.CallersLeft)
	say("opaque_streams", side.gateway.Counters.Streams.Load())
	say("opaque_streams_resumed", c.Resumed)
	say("attempts_moved_off", c.Migrated)
	say("attempts_stayed_at_emptied", c.MigrationsDeclined)
	say("opaque_events", side.gateway.Counters.Events.Load())
	say("opaque_unsealed", side.gateway.Counters.Unsealed.Load())
	say("attempts_first", c.Sent)
	say("attempts_again", c.Retried)
	say("attempts_again_denied", c.RetriesDenied)
	say("attempts_speculative", c.Speculative)
	say("attempts_speculative_refused", c.SpeculativeRejected)
	say("attempts_held_back", c.Withheld)
	say("attempts_never_sent", c.Unreachable)
	say("attempts_refused_by_engine", c.RejectedByEngine)
	say("attempts_misdirected", c.Misdirected)
	say("attempts_lost", c.ResponsesLost)
	say("attempts_junk", c.ProtocolErrors)
	say("attempts_cut", c.StreamsBroken)
	say("choices_of_last_resort", c.LastResort)
	p := &side.pools.Counters
	busy, idle := side.pools.Open()
	say("engine_connections_busy", uint64(max(0, busy)))
	say("engine_connections_idle", uint64(idle))
	say("engine_connections_dialled", p.Dialled.Load())
	say("engine_connections_failed", p.DialsFailed.Load())
	say("engine_connections_reused", p.Reused.Load())
	say("engine_connections_found_stale", p.FoundStale.Load())
	say("engine_connections_dropped_idle", p.DroppedIdle.Load())
	say("engine_answers_surplus", p.Surplus.Load())
	say("engine_answers_foreign", p.Foreign.Load())
	say("engine_answers_junk", p.Junk.Load())
	say("engine_bytes_sent", p.BytesSent.Load())
	say("engine_bytes_received", p.BytesReceived.Load())
}

// engineOpen says whether operators let new requests go to a registered engine.
func (d *Daemon) engineOpen(engine *registry.Engine) bool {
	t := d.keeper.Table()
	return t == nil || t.OpenRegistered(engine.ID, engine.Zone)
}

// engineEmptied says whether the ranking shut a registered engine.
func (d *Daemon) engineEmptied(engine *registry.Engine) bool {
	t := d.keeper.Table()
	return t != nil && t.Closures.Engines[engine.ID].Ranking != nil
}

// moveOff has what is under way at engines that the ranking shut go on elsewhere.
func (d *Daemon) moveOff() {
	t := d.keeper.Table()
	if t == nil || d.forwardSide.gateway == nil {
		return
	}
	for _, mark := range t.Closures.Engines {
		if mark.Ranking != nil {
			go d.forwardSide.gateway.MoveOff()
			return
		}
	}
}

// forwardIndex is the bundle's section in force; nil is none.
func (d *Daemon) forwardIndex() *upstream.Index {
	if t := d.keeper.Table(); t != nil {
		return t.Forward
	}
	return nil
}

// tableIsCurrent says whether what is in force here is known to be new enough.
func (d *Daemon) tableIsCurrent() bool {
	current, _ := d.members.Ready()
	return current
}

// forwardWorld is what forwarding may look at now.
func (d *Daemon) forwardWorld() forwarding.Environment {
	now := d.clock.Elapsed()
	return forwarding.Environment{
		Now: now, Index: d.forwardIndex(), IndexCurrent: d.tableIsCurrent(), View: d.forwardSide.view(), Zone: d.config.Zone,
		HasIdleConnection: func(engine *registry.Engine, pool string, careful bool) bool {
			return d.forwardSide.pools.Warm(engine.ID, engine.Address, pool, careful)
		},
		Routers: d.edges(now), NotLoadedFor: d.PoolLack, EngineOpen: d.engineOpen, EngineEvacuated: d.engineEmptied, HasWorkerID: d.generator.Held(),
		MintID: func() (ident.MintedID, bool) {
			id, verdict := d.generator.Mint()
			return id, verdict == snowflake.Minted
		},
	}
}

const (
	// edgesCounted is how long a count of the daemons that route is used.
	edgesCounted = time.Second
	// edgesHeard is how lately one must have been heard of to count; one that is only cut off still sends.
	edgesHeard = time.Minute
)

// edges counts the daemons that route; another life of the same daemon is no other.
func (d *Daemon) edges(now clock.Mark) int {
	side := &d.forwardSide
	if counted := side.edges.Load(); counted > 0 && now.Since(clock.Mark(side.edgesAt.Load())) < edgesCounted {
		return int(counted)
	}
	names := map[string]bool{d.nodeID.Name(): true}
	for _, fellow := range d.members.View().Fellows {
		if now.Since(fellow.Heard) <= edgesHeard && fellow.Serves(string(daemonconfig.Route)) {
			names[fellow.NodeID.Name()] = true
		}
	}
	side.edges.Store(int64(len(names)))
	side.edgesAt.Store(int64(now))
	return len(names)
}

// isForwarded says whether a request is for the gateway: all that the product itself does not serve, and
// what the bundle in force names outright.
func (d *Daemon) isForwarded(ctx *fasthttp.RequestCtx, path string) bool {
	if !d.forwards() {
		return false
	}
	if d.config.OpaqueOnly || !strings.HasPrefix(path, "/v1/") && !slices.Contains(readyPages, path) {
		return true
	}
	index := d.forwardIndex()
	if index == nil {
		return false
	}
	_, found := index.Lookup(string(ctx.Request.Header.Host()), path)
	return found
}

// forwardOutcomes gives what became of attempts at engines since it was last asked for.
func (d *Daemon) forwardOutcomes() []outlier.Digest {
	if d.forwardSide.actor == nil {
		return nil
	}
	return d.forwardSide.actor.Outcomes()
}

// forwardDemands lists what opaque requests ask for here, for whoever plans.
func (d *Daemon) forwardDemands() []*peerapi.Demand {
	if d.forwardSide.actor == nil {
		return nil
	}
	demands := d.forwardSide.actor.Demands()
	out := make([]*peerapi.Demand, 0, len(demands))
	for _, one := range demands {
		out = append(out, &peerapi.Demand{Pool: one.Pool, Model: one.Model, Adapter: one.Adapter, Held: int64(one.Queued), Running: int64(one.Running),
			Tokens: one.TokensPerSecond, Arrivals: one.ArrivalsPerSecond, OldestMs: one.OldestQueuedFor.Milliseconds(), Rank: int64(one.Rank)})
	}
	return out
}
