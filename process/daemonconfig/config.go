// Package daemonconfig holds a daemon's own settings: what it serves, where it listens, which peers it starts from and the
// limits that its deployment sets. They are read once, at the start, from a JSON file with flags on top (cmd/cresspondd) or
// from the users' platform (platform). The configuration that operators change at run time is another thing; see
// package configuration.
//
// The JSON names are an interface: they stay when a field's Go name changes.
package daemonconfig

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Role is what a daemon can do in the fleet; one daemon may have several roles.
type Role string

const (
	// Route forwards requests of callers to engines.
	Route Role = "route"
	// Control is a member of the consensus group, which needs a disk.
	Control Role = "control"
	// Placement plans which models engines load, and commands them.
	Placement Role = "place"
)

// Config is the settings of one daemon.
type Config struct {
	// Name identifies the daemon over its incarnations; it is unique in the fleet.
	Name string `json:"name" validate:"required,max=64,excludesall=#/ "`
	// Zone is the failure domain it runs in.
	Zone ident.ZoneID `json:"zone" validate:"required,max=64"`
	// Listen is the address for callers and operators, PeerListen that for other daemons.
	Listen     string `json:"listen" validate:"required,ipport"`
	PeerListen string `json:"fellowListen" validate:"required,ipport"`
	// PeerAddress is the address at which other daemons reach PeerListen; empty: PeerListen itself.
	PeerAddress string `json:"fellowAddress" validate:"omitempty,ipport"`
	// Seeds are peer addresses to find the fleet by; one that responds is enough.
	Seeds []string `json:"seeds" validate:"required,min=1,max=7,unique,dive,ipport"`
	Roles []Role   `json:"serve" validate:"required,min=1,unique,dive,oneof=route control place"`
	// DataDir holds the consensus group's log and snapshots; only control daemons need it.
	DataDir string `json:"data" validate:"required_if_control"`
	// ReadyListen is a separate address for the platform's readiness probe; empty: only Listen serves it.
	ReadyListen string `json:"readyListen,omitempty" validate:"omitempty,ipport"`
	// OperatorListen is a separate address for operators and engines; empty: Listen serves them.
	OperatorListen string `json:"operatorListen,omitempty" validate:"omitempty,ipport"`
	// MetricsListen is a separate address for metrics in Prometheus' text format, at MetricsPath; empty: none.
	MetricsListen string `json:"metricsListen,omitempty" validate:"omitempty,ipport"`
	MetricsPath   string `json:"metricsPath,omitempty" validate:"required_with=MetricsListen,omitempty,startswith=/"`
	// OpaqueOnly restricts Listen to clients' opaque requests.
	OpaqueOnly bool `json:"opaqueOnly,omitempty"`
	// AttemptScope is where attempts are deduplicated: over the fleet, or by the daemon they arrive at.
	AttemptScope AttemptScope `json:"attempts,omitempty" validate:"omitempty,oneof=fleet local"`
	// OnFault is the reaction to a disk or an address that can't be used.
	OnFault FaultPolicy `json:"trouble,omitempty" validate:"omitempty,oneof=end wait"`
	// Platform is the address of the platform whose list of engines is watched; empty: none.
	Platform string `json:"platform" validate:"omitempty,ipport"`
	// JoinOnly: this daemon never forms a group, since one exists already, whatever its data folder holds.
	JoinOnly bool `json:"joinOnly,omitempty"`
	// Voters is the number of voting members of the consensus group: three tolerate the loss of one, five of two. It must
	// be the same on all control daemons.
	Voters int `json:"voters" validate:"oneof=1 3 5 7"`
	// Compaction says when the consensus group's log is compacted.
	Compaction Compaction `json:"compaction"`
	// DrainMs is how long a graceful shutdown may take to finish the requests that were read.
	DrainMs int64 `json:"drainMs" validate:"gte=0,lte=600000"`
	// DirectApply lets a single operator apply a bundle in one step, without review and sign-off. It must be the same on
	// all control daemons.
	DirectApply bool `json:"oneStep"`
	// Log is the minimum level that is logged.
	Log string `json:"log" validate:"oneof=debug info warn error"`
	// Machine is what this daemon may use, Bounds the limits that the deployment sets.
	Machine Machine `json:"machine"`
	Bounds  Bounds  `json:"bounds"`
	// Ranking says whether engines are ranked by the health of their nodes, and the worst drained. It should be the same on
	// all daemons: routing daemons measure, placement daemons decide.
	Ranking nodehealth.Settings `json:"ranking"`
	// Experiments are for measurements only.
	Experiments Experiments `json:"experiments,omitzero"`
}

