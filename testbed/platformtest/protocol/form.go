// Package protocol is the protocol of the users' platform as the simulated engines, clients and operators speak it:
// headers, bodies and the meaning of a configuration. It is independent of package platform, so that they share no mistake.
package protocol

import (
	"encoding/json"
	"strings"
)

// Names of headers.
const (
	Attempt        = "X-Attempt-Id"
	Deadline       = "X-Deadline-Ms"
	Target         = "X-Target-Instance"
	Model          = "X-Model"
	TokenCounts    = "X-Token-Counts"
	PromptPrefix   = "X-Prompt-Prefix"
	Urgency        = "X-Urgency"
	ExpectVersion  = "X-Expect-Version"
	WeightVersions = "X-Weight-Versions"
	Seal           = "X-Server-Seal"
	NotExecuted    = "X-Not-Executed"
	Instance       = "X-Instance-Id"
	LastEvent      = "Last-Event-Id"
	RetryAfter     = "Retry-After"
	KeepAlive      = "Keep-Alive"
	Authorization  = "Authorization"
	TenantName     = "X-Tenant"
)

// Paths of the platform's own interfaces.
const (
	PathEngines = "/api/engines/"
	PathReport  = "/api/report"
	PathOrder   = "/api/order"
	PathConfig  = "/api/config"
	PathReady   = "/api/ready"
)

// States of an engine that registers.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Operations of an order.
const (
	Load  = "load"
	Evict = "evict"
)

// Classes of routes.
const (
	Idempotent = "idempotent"
	Mutating   = "mutating"
	Streaming  = "streaming"
)

// Holding is one model that an engine has loaded.
type Holding struct {
	Label      string   `json:"label"`
	Generation uint64   `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// Registration is one heartbeat of an engine.
type Registration struct {
	Backend      string    `json:"backend"`
	Address      string    `json:"address"`
	Zone         string    `json:"zone"`
	Generation   string    `json:"generation"`
	Slots        int       `json:"slots"`
	State        string    `json:"state"`
	WarmUpLeftMs int64     `json:"cold-left-ms"`
	Phase        string    `json:"phase,omitempty"`
	Models       []Holding `json:"models,omitempty"`
	CallSeq      uint64    `json:"call-seq"`
	RemainingMs  int64     `json:"remaining-ms,omitempty"`
}

// Registered is the answer to a heartbeat.
type Registered struct {
	HeartbeatTarget string `json:"beat-target,omitempty"`
}

// Report is an engine's answer to a poll of its state.
type Report struct {
	Phase        string    `json:"phase"`
	Models       []Holding `json:"models"`
	Saturated    bool      `json:"saturated"`
	CallSeq      uint64    `json:"call-seq"`
	Queued       int       `json:"queued"`
	Active       int       `json:"active"`
	KVInUse      int64     `json:"kv-in-use"`
	KVSize       int64     `json:"kv-size"`
	ServedModels int       `json:"served-models"`
}

// Order is an order to an engine.
type Order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter,omitempty"`
	Expected  *uint64 `json:"expected,omitempty"`
	Owner     string  `json:"owner"`
	Fence     *uint64 `json:"fence-token"`
}

// Config is a complete configuration.
type Config struct {
	Generation uint64    `json:"generation"`
	Routes     []Route   `json:"route-table"`
	Backends   []Backend `json:"backends"`
	Limits     Limits    `json:"limits"`
	Tenants    []Tenant  `json:"clients,omitempty"`
}

// Route is one route of a configuration.
type Route struct {
	Label       string  `json:"label"`
	Authority   string  `json:"authority"`
	PathPrefix  string  `json:"path-prefix"`
	Class       string  `json:"route-class"`
	DeadlineMs  int64   `json:"deadline-ms"`
	TargetMs    int64   `json:"target-ms"`
	Urgency     int     `json:"urgency"`
	Backend     string  `json:"backend,omitempty"`
	Shares      []Share `json:"shares,omitempty"`
	Tries       int     `json:"tries"`
	Public      bool    `json:"public,omitempty"`
	Affine      bool    `json:"affine"`
	Resumable   bool    `json:"resumable"`
	GapTargetMs int64   `json:"gap-target-ms,omitempty"`
}

// Share is the weight of one service in a route.
type Share struct {
	Backend string `json:"backend"`
	Share   int64  `json:"share"`
}

// Backend is one service.
type Backend struct {
	Label      string    `json:"label"`
	HealthPath string    `json:"health-path"`
	MaxConns   int       `json:"max-conns"`
	Protocol   string    `json:"protocol"`
	TLS        bool      `json:"tls"`
	Engine     *EngineID `json:"engine-id,omitempty"`
}

// EngineID describes the engines of a service and their capacity.
type EngineID struct {
	Slots           int            `json:"slots"`
	KVCapacity      int64          `json:"kv-capacity"`
	KVTokenBytes    int64          `json:"kv-token-bytes"`
	LinkMbps        float64        `json:"link-mbps"`
	Stride          int            `json:"stride"`
	Models          []CatalogModel `json:"models"`
	WeightsMb       float64        `json:"weights-mb"`
	AdapterCapacity int            `json:"adapter-capacity"`
	LoadsPerS       float64        `json:"loads-per-s"`
}

