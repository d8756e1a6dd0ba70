package statemachine

import (
	"cmp"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// State is the replicated state. Its fields are exported for the encoding and for readers; only Apply changes them.
type State struct {
	// Now is the group's time as of the last applied command.
	Now ident.GroupTime `json:"now"`
	// Workers holds the leases of worker ids.
	Workers *workerid.Table `json:"workers"`
	// Proposals holds, by id, the open proposals and those of the history.
	Proposals map[string]*Proposal `json:"proposals"`
	// History lists the ids of the proposals put in force, by version, the newest last. The oldest Dropped ones are
	// left out.
	History []string      `json:"history"`
	Dropped ident.Version `json:"dropped,omitempty"`
	// PermanentHistory holds, of the dropped versions, the proposals that stay known: the first, and all that were
	// signed off.
	PermanentHistory map[ident.Version]string `json:"lasting,omitempty"`
	// Revision is the operators' own number of the configuration in force: it rises with each one.
	Revision ident.Revision `json:"revision,omitempty"`
	// AppliesKnownFrom is the lowest base on which an apply request that is not remembered is proved never to have
	// taken effect.
	AppliesKnownFrom ident.Revision `json:"provenFrom,omitempty"`
	// RejectedAhead lists the apply requests that were refused while their base was above the revision in force, until
	// the revision in force has passed that base. RejectedDigests holds those that an earlier build recorded without it.
	RejectedAhead   []RejectedApply `json:"refusedAhead,omitempty"`
	RejectedDigests []string        `json:"refused,omitempty"`
	// Closures holds the closed zones and draining engines.
	Closures closure.Set `json:"closures"`
	// ClosureChanges lists the newest changes of the closures, the newest last.
	ClosureChanges []ClosureChange `json:"acts,omitempty"`
	// RejectedClosures lists the changes that were refused while their base was above the closures in force, until
	// those have passed it.
	RejectedClosures []ClosureChange `json:"refusedActs,omitempty"`
	// LastRanking is the newest decision of the ranking that took effect.
	LastRanking RankingDecision `json:"ranked,omitzero"`
	// PlannerLease is the newest lease of the planner, which may have expired.
	PlannerLease PlannerLease `json:"claim"`
	// Serving holds every daemon that may be serving: it has registered, and has neither stopped as planned,
	// nor been followed by another incarnation of its name, nor been declared lost.
	Serving map[ident.NodeID]ServingDaemon `json:"serving,omitempty"`
	// EndedIncarnations lists the newest incarnations that have stopped or were followed by another, so that no late
	// OpRegister starts one again.
	EndedIncarnations []EndedIncarnation `json:"ended,omitempty"`
	// DepartedEngines lists the engines that announced their shutdown, the newest last; Departures counts all there
	// ever were.
	DepartedEngines []DepartedEngine `json:"left,omitempty"`
	Departures      uint64           `json:"leaves,omitempty"`
	// FeatureLevel is the level of the commands that the group may use.
	FeatureLevel FeatureLevel `json:"level,omitempty"`
	// Calls lists the newest calls of operators with their outcomes, the newest last. CallsKnownFrom is the group's time
	// up to which some were forgotten.
	Calls          []RememberedCall `json:"calls,omitempty"`
	CallsKnownFrom ident.GroupTime  `json:"callsKnownFrom,omitempty"`

	limits Limits
}

// Option changes how a state is made.
type Option func(*State)

// WithLimits replaces how much is remembered of apply requests; a limit of zero stays as it is. All members of a group
// must have the same limits.
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
