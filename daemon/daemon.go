// Package daemon puts the actors of one cresspondd process together and runs them.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/connection/adminapi"
	"github.com/cresspond/cresspond/connection/sessionapi"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/cluster/peerclient"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/admission"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/demand"
	"github.com/cresspond/cresspond/process/placement/sessionplacement"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// tenureMargin is taken off the end of each tenure for clock-rate error.
const tenureMargin = time.Second

// Daemon is one process.
type Daemon struct {
	config daemonconfig.Config
	// current is config with what a later reading of the settings changed.
	current atomic.Pointer[daemonconfig.Config]
	version string
	nodeID  ident.NodeID
	clock   clock.Clock
	log     log.Interface

	links    *peerclient.Links
	keeper   *rollout.Keeper
	members  *membership.Membership
	registry *registry.Registry
	hearsay  hearsay
	// leavesNoted is how many leaves of the replicated state the registry was told of; only the replica's actor uses it.
	leavesNoted uint64
	watcher     *discovery.Watcher
	generator   *snowflake.Generator
	dispatch    *dispatch.Actor
	door        *sessionapi.Door
	desk        *adminapi.Desk
	placer      *sessionplacement.Actor
	home        *affinity.Table
	slots       *admission.Keeper
	attempts    *deduplication.Actor
	permitIDs   atomic.Uint64

	replicaConfig replica.Config
	memberLife    atomic.Pointer[membershipLife]
	replica       atomic.Pointer[replica.Replica]
	group         atomic.Pointer[ident.GroupID]
	adopted       chan ident.GroupID
	draining      atomic.Bool
	// memberEnds says that this daemon's member of the group ends before the daemon does, and no other life follows.
	memberEnds atomic.Bool
	// enlistedAt is when the group wrote this life down as one that may be serving; zero before.
	enlistedAt atomic.Int64
	broken     chan error
	// callers is shut until callers are accepted.
	callers *gate

	// pools plans for engines that register themselves, where the daemon was put together so.
	pools *poolPlanning

	// lacks is what the planner last said that it will not load soon.
	lacks atomic.Pointer[heardLacks]
	// poolLacks is the same of the pools.
	poolLacks atomic.Pointer[heardPoolLacks]

	// bell wakes those whose answers are held back. toldNews are the versions told from here, heardNews those
	// heard; beatNews, urgentTold, drainingNow, heldLacks and bundleSeen are what was last found new.
	bell                *bell
	toldNews, heardNews versions
	beatNews            beatNews
	urgentTold          atomic.Uint64
	drainingNow         atomic.Bool
	heldLacks           atomic.Pointer[heldLacks]
	bundleSeen          atomic.Pointer[bundleSeen]

	fleetMutex sync.Mutex
	fleetWants map[ident.NodeID]*demand.Receiver
	// fleetOutcomes is what others saw of engines, until the planner takes it.
	fleetOutcomes []outlier.Observation
	// wants tells whoever plans what is asked for here.
	wants demand.Sender

	// stallLimit is how long the next piece of a stream is waited for, runOver how long one may outlast its deadline.
	stallLimit, runOver time.Duration
	// applying bounds how many orders to apply a bundle are worked out at once.
	applying               chan struct{}
	applyLimit, applyReach time.Duration
	// aroundDisk stands between the member and its data folder.
	aroundDisk func(replica.Disk) replica.Disk

	// controlMakers and readyMakers make what stands before the desk, at the operators' and the readiness address.
	controlMakers, readyMakers []func(*Daemon) Handler
	control, ready             []Handler
	// unreadyTold says that the platform was told while this daemon stops that it takes nothing new.
	unreadyTold chan struct{}

	forwardSide forwardSide
	// nodes ranks engines by how their nodes behave.
	nodes *nodeRanking

	counters counters
}

// Handler serves some of the requests of a listener; it says false of one that it leaves to the next.
type Handler interface {
	Handle(ctx *fasthttp.RequestCtx) bool
}

type heardLacks struct {
	heard clock.Mark
	waits map[dispatch.Wanted]time.Duration
}

type counters struct {
	foreignGroup, garbage, acquired, renewed, tenureFailed          atomic.Uint64
	bytesOwnZone, bytesOtherZone, junkEngines, lastLookStops        atomic.Uint64
	permitsUnasked, attemptCalls, attemptDoubts, attemptsMoved      atomic.Uint64
	engineBeats, engineBeatsLate, leavesAcknowledged, leavesUnknown atomic.Uint64
	memberTroubles, listenerTroubles, notHandedOver, turnedStale    atomic.Uint64
	// ordersUnproven counts operators' calls whose fate the replicated state could not prove any more.
	ordersUnproven atomic.Uint64
	// group counts what this daemon's members of the control group noticed, over all their lives.
	group replica.Counters
}

