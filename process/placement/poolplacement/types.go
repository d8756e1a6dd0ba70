package poolplacement

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Kind says what an order wants done.
type Kind string

const (
	// Load: load what the order names from the store.
	Load Kind = "load"
	// Evict: drop what the order names.
	Evict Kind = "evict"
)

// Order is one order to one incarnation of an engine. With an adapter it concerns that adapter alone.
type Order struct {
	Engine         ident.EngineID
	Kind           Kind
	Model, Adapter string
	// Expected is how many orders the engine must have taken; it refuses where that differs.
	Expected uint64
	// Owner and Claim, the planner's fencing token, fence it. Stamp is the minted id of this order; it is not sent.
	Owner string
	Claim ident.FencingToken
	Stamp ident.SnowflakeID
}

// Target is what the order is about.
func (o Order) Target() registry.Target { return registry.Target{Model: o.Model, Adapter: o.Adapter} }

// OrderOutcome is what became of an order as far as its sender knows.
type OrderOutcome uint8

const (
	// NoAnswer: it may have been accepted, or not.
	NoAnswer OrderOutcome = iota
	// NotSent: not a byte of it was sent.
	NotSent
	// Accepted: the engine is carrying it out.
	Accepted
	// AlreadyDone: the engine is in the ordered state already.
	AlreadyDone
	// Refused: another is in progress, or the engine has accepted another number of orders.
	Refused
	// Fenced: the engine has seen a higher fencing token.
	Fenced
	// WrongEngine: another engine answers at that address.
	WrongEngine
	// Malformed: the engine knows no such order.
	Malformed
)

// Report is what an engine says of itself when asked; it lags behind by some hundred milliseconds.
type Report struct {
	Models []registry.LoadedModel
	// Saturated says that an order is in progress, Accepted how many orders this incarnation has accepted.
	Saturated bool
	Accepted  uint64
	// Active and Queued count requests; MemoryUsed can't be evicted; both are in tokens.
	Active, Queued     int
	MemoryUsed, Memory int64
}

// EngineClient speaks to engines in the way of a deployment.
type EngineClient interface {
	// Report asks an engine about itself; any other engine at that address must give an error.
	Report(ctx context.Context, address string, id ident.EngineID) (Report, error)
	// Order sends one order on a connection of its own, once. mayLeave is called right before the first byte, and nothing
	// is in transit any more when ctx has ended.
	Order(ctx context.Context, address string, order Order, mayLeave func() bool) OrderOutcome
}

// Settings are the times of a deployment.
type Settings struct {
	// Owner names the lease holder towards engines.
	Owner string
	// Window is the span over which loads from the store are counted.
	Window time.Duration
	// LeaseSpan is how long a lease lasts, longer than an election takes; LeaseGap the time without orders between two
	// leases; RenewInterval how often it is renewed.
	LeaseSpan, LeaseGap, RenewInterval time.Duration
	// OrderTimeout is how long an order may be on its way and its answer waited for.
	OrderTimeout time.Duration
	// EvictionNotice is how long before an eviction it is published, where the target is in use.
	EvictionNotice time.Duration
	// IdleReportInterval and BusyReportInterval are how often an engine's report is requested, without and with a pending
	// order.
	IdleReportInterval, BusyReportInterval time.Duration
	// PublishWeights publishes the share of its usual requests that an unhealthy engine is to get. Where no daemon uses
	// it, it would only be more traffic.
	PublishWeights bool
	// ReplaceUnhealthy has the models of an engine that nearly always fails loaded elsewhere too.
	ReplaceUnhealthy bool
	// Off are the mechanisms that an experiment has switched off.
	Off featuregates.Set
	// PlanInterval is how often a step is made, PollInterval how often it is checked which reports are due.
	PlanInterval, PollInterval time.Duration
}

// DefaultSettings are for a deployment whose planners must not alternate within the engines' lease time.
func DefaultSettings(owner string, lease time.Duration) Settings {
	s := Settings{Owner: owner, Window: 5 * time.Second, LeaseSpan: 3 * time.Second, RenewInterval: 500 * time.Millisecond, OrderTimeout: 800 * time.Millisecond,
		EvictionNotice: 250 * time.Millisecond, IdleReportInterval: time.Second, BusyReportInterval: 150 * time.Millisecond, PlanInterval: 100 * time.Millisecond, PollInterval: 50 * time.Millisecond}
	// An order may reach its engine as late as its limit after the lease was last checked.
	s.LeaseGap = lease + s.OrderTimeout
	return s
}

// Demand is what the whole fleet requests of one model and adapter of a pool.
type Demand struct {
	Pool            string
	Model, Adapter  string
	Queued, Running int
	// Tokens and Arrivals are smoothed numbers a second.
	Tokens, Arrivals float64
	// OldestWait is how long the oldest queued request has waited, Rank the most urgent rank of those queued.
	OldestWait time.Duration
	Rank       int
}

// Input is what one step looks at.
type Input struct {
	Now     clock.Mark
	Section *upstream.Section
	View    *registry.View
	Demand  []Demand
	// Closed says that nothing new may go to an engine, so that what it has loaded is no replica; nil is never. Draining are
	// those whose replicas don't count any more, since they are about to be closed.
	Closed   func(*registry.Engine) bool
	Draining map[ident.EngineID]bool
	// Outcomes is what daemons reported of their attempts since the last step.
	Outcomes []outlier.Observation
}

// Unplaced is something that is requested, has no replica, and is not likely to be loaded before Wait has passed.
type Unplaced struct {
	Pool           string
	Model, Adapter string
	Wait           time.Duration
}
