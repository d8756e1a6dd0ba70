package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/connection/adminapi"
	"github.com/cresspond/cresspond/connection/sessionapi"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/cluster/peerclient"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/admission"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/sessionplacement"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Run runs the daemon until stop says so, then drains it; hurry ends the draining at once.
func (d *Daemon) Run(stop, hurry <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opened, err := d.openStore()
	if err != nil {
		return err
	}
	fellowListener, err := d.listen(stop, "fellowListen", d.config.FellowListen)
	if err != nil {
		return err
	}
	defer fellowListener.Close()
	callerListener, err := d.listen(stop, "listen", d.config.Listen)
	if err != nil {
		return err
	}
	if d.forwards() && d.config.OpaqueOnly {
		callerListener = &gatedListener{Listener: callerListener, gate: d.callers}
		time.AfterFunc(acceptLimit, d.callers.open)
	}
	if d.forwards() {
		callerListener = &restingListener{Listener: callerListener, read: callerReadLimit, usual: restLimit, rest: d.callerRest}
	}
	defer callerListener.Close()
	var operatorListener, readyListener net.Listener
	if d.config.OperatorListen != "" {
		if operatorListener, err = d.listen(stop, "operatorListen", d.config.OperatorListen); err != nil {
			return err
		}
		defer operatorListener.Close()
	}
	if d.config.ReadyListen != "" {
		if readyListener, err = d.listen(stop, "readyListen", d.config.ReadyListen); err != nil {
			return err
		}
		defer readyListener.Close()
	}

	d.links = peerclient.New(ctx, d.config.ReachedAt(), d.config.FellowListen)
	d.keeper = rollout.New(d.clock.Wall, d.swapped)
	d.watcher = discovery.New(d.clock, d.config.Platform, d.poke)
	d.members = membership.New(d.clock, d, d.seeds, d.config.ReachedAt(), d.pace())
	d.registry = registry.New(d.clock, string(d.nodeID), d.config.Serves(daemonconfig.Control), d.beatPeriod, d.contact)
	d.registry.Subscribe(d.poke)
	d.registry.Subscribe(d.registryNews)
	d.dispatch = dispatch.NewActor(routing{d})
	d.slots = admission.NewKeeper(d.yard)
	d.placer = sessionplacement.NewActor(planning{d}, d.clock)
	d.pools.make(d)
	d.nodes = newNodeRanking(d)
	d.attempts = deduplication.NewActor(d.clock)
	streams, cutStreams := context.WithCancel(context.Background())
	defer cutStreams()
	d.door = sessionapi.New(streams, d.clock, d.keeper.Table, d.dispatch)
	d.desk = adminapi.New(d)
	for _, make := range d.controlMakers {
		d.control = append(d.control, make(d))
	}
	for _, make := range d.readyMakers {
		d.ready = append(d.ready, make(d))
	}
	if d.forwards() {
		d.startForwarding(ctx)
	}

	run := func(actor func(context.Context)) { go actor(ctx) }
	run(d.keeper.Run)
	run(d.members.Run)
	run(d.registry.Run)
	run(d.attempts.Run)
	if d.config.Attempts != daemonconfig.LocalAttempts {
		run(d.runRehoming)
	}
	run(d.runHistory)
	run(d.runTenancy)
	if d.config.Serves(daemonconfig.Route) {
		run(d.dispatch.Run)
		run(d.slots.Run)
	}
	if d.config.Serves(daemonconfig.Route) || d.config.Serves(daemonconfig.Place) {
		run(d.watcher.Run)
	}
	if d.config.Serves(daemonconfig.Place) {
		run(d.placer.Run)
		d.pools.run(run)
		d.nodes.run(run)
	}

	fellowServer := &http.Server{Handler: d.links.Traffic.Serve(peerapi.NewFellowServer(d)), ReadHeaderTimeout: 5 * time.Second}
	serveFellows := serveFunc(func(listener net.Listener) error { return fellowServer.Serve(d.links.Traffic.Listen(listener)) })
	go d.serveOn(ctx, serveFellows, fellowListener, "fellowListen", d.config.FellowListen)
	defer fellowServer.Close()
	callerServer := d.server(d.handle, d.callerLimits)
	callerServer.ErrorHandler = d.badCall
	servers := []*fasthttp.Server{callerServer}
	go d.serveOn(ctx, callerServer, callerListener, "listen", d.config.Listen)
	if operatorListener != nil {
		operatorServer := d.server(d.handleOperator, bodyLimit)
		servers = append(servers, operatorServer)
		go d.serveOn(ctx, operatorServer, operatorListener, "operatorListen", d.config.OperatorListen)
	}
	if readyListener != nil {
		// It goes on answering to the very end, so it is none of those that are drained.
		readyServer := d.server(d.handleReady, bodyLimit)
		go d.serveOn(ctx, readyServer, readyListener, "readyListen", d.config.ReadyListen)
	}

	if err := d.startMetrics(ctx); err != nil {
		return err
	}
	if d.config.Serves(daemonconfig.Control) {
		left := make(chan struct{})
		go func() {
			defer close(left)
			d.runMember(ctx, opened)
		}()
		defer func() {
			cancel()
			// A disk that hangs is not waited for: what it was not told to keep was not said either.
			select {
			case <-left:
			case <-time.After(letGoLimit):
			}
		}()
	}
	d.log.WithFields(log.Fields{"listen": callerListener.Addr().String(), "fellows": fellowListener.Addr().String(),
		"serve": d.serve(), "zone": string(d.config.Zone), "version": d.version}).Info("started")

	select {
	case <-stop:
	case err := <-d.broken:
		d.log.WithError(err).Error("stepping aside")
		return err
	}
	d.drain(servers, hurry)
	return nil
}

// stepAside ends the daemon, once.
func (d *Daemon) stepAside(why error) {
	select {
	case d.broken <- why:
	default:
	}
}
