// Package daemon puts the actors of one cresspondd process together and runs them.
package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/connection/adminapi"
	"github.com/cresspond/cresspond/connection/sessionapi"
	"github.com/cresspond/cresspond/daemon/listener"
	"github.com/cresspond/cresspond/daemon/longpoll"
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

// Daemon is one process.
type Daemon struct {
	config daemonconfig.Config
	// current is config with what a later reading of the settings changed.
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
	// departuresApplied is how many leaves of the replicated state the registry was told of; only the replica's actor uses it.
	departuresApplied uint64
	watcher           *discovery.Watcher
	generator         *snowflake.Generator
	dispatch          *dispatch.Actor
	sessionAPI        *sessionapi.Door
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
	// memberRetired says that this daemon's member of the group ends before the daemon does, and no other life follows.
	memberRetired atomic.Bool
	// enlistedAt is when the group wrote this life down as one that may be serving; zero before.
	enlistedAt atomic.Int64
	fatal      chan error
	// callerGate is shut until callers are accepted.
	callerGate *listener.Gate
	// listeners opens the listeners of this daemon, and says what a fault of one means.
	listeners listener.Opener

	// poolPlanning plans for engines that register themselves, where the daemon was put together so.
	poolPlanning *poolPlanning

	// shortages is what the planner last said that it will not load soon.
	shortages atomic.Pointer[receivedShortages]
	// poolShortages is the same of the pools.
	poolShortages atomic.Pointer[receivedPoolShortages]

	// notifier wakes those whose answers are held back. toldNews are the versions told from here, heardNews those
	// heard; beatNews, urgentTold, drainingNow, heldLacks and bundleSeen are what was last found new.
	notifier                       *longpoll.Notifier
	sentVersions, receivedVersions versions
	lastPolled                     polledState
	urgentNotified                 atomic.Uint64
	enginesDraining                atomic.Bool
	shortageReport                 atomic.Pointer[shortageReport]
	configurationSeen              atomic.Pointer[configurationSeen]

	peerDemandMutex sync.Mutex
	peerDemand      map[ident.NodeID]*demand.Receiver
	// peerOutcomes is what others saw of engines, until the planner takes it.
	peerOutcomes []outlier.Observation
	// demandSender tells whoever plans what is asked for here.
	demandSender demand.Sender

	// stallLimit is how long the next piece of a stream is waited for, runOver how long one may outlast its deadline.
	stallLimit, overrunLimit time.Duration
	// applySlot bounds how many orders to apply a bundle are worked out at once.
	applySlot              chan struct{}
	applyLimit, applyReach time.Duration
	// wrapDisk stands between the member and its data folder.
	wrapDisk func(replica.Disk) replica.Disk

	// controlMakers and readyMakers make what stands before the desk, at the operators' and the readiness address.
	controlMakers, readinessMakers     []func(*Daemon) Handler
	controlHandlers, readinessHandlers []Handler
	// unreadyAnswered says that the platform was told while this daemon stops that it takes nothing new.
	unreadyAnswered chan struct{}

	forwarding forwardingPath
	// nodeRanking ranks engines by how their nodes behave.
	nodeRanking *nodeRanking

	counters counters
}

// New makes a daemon from checked settings.
func New(config daemonconfig.Config, version string, logger log.Interface, options ...Option) *Daemon {
	var incarnation [4]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		panic("broken invariant: no randomness: " + err.Error())
	}
	d := &Daemon{
		config: config, version: version, clock: clock.System{},
		// Each life of a daemon is a holder of its own, so an earlier life's ids can't be minted again.
		nodeID:        ident.NodeID(config.Name + "#" + hex.EncodeToString(incarnation[:])),
		replicaConfig: replica.DefaultConfig(), adoptedGroup: make(chan ident.GroupID, 1), fatal: make(chan error, 4), unreadyAnswered: make(chan struct{}, 8),
		applySlot: make(chan struct{}, 1), applyLimit: applyLimit, applyReach: applyReach,
		peerDemand: map[ident.NodeID]*demand.Receiver{}, affinityTable: affinity.NewTable(), wrapDisk: func(disk replica.Disk) replica.Disk { return disk }, stallLimit: stallLimit, overrunLimit: overrunLimit,
	}
	d.replicaConfig.Voters, d.replicaConfig.Build = config.Voters, version
	if config.Compaction.Entries > 0 {
		d.replicaConfig.CompactEntries, d.replicaConfig.RetainEntries = config.Compaction.Entries, config.Compaction.Keep
	}
	d.log = logger.WithField("node", string(d.nodeID))
	for _, option := range options {
		option(d)
	}
	none := ident.GroupID("")
	d.group.Store(&none)
	d.generator = snowflake.New(d.clock, leaseMargin)
	d.current.Store(&config)
	d.notifier, d.callerGate = longpoll.NewNotifier(), listener.NewGate()
	d.listeners = listener.Opener{Retry: config.OnFault == daemonconfig.RetryOnFault, Log: d.log, Faults: &d.counters.listenerFaults}
	d.sentVersions.randomize()
	return d
}

// Config is the settings as last read. Only seeds and bounds change in a daemon's life.
func (d *Daemon) Config() daemonconfig.Config { return *d.current.Load() }

// Bounds are what the deployment holds its daemons to, as last read.
func (d *Daemon) Bounds() daemonconfig.Bounds { return d.current.Load().Bounds }

// Reload takes over what may change in a daemon's life from settings that were read again.
func (d *Daemon) Reload(config daemonconfig.Config) {
	next := d.Config()
	if slices.Equal(next.Seeds, config.Seeds) && next.Bounds == config.Bounds && next.DrainMs == config.DrainMs {
		return
	}
	next.Seeds, next.Bounds, next.DrainMs = config.Seeds, config.Bounds, config.DrainMs
	d.current.Store(&next)
	d.log.WithField("seeds", next.Seeds).Info("settings read again")
}

func (d *Daemon) roleNames() []string {
	out := make([]string, 0, len(d.config.Roles))
	for _, role := range d.config.Roles {
		out = append(out, string(role))
	}
	return out
}