// Option sets one thing of a daemon.
type Option func(*Daemon)

// WithStreamLimits replaces how long the next piece is waited for, and how long a stream may outlast its deadline.
func WithStreamLimits(stall, over time.Duration) Option {
	return func(d *Daemon) { d.stallLimit, d.runOver = stall, over }
}

// WithClock replaces the machine's clocks.
func WithClock(c clock.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithDisk puts something between the member and its data folder.
func WithDisk(around func(replica.Disk) replica.Disk) Option {
	return func(d *Daemon) { d.aroundDisk = around }
}

// WithControl puts a handler before the desk, for operators and engines.
func WithControl(make func(*Daemon) Handler) Option {
	return func(d *Daemon) { d.controlMakers = append(d.controlMakers, make) }
}

// WithReadiness puts a handler before the page that says whether this daemon is ready.
func WithReadiness(make func(*Daemon) Handler) Option {
	return func(d *Daemon) { d.readyMakers = append(d.readyMakers, make) }
}

// New makes a daemon from checked settings.
func New(c daemonconfig.Config, version string, logger log.Interface, options ...Option) *Daemon {
	var life [4]byte
	if _, err := rand.Read(life[:]); err != nil {
		panic("broken invariant: no randomness: " + err.Error())
	}
	d := &Daemon{
		config: c, version: version, clock: clock.System{},
		// Each life of a daemon is a holder of its own, so an earlier life's ids can't be minted again.
		nodeID:        ident.NodeID(c.Name + "#" + hex.EncodeToString(life[:])),
		replicaConfig: replica.DefaultConfig(), adopted: make(chan ident.GroupID, 1), broken: make(chan error, 4), unreadyTold: make(chan struct{}, 8),
		applying: make(chan struct{}, 1), applyLimit: applyLimit, applyReach: applyReach,
		fleetWants: map[ident.NodeID]*demand.Receiver{}, home: affinity.NewTable(), aroundDisk: func(disk replica.Disk) replica.Disk { return disk }, stallLimit: stallLimit, runOver: runOver,
	}
	d.replicaConfig.Voters, d.replicaConfig.Build = c.Voters, version
	if c.Compaction.Entries > 0 {
		d.replicaConfig.CompactEvery, d.replicaConfig.Keep = c.Compaction.Entries, c.Compaction.Keep
	}
	d.log = logger.WithField("node", string(d.nodeID))
	for _, option := range options {
		option(d)
	}
	none := ident.GroupID("")
	d.group.Store(&none)
	d.generator = snowflake.New(d.clock, tenureMargin)
	d.current.Store(&c)
	d.bell, d.callers = newBell(), newGate()
	d.toldNews.beginAnywhere()
	return d
}

// Config is the settings as last read. Only seeds and bounds change in a daemon's life.
func (d *Daemon) Config() daemonconfig.Config { return *d.current.Load() }

// Bounds are what the deployment holds its daemons to, as last read.
func (d *Daemon) Bounds() daemonconfig.Bounds { return d.current.Load().Bounds }

// Reload takes over what may change in a daemon's life from settings that were read again.
func (d *Daemon) Reload(c daemonconfig.Config) {
	next := d.Config()
	if slices.Equal(next.Seeds, c.Seeds) && next.Bounds == c.Bounds && next.DrainMs == c.DrainMs {
		return
	}
	next.Seeds, next.Bounds, next.DrainMs = c.Seeds, c.Bounds, c.DrainMs
	d.current.Store(&next)
	d.log.WithField("seeds", next.Seeds).Info("settings read again")
}

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

// NewMember makes the identity of a new data folder.
func NewMember() raft.MemberID {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("broken invariant: no randomness: " + err.Error())
	}
	return raft.MemberID(binary.BigEndian.Uint64(raw[:])>>1 | 1)
}

const (
	mostCallerBody = 4 << 20
	// mostHeader bounds a request's head; what bundles allow is less.
	mostHeader = 32 << 10
	// mostBundleBody leaves room for a bundle's largest size and what is said around it.
	mostBundleBody = document.MostBytes + 64<<10
)

// bodyLimit lets only what holds a bundle be as large as a bundle may be.
func bodyLimit(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	// Bundles are put in force in one step by PUT and PATCH, whatever a deployment calls the path.
	method := string(header.Method())
	if string(header.RequestURI()) == operatorapi.PathPropose || method == http.MethodPut || method == http.MethodPatch {
		return fasthttp.RequestConfig{MaxRequestBodySize: mostBundleBody}
	}
	return fasthttp.RequestConfig{}
}

