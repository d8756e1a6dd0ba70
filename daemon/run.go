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
	peerListener, err := d.listen(stop, "fellowListen", d.config.PeerListen)
	if err != nil {
		return err
	}
	defer peerListener.Close()
	callerListener, err := d.listen(stop, "listen", d.config.Listen)
	if err != nil {
		return err
	}
	if d.forwards() && d.config.OpaqueOnly {
		callerListener = &gatedListener{Listener: callerListener, gate: d.callerGate}
		time.AfterFunc(callerGateLimit, d.callerGate.open)
	}
	if d.forwards() {
		callerListener = &keepAliveListener{Listener: callerListener, readLimit: callerReadLimit, idleLimit: keepAliveLimit, keepAlive: d.callerKeepAlive}
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

	d.links = peerclient.New(ctx, d.config.AdvertisedPeerAddress(), d.config.PeerListen)
	d.rollout = rollout.New(d.clock.Wall, d.configurationChanged)
	d.watcher = discovery.New(d.clock, d.config.Platform, d.wakeRequestPath)
	d.members = membership.New(d.clock, d, d.seeds, d.config.AdvertisedPeerAddress(), d.pace())
	d.registry = registry.New(d.clock, string(d.nodeID), d.config.Serves(daemonconfig.Control), d.heartbeatPeriod, d.controlContact)
	d.registry.Subscribe(d.wakeRequestPath)
	d.registry.Subscribe(d.registryChanged)
	d.dispatch = dispatch.NewActor(requestPath{d})
	d.engineSlots = admission.NewController(d.slotView)
	d.sessionPlacer = sessionplacement.NewActor(sessionPlanner{d}, d.clock)
	d.poolPlanning.build(d)
	d.nodeRanking = newNodeRanking(d)
	d.attempts = deduplication.NewActor(d.clock)
	streams, cutStreams := context.WithCancel(context.Background())
	defer cutStreams()
	d.sessionAPI = sessionapi.New(streams, d.clock, d.rollout.Table, d.dispatch)
	d.adminAPI = adminapi.New(d)
	for _, make := range d.controlMakers {
		d.controlHandlers = append(d.controlHandlers, make(d))
	}
	for _, make := range d.readinessMakers {
		d.readinessHandlers = append(d.readinessHandlers, make(d))
	}
	if d.forwards() {
		d.startForwarding(ctx)
	}

	run := func(actor func(context.Context)) { go actor(ctx) }
	run(d.rollout.Run)
	run(d.members.Run)
	run(d.registry.Run)
	run(d.attempts.Run)
	if d.config.AttemptScope != daemonconfig.LocalAttempts {
		run(d.runOwnershipTransfer)
	}
	run(d.runHistory)
	run(d.runWorkerLease)
	if d.config.Serves(daemonconfig.Route) {
		run(d.dispatch.Run)
		run(d.engineSlots.Run)
	}
	if d.config.Serves(daemonconfig.Route) || d.config.Serves(daemonconfig.Placement) {
		run(d.watcher.Run)
	}
	if d.config.Serves(daemonconfig.Placement) {
		run(d.sessionPlacer.Run)
		d.poolPlanning.start(run)
		d.nodeRanking.start(run)
	}

	peerServer := &http.Server{Handler: d.links.Traffic.Serve(peerapi.NewFellowServer(d)), ReadHeaderTimeout: 5 * time.Second}
	servePeers := serveFunc(func(listener net.Listener) error { return peerServer.Serve(d.links.Traffic.Listen(listener)) })
	go d.serveOn(ctx, servePeers, peerListener, "fellowListen", d.config.PeerListen)
	defer peerServer.Close()
	callerServer := d.server(d.handle, d.callerLimits)
	callerServer.ErrorHandler = d.badCallerRequest
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
			case <-time.After(memberStopLimit):
			}
		}()
	}
	d.log.WithFields(log.Fields{"listen": callerListener.Addr().String(), "fellows": peerListener.Addr().String(),
		"serve": d.roleNames(), "zone": string(d.config.Zone), "version": d.version}).Info("started")

	select {
	case <-stop:
	case err := <-d.fatal:
		d.log.WithError(err).Error("stepping aside")
		return err
	}
	d.drain(servers, hurry)
	return nil
}

// abort ends the daemon, once.
func (d *Daemon) abort(why error) {
	select {
	case d.fatal <- why:
	default:
	}
}
