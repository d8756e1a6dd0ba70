// Package daemonconfig reads and checks a daemon's own settings: a JSON file, overridden by flags.
package daemonconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

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

// Bounds are the times and amounts that a deployment holds its daemons to.
type Bounds struct {
	// HeartbeatMs is how often an engine says that it lives.
	HeartbeatMs int64 `json:"beatMs" validate:"gt=0"`
	// ContactMs is how long daemons must have been whole and joined before bounds hold for them.
	ContactMs int64 `json:"contactMs" validate:"gt=0"`
	// AcknowledgeMs is how long an operator waits at most for an acknowledgement.
	AcknowledgeMs int64 `json:"acknowledgeMs" validate:"gt=0"`
	// CatchUpMs is how soon after its start a new member must vote.
	CatchUpMs int64 `json:"catchUpMs" validate:"gt=0"`
	// EngineDrainMs is how long after its leaving was acknowledged an engine may still be sent requests.
	EngineDrainMs int64 `json:"leaveMs" validate:"gt=0"`
	// AddressReuseMs is when the address of an engine that ended may be another's.
	AddressReuseMs int64 `json:"addressReuseMs" validate:"gte=0"`
	// ApplyMs is when an acknowledged bundle must be in force everywhere, RevertMs how soon after one was
	// seen in force a daemon may no longer go by an older one.
	ApplyMs  int64 `json:"applyMs" validate:"gt=0"`
	RevertMs int64 `json:"revertMs" validate:"gte=0"`
	// RetryRatio and RetrySlack bound, within RetryWindowMs and over all daemons, how many attempts go to a
	// pool beyond the first of each request.
	RetryRatio    float64 `json:"retryRatio" validate:"gte=0"`
	RetryWindowMs int64   `json:"retryWindowMs" validate:"gt=0"`
	RetrySlack    float64 `json:"retrySlack" validate:"gte=0"`
	// RetryAfterMs is when a refused client comes back if it was not told; zero is not known.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty" validate:"gte=0"`
	// RecoverMs is when requests must be served again after all machines were down.
	RecoverMs int64 `json:"recoverMs" validate:"gt=0"`
	// PassMs is how long an event may take through a daemon, LossSlackMs how long a request that was read may
	// lie unanswered in one that stops.
	PassMs      int64 `json:"passMs" validate:"gt=0"`
	LossSlackMs int64 `json:"lossSlackMs" validate:"gte=0"`
	// FencingChecked says that engines refuse orders under a lower fence than they have seen. LeaseMs is the
	// least time between orders of two planners, ThawSlackMs how long after a thaw an order may still come.
	FencingChecked bool  `json:"fenceChecked,omitempty"`
	LeaseMs        int64 `json:"leaseMs" validate:"gt=0"`
	ThawSlackMs    int64 `json:"thawSlackMs" validate:"gte=0"`
	// OriginWindowMs is the window over which loads from the store are counted, OriginExcess how far they may
	// pass its pace within it.
	OriginWindowMs int64   `json:"originWindowMs" validate:"gt=0"`
	OriginExcess   float64 `json:"originExcess" validate:"gte=0"`
}

// DefaultBounds are the bounds of a deployment that says nothing.
func DefaultBounds() Bounds {
	return Bounds{HeartbeatMs: 1000, ContactMs: 3000, AcknowledgeMs: 4000, CatchUpMs: 4000, EngineDrainMs: 2000, AddressReuseMs: 2000, ApplyMs: 2000,
		RevertMs: 250, RetryRatio: 0.2, RetryWindowMs: 10000, RetrySlack: 10, RecoverMs: 12000, PassMs: 120, LossSlackMs: 200, LeaseMs: 3000,
		ThawSlackMs: 300, OriginWindowMs: 5000, OriginExcess: 1}
}

const defaultMetricsPath = "/metrics"

// CheckAddresses says which addresses of the settings cannot be used now, by trying them.
func (c Config) CheckAddresses(file string) []Fault {
	if c.MetricsListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", c.MetricsListen)
	if err != nil {
		return []Fault{{file, MetricsKey, err.Error()}}
	}
	listener.Close()
	return nil
}

// Default gives the settings that need not be said.
func Default() Config {
	return Config{Voters: 3, Compaction: DefaultCompaction(), DrainMs: 30000, Log: "info", AttemptScope: FleetAttempts, OnFault: ExitOnFault, Bounds: DefaultBounds(), Ranking: nodehealth.DefaultSettings(), MetricsPath: defaultMetricsPath}
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

// Fault is one thing wrong with the settings.
type Fault struct{ File, Field, Reason string }

func (f Fault) String() string {
	where := f.File
	if f.Field != "" {
		where += ": " + f.Field
	}
	return where + ": " + f.Reason
}

// Read reads the file over the defaults; it is not yet checked, since flags may still fill it.
func Read(path string) (Config, []Fault) {
	c := Default()
	if path == "" {
		return c, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return c, []Fault{{path, "", err.Error()}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		if typed, ok := err.(*json.UnmarshalTypeError); ok {
			return c, []Fault{{path, typed.Field, "a " + typed.Value + " does not fit here"}}
		}
		return c, []Fault{{path, "", strings.TrimPrefix(err.Error(), "json: ")}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return c, []Fault{{path, "", "something follows the settings"}}
	}
	return c, nil
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	must := func(err error) {
		if err != nil {
			panic("broken invariant: a check cannot be registered: " + err.Error())
		}
	}
	must(v.RegisterValidation("ipport", func(level validator.FieldLevel) bool {
		host, port, err := net.SplitHostPort(level.Field().String())
		// Processes find each other by IP number alone; names would bring in an outside service.
		return err == nil && net.ParseIP(host) != nil && port != ""
	}))
	must(v.RegisterValidation("mechanism", func(level validator.FieldLevel) bool {
		_, err := featuregates.Parse([]string{level.Field().String()})
		return err == nil
	}))
	must(v.RegisterValidation("required_if_control", func(level validator.FieldLevel) bool {
		config, ok := level.Parent().Interface().(Config)
		return !ok || !config.Serves(Control) || config.DataDir != ""
	}, true))
	return v
}

// Check gives every fault of the settings at once.
func (c Config) Check(file string) []Fault {
	if file == "" {
		file = "flags"
	}
	var faults []Fault
	if c.Ranking != (nodehealth.Settings{}) {
		// Settings put together without any are those of a daemon that ranks nothing.
		for _, invalid := range c.Ranking.Check() {
			faults = append(faults, Fault{file, "ranking." + invalid.Field, invalid.Reason})
		}
	}
	err := validate.Struct(c)
	if err == nil {
		return faults
	}
	found, ok := err.(validator.ValidationErrors)
	if !ok {
		return append(faults, Fault{file, "", err.Error()})
	}
	for _, invalid := range found {
		reason := map[string]string{
			"required": "is missing", "ipport": "must be an IP number and a port", "unique": "holds something twice",
			"required_if_control": "is needed to serve control",
			"ltfield":             "must be below entries",
			"mechanism":           "names no mechanism; known are " + strings.Join(featuregates.Names(), ", "),
		}[invalid.Tag()]
		if reason == "" {
			reason = strings.TrimSuffix(fmt.Sprintf("must satisfy %s=%s", invalid.Tag(), invalid.Param()), "=")
		}
		faults = append(faults, Fault{file, strings.TrimPrefix(invalid.Namespace(), "Config."), reason})
	}
	return faults
}
