package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/connection/gateway"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/request/forwarding"
	"github.com/cresspond/cresspond/wire/dialect"
)

// forwardingPath is what a daemon that forwards opaque requests has beside the rest.
type forwardingPath struct {
	dialect  dialect.Dialect
	settings forwarding.Settings
	patience forwarding.ClientTimeout
	// view gives the registered engines.
	view func() *registry.View

	actor   *forwarding.Actor
	pools   *connectionpool.Pools
	gateway *gateway.Gateway
	// routingDaemons is how many daemons route, as last counted, edgesAt when that was.
	routingDaemons, routingDaemonsAt atomic.Int64
}

// WithForwarding has the daemon serve the paths of opaque requests that a bundle names.
func WithForwarding(d dialect.Dialect) Option {
	return func(daemon *Daemon) { daemon.forwarding.dialect = d }
}

// forwardSettings takes what forwarding is held to from the daemon's own settings.
func forwardSettings(config daemonconfig.Config) forwarding.Settings {
	settings := forwarding.DefaultSettings()
	settings.RetryRatio, settings.RetrySlack, settings.RetryWindow = config.Bounds.RetryRatio, config.Bounds.RetrySlack, time.Duration(config.Bounds.RetryWindowMs)*time.Millisecond
	settings.Disabled = config.Experiments.DisabledMechanisms()
	return settings
}

// WithPatience says for how long the deployment's clients wait for a stream in silence.
func WithPatience(patience forwarding.ClientTimeout) Option {
	return func(d *Daemon) { d.forwarding.patience = patience }
}

// forwards says whether opaque requests are served here.
func (d *Daemon) forwards() bool {
	return d.forwarding.dialect != nil && d.config.Serves(daemonconfig.Route)
}

// startForwarding puts the request path together.
func (d *Daemon) startForwarding(ctx context.Context) {
	side := &d.forwarding
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
	side.gateway = gateway.New(gateway.Dependencies{
		Clock: d.clock, Dialect: side.dialect, Index: d.forwardIndex, View: side.view, IndexCurrent: d.tableIsCurrent, HasWorkerID: d.generator.HasLease, EngineOpen: d.engineOpen,
		Draining: d.draining.Load, Settings: side.settings, Recorder: d.nodeRanking.recorder,
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
		view := d.forwarding.view()
		d.forwarding.pools.Sweep(func(id ident.EngineID) bool {
			engine, known := view.Engines[id]
			return known && !engine.Deregistered
		})
		d.forwarding.actor.Do(func(core *forwarding.Core, _ forwarding.Environment) { core.Forget(view) })
	}
}

// answerMargin is how long before a stopping daemon lets go all that it still has must have its answer.
const answerMargin = 700 * time.Millisecond

// stopForwarding has all opaque requests answered in time before the limit; what it gives back calls that off.
func (d *Daemon) stopForwarding(limit context.Context) func() {
	if d.forwarding.gateway == nil {
		return func() {}
	}
	until, bounded := limit.Deadline()
	if !bounded {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(until)-answerMargin, d.forwarding.gateway.Stop)
	return func() { timer.Stop() }
}

// forwardIndex is the bundle's section in force; nil is none.
func (d *Daemon) forwardIndex() *upstream.Index {
	if table := d.rollout.Table(); table != nil {
		return table.Forward
	}
	return nil
}

// forwardWorld is what forwarding may look at now.
func (d *Daemon) forwardWorld() forwarding.Environment {
	now := d.clock.Elapsed()
	return forwarding.Environment{
		Now: now, Index: d.forwardIndex(), IndexCurrent: d.tableIsCurrent(), View: d.forwarding.view(), Zone: d.config.Zone,
		HasIdleConnection: func(engine *registry.Engine, pool string, careful bool) bool {
			return d.forwarding.pools.HasIdle(engine.ID, engine.Address, pool, careful)
		},
		Routers: d.routingDaemonCount(now), NotLoadedFor: d.PoolShortage, EngineOpen: d.engineOpen, EngineEvacuated: d.engineDrainedByRanking, HasWorkerID: d.generator.HasLease(),
		MintID: func() (ident.SnowflakeID, bool) {
			id, outcome := d.generator.Next()
			return id, outcome == snowflake.Generated
		},
	}
}
