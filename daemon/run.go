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
	"github.com/cresspond/cresspond/daemon/listener"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/cluster/peerclient"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/admission"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/sessionplacement"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// The settings' keys of the listeners, as errors and log lines name them.
const (
	peerListenKey      = "fellowListen"
	callerListenKey    = "listen"
	operatorListenKey  = "operatorListen"
	readinessListenKey = "readyListen"
)

// peerHeaderLimit is how long a peer may take to send the header of a request.
const peerHeaderLimit = 5 * time.Second

// Run runs the daemon until stop is closed and drains it then; closing hurry ends the draining at once. It returns an
// error where the daemon could not start or had to end by itself. The steps below rest on each other:
//
//  1. The data folder and the addresses are taken first. What can't be had is an operator's mistake, or another
//     process that still runs, and must show before this daemon has told anybody of itself.
//  2. The actors are built before any of them runs, since they call each other through the Daemon's fields, which
//     are not written again after that.
//  3. The actors run before the servers, so that no request meets an actor that doesn't answer.
//  4. The member of the control group comes last: from then on others rely on this daemon.
//
// Deferred calls undo the steps in reverse, after the drain.
func (d *Daemon) Run(stop, hurry <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dataFolder, err := d.openStore()
	if err != nil {
		return err
	}
	listeners, err := d.openListeners(stop)
	if err != nil {
		return err
	}
	defer listeners.close()
	streams, cancelStreams := context.WithCancel(context.Background())
	defer cancelStreams()
	d.buildActors(ctx, streams)
	if d.forwards() {
		d.startForwarding(ctx)
	}
	d.startActors(ctx)
	peerServer := d.startPeerServer(ctx, listeners.peers)
	defer peerServer.Close()
	drainedServers := d.startHTTPServers(ctx, listeners)
	if err := d.startMetrics(ctx); err != nil {
		return err
	}
	if d.config.Serves(daemonconfig.Control) {
		stopMember := d.startMember(ctx, cancel, dataFolder)
		defer stopMember()
	}
	d.log.WithFields(log.Fields{
		"listen":     listeners.callers.Addr().String(),
		"peerListen": listeners.peers.Addr().String(),
		"roles":      d.roleNames(),
		"zone":       string(d.config.Zone),
		"version":    d.version,
	}).Info("daemon started")

	select {
	case <-stop:
	case err := <-d.fatal:
		d.log.WithError(err).Error("daemon ends by a fault")
		return err
	}
	d.drain(drainedServers, hurry)
	return nil
}

// daemonListeners are the listeners of one daemon; operators and readiness are nil where they have no address.
type daemonListeners struct {
	peers, callers, operators, readiness net.Listener
}

// close closes the listeners, the last one opened first.
func (l *daemonListeners) close() {
	for _, opened := range []net.Listener{l.readiness, l.operators, l.callers, l.peers} {
		if opened != nil {
			opened.Close()
		}
	}
}

// openListeners takes all addresses, or none.
func (d *Daemon) openListeners(stop <-chan struct{}) (*daemonListeners, error) {
	opened := &daemonListeners{}
	for _, each := range []struct {
		setting, address string
		optional         bool
		into             *net.Listener
		wrap             func(net.Listener) net.Listener
	}{
		{setting: peerListenKey, address: d.config.PeerListen, into: &opened.peers},
		{setting: callerListenKey, address: d.config.Listen, into: &opened.callers, wrap: d.wrapCallerListener},
		{setting: operatorListenKey, address: d.config.OperatorListen, optional: true, into: &opened.operators},
		{setting: readinessListenKey, address: d.config.ReadyListen, optional: true, into: &opened.readiness},
	} {
		if each.optional && each.address == "" {
			continue
		}
		listening, err := d.listeners.Open(stop, each.setting, each.address)
		if err != nil {
			opened.close()
			return nil, err
		}
		if each.wrap != nil {
			listening = each.wrap(listening)
		}
		*each.into = listening
	}
	return opened, nil
}

// wrapCallerListener has callers wait until they can be served, and lets their connections idle for as long as the
// configuration allows, where requests are forwarded.
func (d *Daemon) wrapCallerListener(callers net.Listener) net.Listener {
	if !d.forwards() {
		return callers
	}
	if d.config.OpaqueOnly {
		callers = &listener.GatedListener{Listener: callers, Gate: d.callerGate}
		time.AfterFunc(callerGateLimit, d.callerGate.Open)
	}
	return &listener.KeepAliveListener{
		Listener:  callers,
		ReadLimit: callerReadLimit,
		IdleLimit: keepAliveLimit,
		KeepAlive: d.callerKeepAlive,
	}
}