// CatalogModel is one model of a service.
type CatalogModel struct {
	Label         string  `json:"label"`
	WeightsMb     float64 `json:"weights-mb"`
	LoadTimeS     float64 `json:"load-time-s"`
	Adapters      int     `json:"adapters"`
	AdapterSizeMb float64 `json:"adapter-size-mb"`
}

// Limits limit what a client may send.
type Limits struct {
	MaxHeaderBytes  int   `json:"max-header-bytes"`
	MaxBodyBytes    int64 `json:"max-body-bytes"`
	HeaderTimeoutMs int64 `json:"header-timeout-ms"`
	IdleTimeoutMs   int64 `json:"idle-timeout-ms"`
}

// Patch changes named items of a configuration.
type Patch struct {
	Generation uint64 `json:"generation"`
	Upsert     struct {
		Routes   []Route   `json:"route-table,omitempty"`
		Backends []Backend `json:"backends,omitempty"`
		Tenants  []Tenant  `json:"clients,omitempty"`
	} `json:"upsert"`
	Remove struct {
		Routes   []string `json:"route-table,omitempty"`
		Backends []string `json:"backends,omitempty"`
		Tenants  []string `json:"clients,omitempty"`
	} `json:"remove"`
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Class == Idempotent || r.Class == Streaming && r.Resumable
}

// Services lists the services the route sends to.
func (r *Route) Services() []string {
	if len(r.Shares) == 0 {
		return []string{r.Backend}
	}
	var out []string
	for _, share := range r.Shares {
		if share.Share > 0 {
			out = append(out, share.Backend)
		}
	}
	return out
}

// Find returns the host's route with the longest prefix of the path; nil if there is none.
func (c *Config) Find(host, path string) *Route {
	var found *Route
	for place := range c.Routes {
		route := &c.Routes[place]
		if strings.EqualFold(route.Authority, host) && strings.HasPrefix(path, route.PathPrefix) && (found == nil || len(route.PathPrefix) > len(found.PathPrefix)) {
			found = route
		}
	}
	return found
}

// Named returns the route of a label; nil if there is none.
func (c *Config) Named(label string) *Route {
	for place := range c.Routes {
		if c.Routes[place].Label == label {
			return &c.Routes[place]
		}
	}
	return nil
}

// Backend returns the service of a label; nil if there is none.
func (c *Config) Backend(label string) *Backend {
	for place := range c.Backends {
		if c.Backends[place].Label == label {
			return &c.Backends[place]
		}
	}
	return nil
}

// Fault says why a configuration is invalid on top of a version; empty is valid.
func (c *Config) Fault(base uint64) string {
	if c.Generation <= base {
		return "its generation is not above the current one"
	}
	services := map[string]bool{}
	for _, backend := range c.Backends {
		services[backend.Label] = true
	}
	places := map[[2]string]bool{}
	for place := range c.Routes {
		route := &c.Routes[place]
		where := [2]string{strings.ToLower(route.Authority), route.PathPrefix}
		if places[where] {
			return "two routes share host and prefix"
		}
		places[where] = true
		if route.DeadlineMs == 0 {
			return "a deadline is 0"
		}
		sum := int64(0)
		for _, share := range route.Shares {
			sum += share.Share
			if !services[share.Backend] {
				return "a route names an unknown service"
			}
		}
		if len(route.Shares) > 0 && sum == 0 {
			return "a route's weights add up to 0"
		}
		if len(route.Shares) == 0 && !services[route.Backend] {
			return "a route names an unknown service"
		}
	}
	return c.tenantFault()
}

// Clone copies a configuration deeply.
func (c *Config) Clone() *Config {
	out := new(Config)
	if err := json.Unmarshal(c.Encode(), out); err != nil {
		panic("broken invariant: a configuration cannot be read: " + err.Error())
	}
	return out
}

// Encode encodes a configuration as JSON.
func (c *Config) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("broken invariant: a configuration cannot be written: " + err.Error())
	}
	return data
}

// Apply returns the configuration that a patch makes of this one.
func (c *Config) Apply(patch Patch) *Config {
	out := c.Clone()
	out.Generation = patch.Generation
	for _, label := range patch.Remove.Routes {
		out.Routes = without(out.Routes, func(r Route) bool { return r.Label == label })
	}
	for _, label := range patch.Remove.Backends {
		out.Backends = without(out.Backends, func(b Backend) bool { return b.Label == label })
	}
	for _, route := range patch.Upsert.Routes {
		if old := out.Named(route.Label); old != nil {
			*old = route
		} else {
			out.Routes = append(out.Routes, route)
		}
	}
	for _, backend := range patch.Upsert.Backends {
		if old := out.Backend(backend.Label); old != nil {
			*old = backend
		} else {
			out.Backends = append(out.Backends, backend)
		}
	}
	out.applyTenants(patch)
	return out
}

func without[T any](list []T, drop func(T) bool) []T {
	out := []T{}
	for _, item := range list {
		if !drop(item) {
			out = append(out, item)
		}
	}
	return out
}
