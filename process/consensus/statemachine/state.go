package statemachine

import (
	"cmp"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// State is the replicated state.
type State struct {
	Now       ident.GroupTime      `json:"now"`
	Workers   *workerid.Table      `json:"workers"`
	Proposals map[string]*Proposal `json:"proposals"`
	// History lists the proposals in force by epoch, the newest last; it begins after the Dropped oldest ones.
	History []string      `json:"history"`
	Dropped ident.Version `json:"dropped,omitempty"`
	// Lasting holds, of the dropped epochs, the proposals that stay known: the first, and all that were signed off.
	PermanentHistory map[ident.Version]string `json:"lasting,omitempty"`
	// Revision is the operators' own number of the bundle in force: it rises with each bundle.
	Revision ident.Revision `json:"revision,omitempty"`
	// ProvenFrom is the lowest base on which an order that is not remembered is proved never to have been taken.
	AppliesKnownFrom ident.Revision `json:"provenFrom,omitempty"`
	// RefusedAhead lists the orders that were refused while their base was above the revision in force, until
	// the revision in force has passed that base. Refused holds those that an earlier build wrote down without it.
	RejectedAhead   []RejectedApply `json:"refusedAhead,omitempty"`
	RejectedDigests []string        `json:"refused,omitempty"`
	Closures        closure.Set     `json:"closures"`
	// Acts lists the newest closures and openings.
	ClosureChanges []ClosureChange `json:"acts,omitempty"`
	// RefusedActs lists the closures that were refused while their base was above the closures in force, until
	// those have passed it.
	RejectedClosures []ClosureChange `json:"refusedActs,omitempty"`
	// Ranked is the newest order of the ranking.
	LastRanking  RankingDecision `json:"ranked,omitzero"`
	PlannerLease PlannerLease    `json:"claim"`
	// Serving holds every daemon that may be serving: it has enlisted, and has neither stopped as planned,
	// nor been followed by another life of its name, nor been declared lost.
	Serving map[ident.NodeID]ServingDaemon `json:"serving,omitempty"`
	// Ended lists the newest lives that have stopped or were followed, so that no late ENLIST takes one up again.
	EndedIncarnations []EndedIncarnation `json:"ended,omitempty"`
	// Left lists the engines that said they leave, the newest last; Leaves counts all there ever were.
	DepartedEngines []DepartedEngine `json:"left,omitempty"`
	Departures      uint64           `json:"leaves,omitempty"`

	limits Limits
}

// Option changes how a state is made.
type Option func(*State)

// WithLimits replaces how much is remembered of orders; what is not given stays. All members of a group must have
// the same limits.
func WithLimits(limits Limits) Option {
	return func(s *State) {
		s.limits.Versions = cmp.Or(limits.Versions, s.limits.Versions)
		s.limits.RejectedApplies = cmp.Or(limits.RejectedApplies, s.limits.RejectedApplies)
	}
}

// New makes the state before the first entry.
func New(options ...Option) *State {
	s := &State{
		Workers:   workerid.New(),
		Proposals: map[string]*Proposal{},
		Closures:  closure.Set{Zones: map[ident.ZoneID]closure.Record{}, Engines: map[ident.EngineID]closure.Record{}},
		Serving:   map[ident.NodeID]ServingDaemon{},
		limits:    DefaultLimits(),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Limits bounds what is remembered of orders.
type Limits struct {
	// Taken is how many of the newest epochs are remembered, Refused how many refused orders on bases to come.
	Versions, RejectedApplies int
}

// DefaultLimits gives the bounds of the design.
func DefaultLimits() Limits {
	return Limits{Versions: maxVersions, RejectedApplies: maxRejectedApplies}
}