// quiet drops the library's own lines: broken connections are counted, not told.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// badRequest answers what could not even be read as HTTP.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case err == fasthttp.ErrBodyTooLarge:
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	sessionapi.Fail(ctx, status, callerapi.Error{Outcome: callerapi.Invalid, Reason: "the request cannot be read: " + err.Error()})
	ctx.SetConnectionClose()
}

// badCall is badRequest where callers come in: how large a body is read there follows from the table in force, and
// that may be old.
func (d *Daemon) badCall(ctx *fasthttp.RequestCtx, err error) {
	if err == fasthttp.ErrBodyTooLarge && d.isForwarded(ctx, string(ctx.Path())) {
		d.forwardSide.gateway.Unread(ctx, fasthttp.StatusRequestEntityTooLarge)
		return
	}
	badRequest(ctx, err)
}

// mostConnections is how many connections a listener keeps open: what callers take must leave descriptors for
// engines, peers and files.
func mostConnections(descriptors int) int {
	const (
		most, least = 8192, 64
		forFiles    = 200
		share       = 60
	)
	if descriptors == 0 {
		return most
	}
	return max(least, min(most, (descriptors-forFiles)*share/100))
}

// server is one listener's server.
func (d *Daemon) server(handle fasthttp.RequestHandler, limits func(*fasthttp.RequestHeader) fasthttp.RequestConfig) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handle, Name: "cresspond", MaxRequestBodySize: mostCallerBody, HeaderReceived: limits, ReadTimeout: callerReadLimit, WriteTimeout: 5 * time.Minute,
		IdleTimeout: restLimit, NoDefaultServerHeader: true, Concurrency: mostConnections(d.config.Machine.MostFds), CloseOnShutdown: true, Logger: quiet{}, ReadBufferSize: mostHeader,
		// A form is some caller's body like any other, and goes on byte for byte.
		ErrorHandler: badRequest, DisablePreParseMultipartForm: true,
	}
}

// handle serves what comes to Listen.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	d.letGo(ctx)
	path := string(ctx.Path())
	switch {
	case d.isForwarded(ctx, path):
		d.forwardSide.gateway.Handle(ctx)
	case d.config.Serves(daemonconfig.Route) && d.config.OpaqueOnly:
		// Nothing else is served there, not even by a daemon put together without forwarding.
		sessionapi.Fail(ctx, fasthttp.StatusServiceUnavailable, callerapi.Error{Outcome: callerapi.Unknown, Reason: "no paths are in force here yet"})
	case path == callerapi.PathGenerate && d.config.Serves(daemonconfig.Route):
		d.door.Handle(ctx)
	default:
		d.operate(ctx)
	}
}

