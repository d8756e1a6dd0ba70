package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
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

// forwardingPath is what only a daemon that forwards requests to registered engines has.
type forwardingPath struct {
	dialect  dialect.Dialect
	settings forwarding.Settings
	patience forwarding.ClientTimeout
	// view returns the registered engines.
	view func() *registry.View

	actor   *forwarding.Actor
	pools   *connectionpool.Pools
	gateway *gateway.Gateway
	// routingDaemons is how many daemons route, as counted at routingDaemonsAt.
	routingDaemons, routingDaemonsAt atomic.Int64
}

// WithForwarding has the daemon forward the requests on the paths that a configuration names.
func WithForwarding(d dialect.Dialect) Option {
	return func(daemon *Daemon) { daemon.forwarding.dialect = d }
}

// forwardSettings returns the settings of forwarding that are from the daemon's own.
func forwardSettings(config daemonconfig.Config) forwarding.Settings {
	settings := forwarding.DefaultSettings()
	settings.RetryRatio = config.Bounds.RetryRatio
	settings.RetrySlack = config.Bounds.RetrySlack
	settings.RetryWindow = time.Duration(config.Bounds.RetryWindowMs) * time.Millisecond
	settings.Disabled = config.Experiments.DisabledMechanisms()
	return settings
}

// WithPatience says how long the deployment's clients wait for the next chunk of a stream.
func WithPatience(patience forwarding.ClientTimeout) Option {
	return func(d *Daemon) { d.forwarding.patience = patience }
}

// forwards says whether requests are forwarded here.
func (d *Daemon) forwards() bool {
	return d.forwarding.dialect != nil && d.config.Serves(daemonconfig.Route)
}

// startForwarding builds and starts the path of forwarded requests. Its goroutines end with ctx.
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
	d.quotaLimiter = d.newQuotaLimiter()
	side.gateway = gateway.New(gateway.Dependencies{
		Clock:        d.clock,
		Dialect:      side.dialect,
		Index:        d.forwardIndex,
		View:         side.view,
		IndexCurrent: d.tableIsCurrent,
		HasWorkerID:  d.generator.HasLease,
		EngineOpen:   d.engineOpen,
		TakeQuota:    d.takeQuota,
		ReturnQuota:  d.quotaLimiter.Return,
		Draining:     d.draining.Load,
		Settings:     side.settings,
		Recorder:     d.nodeRanking.Recorder(),
	}, side.actor, side.pools)
	go side.actor.Run(ctx)
	go d.quotaLimiter.Run(ctx)
	go d.runSweeps(ctx)
}

// logLoss logs a request that was not served, or too late.
func (d *Daemon) logLoss(loss forwarding.Loss) {
	d.log.WithFields(log.Fields{
		"path":      loss.Path,
		"model":     loss.Model,
		"reason":    loss.Reason.String(),
		"blockedBy": loss.BlockedBy,
		"returned":  loss.Resubmitted,
		"waitedMs":  loss.Waited.Milliseconds(),
		"queuedMs":  loss.Queued.Milliseconds(),
		"attempts":  loss.Attempts,
	}).Debug("request lost or late")
}

// sweepEvery is how often connections are closed that engines have closed on their side.
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

// answerMargin is how long before the end of the drain time all requests that are left are answered.
const answerMargin = 700 * time.Millisecond

// stopForwarding has all forwarded requests answered in time before the limit. It returns a function that calls that
// off.
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

// forwardIndex returns the forwarding section of the configuration in force; nil is none.
func (d *Daemon) forwardIndex() *upstream.Index {
	if table := d.rollout.Table(); table != nil {
		return table.Forward
	}
	return nil
}

// keysOutdated says whether keys may have been withdrawn that the table in force still holds, and the deployment wants
// none accepted then.
func (d *Daemon) keysOutdated(now clock.Mark) bool {
	bounds := d.Bounds()
	if !bounds.RevocationClosed {
		return false
	}
	confirmed := d.confirmed()
	return confirmed == 0 || now.Since(confirmed) > time.Duration(bounds.RevokeMs)*time.Millisecond
}

// forwardWorld returns what forwarding decides by.
func (d *Daemon) forwardWorld() forwarding.Environment {
	now := d.clock.Elapsed()
	// Whether the table is current is read first: the table read after it can only be newer than the one judged.
	indexCurrent := d.tableIsCurrent()
	return forwarding.Environment{
		Now:          now,
		Index:        d.forwardIndex(),
		IndexCurrent: indexCurrent,
		KeysOutdated: d.keysOutdated(now),
		View:         d.forwarding.view(),
		Zone:         d.config.Zone,
		HasIdleConnection: func(engine *registry.Engine, pool string, careful bool) bool {
			return d.forwarding.pools.HasIdle(engine.ID, engine.Address, pool, careful)
		},
		Routers:         d.routingDaemonCount(now),
		NotLoadedFor:    d.PoolShortage,
		EngineOpen:      d.engineOpen,
		EngineEvacuated: d.engineDrainedByRanking,
		HasWorkerID:     d.generator.HasLease(),
		MintID: func() (ident.SnowflakeID, bool) {
			id, outcome := d.generator.Next()
			return id, outcome == snowflake.Generated
		},
	}
}
