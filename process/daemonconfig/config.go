// Package daemonconfig reads and checks a daemon's own settings: a JSON file, overridden by flags.
package daemonconfig

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Role is one thing a daemon can do.
type Role string

const (
	// Route carries caller traffic.
	Route Role = "route"
	// Control is a member of the Raft group, and needs a disk.
	Control Role = "control"
	// Placement plans and orders loads.
	Placement Role = "place"
)

// Config is what one daemon is told of its place.
type Config struct {
	Name string       `json:"name" validate:"required,max=64,excludesall=#/ "`
	Zone ident.ZoneID `json:"zone" validate:"required,max=64"`
	// Listen is for callers and operators, FellowListen for other daemons.
	Listen     string `json:"listen" validate:"required,ipport"`
	PeerListen string `json:"fellowListen" validate:"required,ipport"`
	// PeerAddress is how others reach FellowListen; empty takes FellowListen itself.
	PeerAddress string   `json:"fellowAddress" validate:"omitempty,ipport"`
	Seeds       []string `json:"seeds" validate:"required,min=1,max=7,unique,dive,ipport"`
	Roles       []Role   `json:"serve" validate:"required,min=1,unique,dive,oneof=route control place"`
	DataDir     string   `json:"data" validate:"required_if_control"`
	// ReadyListen is an address of its own for the platform's question whether this daemon is ready; empty
	// leaves it on Listen alone.
	ReadyListen string `json:"readyListen,omitempty" validate:"omitempty,ipport"`
	// OperatorListen is an address of its own for operators and engines; empty leaves them on Listen.
	OperatorListen string `json:"operatorListen,omitempty" validate:"omitempty,ipport"`
	// MetricsListen is an address of its own for metrics, in the text form that Prometheus reads, at MetricsPath; empty
	// serves none.
	MetricsListen string `json:"metricsListen,omitempty" validate:"omitempty,ipport"`
	MetricsPath   string `json:"metricsPath,omitempty" validate:"required_with=MetricsListen,omitempty,startswith=/"`
	// OpaqueOnly says that Listen carries the clients' opaque requests and nothing else.
	OpaqueOnly bool `json:"opaqueOnly,omitempty"`
	// AttemptScope says how far attempts are known: over the fleet, or by the daemon they came to.
	AttemptScope AttemptScope `json:"attempts,omitempty" validate:"omitempty,oneof=fleet local"`
	// OnFault says what to do about a disk or an address that can't be used.
	OnFault  FaultPolicy `json:"trouble,omitempty" validate:"omitempty,oneof=end wait"`
	Platform string      `json:"platform" validate:"omitempty,ipport"`
	// JoinOnly daemons never form a group: theirs exists already, whatever their data folder remembers.
	JoinOnly bool `json:"joinOnly,omitempty"`
	// Voters is how many machines of the control group are to vote: three stand losing one, five two. It must be
	// the same on all that serve control.
	Voters int `json:"voters" validate:"oneof=1 3 5 7"`
	// Compaction says when the control group's log is cut.
	Compaction Compaction `json:"compaction"`
	// DrainMs is how long a stopping daemon may take to finish what it has read.
	DrainMs int64 `json:"drainMs" validate:"gte=0,lte=600000"`
	// DirectApply lets an operator alone put a bundle in force in one step, without review and sign-off. It must
	// be the same on all daemons that serve control.
	DirectApply bool `json:"oneStep"`
	// Log is the least level that is logged.
	Log string `json:"log" validate:"oneof=debug info warn error"`
	// Machine is what this daemon may use, Bounds the times and amounts that the deployment holds it to.
	Machine Machine `json:"machine"`
	Bounds  Bounds  `json:"bounds"`
	// Ranking says whether engines are ranked by how their nodes behave, and the worst drained. It should be the same
	// on all daemons: those that route measure, those that place decide.
	Ranking nodehealth.Settings `json:"ranking"`
	// Experiments are for measurements only.
	Experiments Experiments `json:"experiments,omitzero"`
}

// Serves says whether the daemon has a role.
func (c Config) Serves(role Role) bool { return slices.Contains(c.Roles, role) }

// AdvertisedPeerAddress is the address other daemons use.
func (c Config) AdvertisedPeerAddress() string {
	if c.PeerAddress != "" {
		return c.PeerAddress
	}
	return c.PeerListen
}

// Experiments changes how daemons decide, for measurements only. It should be the same on all daemons.
type Experiments struct {
	// Disabled names the mechanisms that are switched off; package mechanism lists them.
	Disabled []string `json:"without,omitempty" validate:"omitempty,unique,dive,mechanism"`
}

// DisabledMechanisms gives the mechanisms that are switched off. Names that Check refuses are passed over.
func (e Experiments) DisabledMechanisms() featuregates.Set {
	off, _ := featuregates.Parse(e.Disabled)
	return off
}

// MetricsKey is the settings key of the address that metrics are served at.
const MetricsKey = "metricsListen"

// AttemptScope says how far attempts are known.
type AttemptScope string

const (
	// FleetAttempts are known to all daemons, so that one attempt may arrive at several.
	FleetAttempts AttemptScope = "fleet"
	// LocalAttempts arrive once, each under an id of its own, so nobody else need know of them.
	LocalAttempts AttemptScope = "local"
)

// FaultPolicy says what to do about a disk or an address that can't be used.
type FaultPolicy string

const (
	// ExitOnFault ends the daemon and says why, so that a person looks first.
	ExitOnFault FaultPolicy = "end"
	// RetryOnFault keeps the daemon up: it steps aside from its group, tries again, and sets damaged files
	// aside to join as a new member.
	RetryOnFault FaultPolicy = "wait"
)

// Compaction says when a control daemon replaces its log by a snapshot of the state. It may differ between daemons.
type Compaction struct {
	// Entries is how many entries are applied between two snapshots, Keep how many stay in the log before one, for
	// members that lag a little: they get entries instead of the whole state.
	Entries int `json:"entries" validate:"omitempty,gte=10,lte=100000"`
	Keep    int `json:"keep" validate:"omitempty,gte=0,ltfield=Entries"`
}

// DefaultCompaction cuts the log rarely: a snapshot is as long as the state, and entries are short.
func DefaultCompaction() Compaction { return Compaction{Entries: 2000, Keep: 200} }

// Machine is what this daemon may use of its machine; zero is unknown.
type Machine struct {
	MemoryMb           int64   `json:"memoryMb,omitempty" validate:"gte=0"`
	MaxFileDescriptors int     `json:"mostFds,omitempty" validate:"gte=0"`
	LinkMbps           float64 `json:"linkMbps,omitempty" validate:"gte=0"`
	// CPU is the share of a core, times how fast it runs.
	CPU float64 `json:"cpu,omitempty" validate:"gte=0"`
}

const defaultMetricsPath = "/metrics"

// Default gives the settings that need not be said.
func Default() Config {
	return Config{Voters: 3, Compaction: DefaultCompaction(), DrainMs: 30000, Log: "info", AttemptScope: FleetAttempts, OnFault: ExitOnFault, Bounds: DefaultBounds(), Ranking: nodehealth.DefaultSettings(), MetricsPath: defaultMetricsPath}
}