// Serves reports whether the daemon has a role.
func (c Config) Serves(role Role) bool { return slices.Contains(c.Roles, role) }

// AdvertisedPeerAddress is the address at which other daemons reach this one.
func (c Config) AdvertisedPeerAddress() string {
	if c.PeerAddress != "" {
		return c.PeerAddress
	}
	return c.PeerListen
}

// Experiments disables mechanisms, for measurements only. It should be the same on all daemons.
type Experiments struct {
	// Disabled names the mechanisms that are switched off; package featuregates lists them.
	Disabled []string `json:"without,omitempty" validate:"omitempty,unique,dive,mechanism"`
}

// DisabledMechanisms returns the mechanisms that are switched off: none if Check rejects one of the names.
func (e Experiments) DisabledMechanisms() featuregates.Set {
	off, _ := featuregates.Parse(e.Disabled)
	return off
}

// MetricsKey is the settings key of the address that metrics are served at.
const MetricsKey = "metricsListen"

// AttemptScope is where attempts are deduplicated.
type AttemptScope string

const (
	// FleetAttempts are deduplicated over the fleet, so that one attempt may arrive at several daemons.
	FleetAttempts AttemptScope = "fleet"
	// LocalAttempts are deduplicated by the daemon they arrive at: each has an id of its own and arrives once.
	LocalAttempts AttemptScope = "local"
)

// FaultPolicy is the reaction to a disk or an address that can't be used.
type FaultPolicy string

const (
	// ExitOnFault ends the daemon with the reason, so that an operator looks first.
	ExitOnFault FaultPolicy = "end"
	// RetryOnFault keeps the daemon up: it withdraws from its group, retries, and moves damaged files aside to join as a
	// new member.
	RetryOnFault FaultPolicy = "wait"
)

// Compaction says when a control daemon replaces its log by a snapshot. It may differ between daemons.
type Compaction struct {
	// Entries is the number of entries applied between two snapshots, Keep the number that stay in the log before a
	// snapshot: members that lag by no more are sent entries instead of the snapshot.
	Entries int `json:"entries" validate:"omitempty,gte=10,lte=100000"`
	Keep    int `json:"keep" validate:"omitempty,gte=0,ltfield=Entries"`
}

// DefaultCompaction compacts rarely: a snapshot is as large as the state, and entries are small.
func DefaultCompaction() Compaction { return Compaction{Entries: 2000, Keep: 200} }

// Machine is what this daemon may use of its machine; zero: unknown.
type Machine struct {
	MemoryMb           int64   `json:"memoryMb,omitempty" validate:"gte=0"`
	MaxFileDescriptors int     `json:"mostFds,omitempty" validate:"gte=0"`
	LinkMbps           float64 `json:"linkMbps,omitempty" validate:"gte=0"`
	// CPU is the number of cores, weighted by their speed.
	CPU float64 `json:"cpu,omitempty" validate:"gte=0"`
}

const defaultMetricsPath = "/metrics"

// Default returns the settings that apply unless set.
func Default() Config {
	return Config{
		Voters: 3, Compaction: DefaultCompaction(), DrainMs: 30000, Log: "info",
		AttemptScope: FleetAttempts, OnFault: ExitOnFault, Bounds: DefaultBounds(), Ranking: nodehealth.DefaultSettings(), MetricsPath: defaultMetricsPath,
	}
}