// buildActors makes all actors; none runs yet. Connections to peers end with ctx, streams to callers with streams.
func (d *Daemon) buildActors(ctx, streams context.Context) {
	d.links = peerclient.New(ctx, d.config.AdvertisedPeerAddress(), d.config.PeerListen)
	d.rollout = rollout.New(d.clock.Wall, d.configurationChanged, rollout.WithUpgrade(d.sectionUpgrade))
	d.watcher = discovery.New(d.clock, d.config.Platform, d.wakeRequestPath)
	d.members = membership.New(d.clock, d, d.seeds, d.config.AdvertisedPeerAddress(), d.pace())
	d.registry = registry.New(d.clock, string(d.nodeID), d.config.Serves(daemonconfig.Control), d.heartbeatPeriod, d.controlContact)
	d.registry.Subscribe(d.wakeRequestPath)
	d.registry.Subscribe(d.registryChanged)
	d.dispatch = dispatch.NewActor(requestPath{d})
	d.engineSlots = admission.NewController(d.slotView)
	d.sessionPlacer = sessionplacement.NewActor(sessionPlanner{d}, d.clock, d.log)
	d.poolPlanning.build(d)
	d.nodeRanking = newNodeRanking(d)
	d.attempts = deduplication.NewActor(d.clock)
	d.sessionAPI = sessionapi.New(streams, d.clock, d.rollout.Table, d.dispatch)
	d.adminAPI = adminapi.New(d)
	for _, make := range d.controlMakers {
		d.controlHandlers = append(d.controlHandlers, make(d))
	}
	for _, make := range d.readinessMakers {
		d.readinessHandlers = append(d.readinessHandlers, make(d))
	}
}

// startActors starts the actors that this daemon's roles need, each on a goroutine of its own that ends with ctx.
func (d *Daemon) startActors(ctx context.Context) {
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
		d.nodeRanking.Start(run)
	}
}

// startPeerServer serves the other daemons until the server that it returns is closed. It is not drained: peers are
// answered until the daemon ends.
func (d *Daemon) startPeerServer(ctx context.Context, peers net.Listener) *http.Server {
	peerServer := &http.Server{
		Handler:           d.links.Traffic.Serve(peerapi.NewFellowServer(d)),
		ReadHeaderTimeout: peerHeaderLimit,
	}
	serve := listener.ServerFunc(func(opened net.Listener) error { return peerServer.Serve(d.links.Traffic.Listen(opened)) })
	go d.serveOn(ctx, serve, peers, peerListenKey, d.config.PeerListen)
	return peerServer
}

// startHTTPServers serves callers, operators and the readiness page, and returns the servers that are to be drained.
func (d *Daemon) startHTTPServers(ctx context.Context, listeners *daemonListeners) []*fasthttp.Server {
	callerServer := d.server(d.handle, d.callerLimits)
	callerServer.ErrorHandler = d.badCallerRequest
	drained := []*fasthttp.Server{callerServer}
	go d.serveOn(ctx, callerServer, listeners.callers, callerListenKey, d.config.Listen)
	if listeners.operators != nil {
		operatorServer := d.server(d.handleOperator, bodyLimit)
		drained = append(drained, operatorServer)
		go d.serveOn(ctx, operatorServer, listeners.operators, operatorListenKey, d.config.OperatorListen)
	}
	if listeners.readiness != nil {
		// The platform must be told to the very end that this daemon isn't ready, so this server is not drained.
		readinessServer := d.server(d.handleReady, bodyLimit)
		go d.serveOn(ctx, readinessServer, listeners.readiness, readinessListenKey, d.config.ReadyListen)
	}
	return drained
}

// startMember runs this daemon's member of the control group. What it returns ends the member, by way of cancel, and
// waits for it, but not for a disk that hangs: what was not synced was not acknowledged either.
func (d *Daemon) startMember(ctx context.Context, cancel context.CancelFunc, dataFolder *store.Store) (stopMember func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.runMember(ctx, dataFolder)
	}()
	return func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(memberStopLimit):
		}
	}
}

// abort ends the daemon with an error. Only the first errors count; later ones are dropped.
func (d *Daemon) abort(cause error) {
	select {
	case d.fatal <- cause:
	default:
	}
}
