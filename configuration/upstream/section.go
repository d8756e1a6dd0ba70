// Package upstream is the configuration's section on opaque requests: paths by host and prefix, the pools of
// engines that serve them, and the catalogue of what a pool's engines may load. Index is its form for look-ups by the
// request path, Patch a change of named items.
package upstream

import "encoding/json"

// Class says whether a request may be retried.
type Class string

const (
	// Idempotent requests may run more than once.
	Idempotent Class = "repeatable"
	// Once requests run at most once for each attempt of a client.
	Once Class = "once"
	// Stream requests are answered by events, and run at most once unless the path is resumable.
	Stream Class = "stream"
)

// Section is the part of a configuration on opaque requests.
type Section struct {
	// Revision is the operator's own number of this configuration; it rises from one to the next.
	Revision uint64 `json:"revision" validate:"gt=0"`
	Paths    []Path `json:"paths" validate:"dive"`
	Pools    []Pool `json:"pools" validate:"dive"`
	// Tenants are the operators' customers. Where there are any, a request needs the key of one, except on public paths.
	Tenants []Tenant `json:"tenants,omitempty" validate:"dive"`
	// KeysRequired says that a patch removed the last tenant. Paths that are not public then serve nobody, until a complete
	// section without tenants opens them.
	KeysRequired bool   `json:"keysRequired,omitempty"`
	Limits       Limits `json:"limits"`
	// Note is retained and given back, and not interpreted.
	Note json.RawMessage `json:"note,omitempty"`
}

// Upgrade completes a section that an earlier build stored with what that build kept in notes and the present one reads. It
// changes nothing in a section of the present build, and gives the same on all daemons.
type Upgrade func(*Section)

// Apply applies the upgrade to a section, if there are both.
func (u Upgrade) Apply(section *Section) {
	if u != nil && section != nil {
		u(section)
	}
}

// Path is one route of opaque requests.
type Path struct {
	Name string `json:"name" validate:"required,max=200"`
	Host string `json:"host" validate:"required,max=255"`
	// Prefix begins and ends with a slash; the longest that begins a request's path wins.
	Prefix string `json:"prefix" validate:"required,startswith=/,endswith=/,max=1024"`
	Class  Class  `json:"class" validate:"oneof=repeatable once stream"`
	// Resumable streams may be continued at another engine after their last event.
	Resumable bool `json:"resumable,omitempty"`
	// Affine requests name a model, and share prefixes of prompts that engines cache.
	Affine bool `json:"affine,omitempty"`
	// Public paths serve requests without a tenant's key.
	Public bool `json:"public,omitempty"`
	// DeadlineMs is the longest time a request is queued and run, TargetMs the latency target (SLO) of its first byte,
	// GapTargetMs the target for the longest pause between events of a stream.
	DeadlineMs  int64 `json:"deadlineMs" validate:"gt=0,lte=86400000"`
	TargetMs    int64 `json:"targetMs" validate:"gte=0"`
	GapTargetMs int64 `json:"gapTargetMs,omitempty" validate:"gte=0"`
	// Rank is the urgency; zero is served first.
	Rank int `json:"rank" validate:"gte=0,lte=1000000"`
	// Attempts is the greatest number of engines that one request may be sent to.
	Attempts int     `json:"attempts" validate:"gte=1,lte=100"`
	Shares   []Share `json:"shares" validate:"required,min=1,dive"`
	// Note is retained and given back, and not interpreted.
	Note json.RawMessage `json:"note,omitempty"`
}

// Share is the weight of one pool among those that serve a path.
type Share struct {
	Pool   string `json:"pool" validate:"required"`
	Weight int64  `json:"weight" validate:"gte=0"`
}

// Pool is a set of engines that serve the same paths; they register under its name.
type Pool struct {
	Name       string `json:"name" validate:"required,max=200"`
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is how many connections one engine accepts from all daemons together; zero is unknown.
	MaxConnections int `json:"mostConnections,omitempty" validate:"gte=0"`
	// Catalogue is set for pools whose engines load models.
	Catalogue *Catalogue `json:"catalogue,omitempty"`
	// Note is retained and given back, and not interpreted.
	Note json.RawMessage `json:"note,omitempty"`
}

// Catalogue is what a pool's engines may load, and how much of it.
type Catalogue struct {
	Slots        int   `json:"slots" validate:"gte=0"`
	MemoryTokens int64 `json:"memoryTokens" validate:"gte=0"`
	// CapacityMb is the memory for models and adapters together.
	CapacityMb   float64 `json:"roomMb" validate:"gte=0"`
	AdapterSlots int     `json:"adapterPlaces" validate:"gte=0"`
	// LoadsPerSecond is the rate limit of the store of weights, over all engines.
	LoadsPerSecond float64 `json:"loadsPerSecond" validate:"gte=0"`
	Models         []Model `json:"models" validate:"dive"`
}

// Model is one entry of a pool's catalogue; its adapters are named a1, a2 and so on.
type Model struct {
	Name          string  `json:"name" validate:"required,max=200"`
	SizeMb        float64 `json:"sizeMb" validate:"gt=0"`
	LoadMs        int64   `json:"loadMs" validate:"gte=0"`
	Adapters      int     `json:"adapters" validate:"gte=0,lte=1000000"`
	AdapterSizeMb float64 `json:"adapterSizeMb" validate:"gte=0"`
}

// Limits bound what a client may send; zero leaves the daemon's own limit.
type Limits struct {
	MaxHeaderBytes  int   `json:"mostHeaderBytes,omitempty" validate:"gte=0"`
	MaxBodyBytes    int64 `json:"mostBodyBytes,omitempty" validate:"gte=0"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs,omitempty" validate:"gte=0"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs,omitempty" validate:"gte=0"`
	// Note is retained and given back, and not interpreted.
	Note json.RawMessage `json:"note,omitempty"`
}
