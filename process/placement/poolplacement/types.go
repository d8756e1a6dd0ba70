// Package poolplacement decides which engine of a pool holds which models and adapters, and orders it. The
// plan is a pure step over the catalogue, the registered engines, the demand of the fleet and the engines'
// reports; the actor beside it holds the claim, asks for the reports, and stamps and sends the orders.
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

// Order is one order to one life of an engine. With an adapter it concerns that adapter alone.
type Order struct {
	Engine         ident.EngineID
	Kind           Kind
	Model, Adapter string
	// Expected is how many orders the engine must have taken; it refuses where that differs.
	Expected uint64
	// Owner and Claim are the fence. Stamp is the minted id of this order: it stays on our side.
	Owner string
	Claim ident.FencingToken
	Stamp ident.SnowflakeID
}

// Target is what the order is about.
func (o Order) Target() registry.Target { return registry.Target{Model: o.Model, Adapter: o.Adapter} }

// OrderOutcome is what became of an order as far as its sender knows.
type OrderOutcome uint8

const (
	// NoAnswer: it may have been taken, or not.
	NoAnswer OrderOutcome = iota
	// NotSent: not a byte of it left.
	NotSent
	// Accepted: it is being done.
	Accepted
	// AlreadyDone: what it wants holds already.
	AlreadyDone
	// Refused: another is under way, or the engine has taken another number of orders.
	Refused
	// Fenced: the engine has seen a higher claim.
	Fenced
	// WrongEngine: another engine answers at that address.
	WrongEngine
	// Malformed: the engine knows no such order.
	Malformed
)

// Report is what an engine says of itself when asked; it lags by some hundred milliseconds.
type Report struct {
	Models []registry.LoadedModel
	// Saturated says that an order is under way, Taken how many orders were taken in this life.
	Saturated bool
	Accepted  uint64
	// Active and Queued count requests; MemoryUsed can't give way, both in tokens.
	Active, Queued     int
	MemoryUsed, Memory int64
}

// EngineClient speaks to engines in the way of a deployment.
type EngineClient interface {
	// Report asks an engine about itself; any other engine at that address must give an error.
	Report(ctx context.Context, address string, id ident.EngineID) (Report, error)
	// Order gives one order on a connection of its own, once. mayLeave is asked right before the first byte,
	// and nothing is left on its way when ctx ends.
	Order(ctx context.Context, address string, order Order, mayLeave func() bool) OrderOutcome
}

// Settings are the times of a deployment.
type Settings struct {
	// Owner names the holder of a claim towards engines.
	Owner string
	// Window is the span over which loads from the store are counted.
	Window time.Duration
	// LeaseSpan is how long a claim lasts, longer than an election takes, Gap the quiet time between two claims, Renew how often it is prolonged.
	LeaseSpan, LeaseGap, RenewInterval time.Duration
	// OrderTimeout is how long an order may be on its way and its answer waited for.
	OrderTimeout time.Duration
	// EvictionNotice is how long before an unload all daemons hear of it, where somebody uses what goes.
	EvictionNotice time.Duration
	// IdleReportInterval and Busy are how often an engine is asked for its report, at rest and while an order is under way.
	IdleReportInterval, BusyReportInterval time.Duration
	// PublishWeights has daemons told what share of its usual requests an ill engine is to get; where none goes by it, it
	// would only be more news.
	PublishWeights bool
	// ReplaceUnhealthy has what an engine holds that nearly always fails stand elsewhere too.
	ReplaceUnhealthy bool
	// Off are the mechanisms that an experiment goes without.
	Off featuregates.Set
	// PlanInterval is how often the plan is made, Look how often it is seen whom to ask for a report.
	PlanInterval, PollInterval time.Duration
}

// DefaultSettings are for a deployment whose holders of the claim must not take turns within the lease.
func DefaultSettings(owner string, lease time.Duration) Settings {
	s := Settings{Owner: owner, Window: 5 * time.Second, LeaseSpan: 3 * time.Second, RenewInterval: 500 * time.Millisecond, OrderTimeout: 800 * time.Millisecond,
		EvictionNotice: 250 * time.Millisecond, IdleReportInterval: time.Second, BusyReportInterval: 150 * time.Millisecond, PlanInterval: 100 * time.Millisecond, PollInterval: 50 * time.Millisecond}
	// An order may reach its engine as late as its limit after the claim was last looked at.
	s.LeaseGap = lease + s.OrderTimeout
	return s
}

// Demand is what the whole fleet asks for of one model and adapter of a pool.
type Demand struct {
	Pool            string
	Model, Adapter  string
	Queued, Running int
	// Tokens and Arrivals are smoothed numbers a second.
	Tokens, Arrivals float64
	// OldestWait is how long the oldest held request has waited, Rank the most urgent rank of those held.
	OldestWait time.Duration
	Rank       int
}

// Input is what one step looks at.
type Input struct {
	Now     clock.Mark
	Section *upstream.Section
	View    *registry.View
	Demand  []Demand
	// Closed says that nothing new may go to an engine, so that what it holds is no copy; nil is never. Emptying are
	// those whose copies don't count any more, since they are to be shut.
	Closed   func(*registry.Engine) bool
	Draining map[ident.EngineID]bool
	// Outcomes is what daemons told of their attempts since the last step.
	Outcomes []outlier.Observation
}

// Unplaced is something that is asked for, stands nowhere, and is not likely to be there before Wait has passed.
type Unplaced struct {
	Pool           string
	Model, Adapter string
	Wait           time.Duration
}
