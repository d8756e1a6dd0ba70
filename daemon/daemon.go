package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/connection/adminapi"
	"github.com/cresspond/cresspond/connection/sessionapi"
	"github.com/cresspond/cresspond/daemon/listener"
	"github.com/cresspond/cresspond/daemon/longpoll"
	"github.com/cresspond/cresspond/daemon/noderanking"
	"github.com/cresspond/cresspond/daemon/tenantquota"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/deduplication"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/cluster/peerclient"
	"github.com/cresspond/cresspond/process/consensus/replica"
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
)

// Daemon is one process. Its fields are set by New and by buildActors, and not written after that but for atomics and
// what a mutex guards; each actor owns its own state, and is called from any goroutine.
type Daemon struct {
	config daemonconfig.Config
	// current is config with what Reload changed.
	current atomic.Pointer[daemonconfig.Config]
	version string
	nodeID  ident.NodeID
	clock   clock.Clock
	log     log.Interface

	links             *peerclient.Pool
	rollout           *rollout.Manager
	members           *membership.Membership
	registry          *registry.Registry
	registrySyncTimes syncTimes
	// departuresApplied is how many departures of the replicated state the registry has been told of. Only the
	// replica's goroutine uses it.
	departuresApplied uint64
	watcher           *discovery.Watcher
	generator         *snowflake.Generator
	dispatch          *dispatch.Actor
	sessionAPI        *sessionapi.Server
	adminAPI          *adminapi.Server
	sessionPlacer     *sessionplacement.Actor
	affinityTable     *affinity.Table
	engineSlots       *admission.Controller
	attempts          *deduplication.Actor
	slotRequestIDs    atomic.Uint64

	replicaConfig     replica.Config
	memberIncarnation atomic.Pointer[memberIncarnation]
	replica           atomic.Pointer[replica.Replica]
	group             atomic.Pointer[ident.GroupID]
	adoptedGroup      chan ident.GroupID
	draining          atomic.Bool
	// memberRetired says that this daemon's member of the group ends before the daemon does, and no other incarnation
	// follows.
	memberRetired atomic.Bool
	// startedAt is the group's time as it was read after this incarnation started; only the goroutine of the worker's lease
	// uses it.
	startedAt ident.GroupTime
	// joinRefused is the feature level of the group that last refused to admit this build.
	joinRefused atomic.Uint32
	// enlistedAt is when the group recorded this incarnation as one that may be serving; zero before.
	enlistedAt atomic.Int64
	fatal      chan error
	// callerGate is closed until callers are accepted.
	callerGate *listener.Gate
	// listeners opens the listeners of this daemon, and says what a fault of one means.
	listeners listener.Opener

	// poolPlanning plans for engines that register themselves; nil where the daemon was made without it.
	poolPlanning *poolPlanning

	// shortages is what the planner of sessions last said that it can't load soon.
	shortages atomic.Pointer[receivedShortages]
	// poolShortages is the same from the planner of pools.
	poolShortages atomic.Pointer[receivedPoolShortages]

	// notifier wakes the peers whose answers are held back. sentVersions number what was sent from here and
	// receivedVersions what was received; the fields after them are what was last found to be new.
	notifier                       *longpoll.Notifier
	sentVersions, receivedVersions versions
	lastPolled                     polledState
	urgentNotified                 atomic.Uint64
	enginesDraining                atomic.Bool
	shortageReport                 atomic.Pointer[shortageReport]
	configurationSeen              atomic.Pointer[configurationSeen]

	peerDemandMutex sync.Mutex
	peerDemand      map[ident.NodeID]*demand.Receiver
	// peerOutcomes are the outcomes of peers' attempts at engines, until the planner takes them.
	peerOutcomes []outlier.Observation
	// demandSender encodes what is demanded here for the planner.
	demandSender demand.Sender

	// stallLimit is how long the next chunk of a stream is waited for, overrunLimit how long a stream may outlast its
	// deadline.
	stallLimit, overrunLimit time.Duration
	// applySlot lets one call to apply a configuration be worked out at a time.
	applySlot              chan struct{}
	applyLimit, applyReach time.Duration
	// wrapDisk wraps the data folder that the member writes to; tests inject faults by it.
	wrapDisk func(replica.Disk) replica.Disk

	// sectionUpgrade completes configurations that an earlier build stored; nil is none.
	sectionUpgrade upstream.Upgrade
	// controlMakers and readinessMakers make the handlers that come before the admin API, at the operators' and the
	// readiness address.
	controlMakers, readinessMakers     []func(*Daemon) Handler
	controlHandlers, readinessHandlers []Handler
	// unreadyAnswered gets an element for each readiness check that was answered with "not ready" while draining.
	unreadyAnswered chan struct{}

	forwarding forwardingPath
	// loggedVersion is the version of the configuration that was last logged as in force.
	loggedVersion atomic.Uint64
	// quotaLimiter counts the requests of limited tenants here; quotaAllotter allots tokens while this daemon leads.
	quotaLimiter  *tenantquota.Limiter
	quotaAllotter *tenantquota.Allotter
	// nodeRanking ranks engines by the health of their nodes.
	nodeRanking *noderanking.Ranking

	counters counters
}