// letGo lets whoever is answered by a stopping daemon connect elsewhere next time.
func (d *Daemon) letGo(ctx *fasthttp.RequestCtx) {
	if d.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// handleOperator serves what comes to OperatorListen.
func (d *Daemon) handleOperator(ctx *fasthttp.RequestCtx) {
	d.letGo(ctx)
	d.operate(ctx)
}

// operate serves operators and engines.
func (d *Daemon) operate(ctx *fasthttp.RequestCtx) {
	for _, handler := range d.control {
		if handler.Handle(ctx) {
			return
		}
	}
	d.desk.Handle(ctx, string(ctx.Path()))
}

// readyPages are what ReadyListen serves: it is for looking only.
var readyPages = []string{operatorapi.PathReady, operatorapi.PathLive, operatorapi.PathCounters, operatorapi.PathStatus}

// handleReady serves what comes to ReadyListen.
func (d *Daemon) handleReady(ctx *fasthttp.RequestCtx) {
	for _, handler := range d.ready {
		if handler.Handle(ctx) {
			return
		}
	}
	path := string(ctx.Path())
	if !slices.Contains(readyPages, path) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	d.desk.Handle(ctx, path)
	if path == operatorapi.PathReady && ctx.Response.StatusCode() != fasthttp.StatusOK && d.draining.Load() {
		select {
		case d.unreadyTold <- struct{}{}:
		default:
		}
	}
}

func (d *Daemon) poke() {
	d.dispatch.Poke()
	if d.forwardSide.actor != nil {
		d.forwardSide.actor.Wake()
	}
}

func (d *Daemon) serve() []string {
	out := make([]string, 0, len(d.config.Serve))
	for _, role := range d.config.Serve {
		out = append(out, string(role))
	}
	return out
}

// Group is the group this daemon knows.
func (d *Daemon) Group() ident.GroupID { return *d.group.Load() }

// learnGroup takes up the group's name; it says false when another is known already.
func (d *Daemon) learnGroup(group ident.GroupID) bool {
	known := d.group.Load()
	if group == "" || *known == group {
		return true
	}
	if group.Succeeds(*known) {
		if !d.group.CompareAndSwap(known, &group) {
			return d.Group() == group
		}
		// What the lost generation granted counts no more, and the next may not know of this daemon.
		d.generator.Drop()
		d.enlistedAt.Store(0)
		d.log.WithField("group", string(group)).Warn("the group was recovered; following its next generation")
		if life := d.memberLife.Load(); life != nil && remembers(life.store) {
			life.end(superseded{eris.Errorf("this data folder belongs to group %s, which was recovered as %s; move the folder away, and the machine joins as a new member", *known, group)})
		}
		return true
	}
	if *known != "" {
		d.counters.foreignGroup.Add(1)
		return false
	}
	return d.group.CompareAndSwap(known, &group) || d.Group() == group
}

// stateChanged is called by the replica when the spec in force or the closures are others.
func (d *Daemon) stateChanged(state *statemachine.State) {
	d.noteLeft(state)
	closures := state.Closures.Clone()
	epoch, inForce := state.Epoch(), statemachine.Proposal{}
	if found, ok := state.InForce(); ok {
		inForce = *found
	}
	// Not waited for: unpacking a bundle and building its table must not hold up the group.
	go d.keeper.Offer(epoch, inForce.Packing(), &closures)
}

// runTenancy acquires a worker id and renews it.
func (d *Daemon) runTenancy(ctx context.Context) {
	// Nothing can be held before a worker id is, so a fresh daemon looks often whether there is a leader to ask yet.
	const beat, freshBeat = 250 * time.Millisecond, 50 * time.Millisecond
	renewEvery := d.replicaConfig.Tenure / 3
	ticker := time.NewTicker(freshBeat)
	defer ticker.Stop()
	var renewed clock.Mark
	for {
		asked := d.clock.Elapsed()
		worker, held := d.generator.Worker()
		if !d.draining.Load() && d.enlistedAt.Load() == 0 {
			d.enlist(ctx)
		}
		switch {
		case d.draining.Load():
		case !held:
			result, ok := d.submitOnce(ctx, statemachine.Command{Op: statemachine.OpAcquire, NodeID: d.nodeID})
			if ok && result.Grant != nil {
				d.generator.Take(*result.Grant, asked)
				renewed = asked
				ticker.Reset(beat)
				d.counters.acquired.Add(1)
				d.log.WithField("workerId", int64(result.Grant.WorkerID)).Info("worker id acquired")
				d.admitCallers()
			}
		case asked.Since(renewed) >= renewEvery:
			result, ok := d.submitOnce(ctx, statemachine.Command{Op: statemachine.OpRenew, NodeID: d.nodeID, WorkerID: worker})
			switch {
			case ok && result.Grant != nil:
				d.generator.Take(*result.Grant, asked)
				renewed = asked
				d.counters.renewed.Add(1)
			case ok && result.Verdict == statemachine.Mismatch:
				// The group no longer knows this tenure: nothing may be minted under it from now on.
				d.generator.Drop()
				d.counters.tenureFailed.Add(1)
				d.log.Warn("worker id lost")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// enlist has the group write down that this life may be serving, so that no change counts as in force
// everywhere without it.
func (d *Daemon) enlist(ctx context.Context) {
	answer, ok := d.submitOnce(ctx, statemachine.Command{Op: statemachine.OpEnlist, NodeID: d.nodeID, Address: d.config.ReachedAt()})
	switch {
	case ok && answer.Verdict == statemachine.Done:
		d.enlistedAt.Store(int64(d.clock.Elapsed()))
	case ok && answer.Verdict == statemachine.Forbidden:
		d.stepAside(eris.New(answer.Reason))
	}
}

// EnlistedAt is when the group wrote this life down; zero before.
func (d *Daemon) EnlistedAt() clock.Mark { return clock.Mark(d.enlistedAt.Load()) }

// stepAside ends the daemon, once.
func (d *Daemon) stepAside(why error) {
	select {
	case d.broken <- why:
	default:
	}
}

// swapped is called after each change that is in force here.
func (d *Daemon) swapped() {
	if t := d.keeper.Table(); t != nil {
		if mark, lost := t.Closures.Lost[d.nodeID]; lost {
			d.stepAside(eris.Errorf("this daemon was declared lost by %s, and so must not serve; start it again", mark.Operator))
		}
	}
	d.bell.ring(urgent)
	d.poke()
	d.moveOff()
	d.admitCallers()
}