const (
	// fatalCapacity is how many errors that end the daemon are held until Run takes the first.
	fatalCapacity = 4
	// unreadyCapacity is how many failed readiness checks are held until drain takes them.
	unreadyCapacity = 8
)

// New makes a daemon from validated settings. It opens nothing and starts no goroutine; Run does.
func New(config daemonconfig.Config, version string, logger log.Interface, options ...Option) *Daemon {
	var incarnation [4]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		panic("broken invariant: no randomness: " + err.Error())
	}
	d := &Daemon{
		config:  config,
		version: version,
		clock:   clock.System{},
		// Each incarnation has a node id of its own, so the lease and the ids of an earlier one can't be used again.
		nodeID:          ident.NodeID(config.Name + "#" + hex.EncodeToString(incarnation[:])),
		replicaConfig:   replica.DefaultConfig(),
		adoptedGroup:    make(chan ident.GroupID, 1),
		fatal:           make(chan error, fatalCapacity),
		unreadyAnswered: make(chan struct{}, unreadyCapacity),
		applySlot:       make(chan struct{}, 1),
		applyLimit:      applyLimit,
		applyReach:      applyReach,
		peerDemand:      map[ident.NodeID]*demand.Receiver{},
		affinityTable:   affinity.NewTable(),
		wrapDisk:        func(disk replica.Disk) replica.Disk { return disk },
		stallLimit:      stallLimit,
		overrunLimit:    overrunLimit,
	}
	d.replicaConfig.Voters, d.replicaConfig.Build = config.Voters, version
	d.replicaConfig.Incarnation = uint64(binary.BigEndian.Uint32(incarnation[:])) + 1
	if config.Compaction.Entries > 0 {
		d.replicaConfig.CompactEntries, d.replicaConfig.RetainEntries = config.Compaction.Entries, config.Compaction.Keep
	}
	d.log = logger.WithField("node", string(d.nodeID))
	d.quotaAllotter = tenantquota.NewAllotter(quotaSettings(config.Bounds), d.log)
	for _, option := range options {
		option(d)
	}
	none := ident.GroupID("")
	d.group.Store(&none)
	d.generator = snowflake.New(d.clock, leaseMargin)
	d.current.Store(&config)
	d.notifier, d.callerGate = longpoll.NewNotifier(), listener.NewGate()
	d.listeners = listener.Opener{
		Retry:  config.OnFault == daemonconfig.RetryOnFault,
		Log:    d.log,
		Faults: &d.counters.listenerFaults,
	}
	d.sentVersions.randomize()
	return d
}

// Config returns the settings as last read. Only seeds, bounds and the drain time change while a daemon runs.
func (d *Daemon) Config() daemonconfig.Config { return *d.current.Load() }

// Bounds returns the limits that the deployment sets its daemons, as last read.
func (d *Daemon) Bounds() daemonconfig.Bounds { return d.current.Load().Bounds }

// Reload takes over what may change while a daemon runs from settings that were read again, and ignores the rest.
func (d *Daemon) Reload(config daemonconfig.Config) {
	next := d.Config()
	if slices.Equal(next.Seeds, config.Seeds) && next.Bounds == config.Bounds && next.DrainMs == config.DrainMs {
		return
	}
	next.Seeds, next.Bounds, next.DrainMs = config.Seeds, config.Bounds, config.DrainMs
	d.current.Store(&next)
	d.log.WithField("seeds", next.Seeds).Info("settings reloaded")
}

func (d *Daemon) roleNames() []string {
	out := make([]string, 0, len(d.config.Roles))
	for _, role := range d.config.Roles {
		out = append(out, string(role))
	}
	return out
}
