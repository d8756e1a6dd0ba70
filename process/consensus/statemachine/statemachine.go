// Package statemachine is the whole replicated state of the group. Apply is its only writer,
// and every command carries the group's time as the leader stamped it, so all members agree.
package statemachine

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// Verdict is the outcome of a command.
type Outcome string

const (
	// Done: the command took effect, now or when it was first sent.
	Done Outcome = "done"
	// Conflict: it builds on something that is no longer current.
	Conflict Outcome = "conflict"
	// Forbidden: this operator may not do it.
	Forbidden Outcome = "forbidden"
	// Missing: what it names does not exist.
	Missing Outcome = "missing"
	// Waiting: it can't take effect yet.
	Waiting Outcome = "waiting"
	// Mismatch: the sender does not hold what it names.
	Mismatch Outcome = "mismatch"
	// Exhausted: nothing is left to give.
	Exhausted Outcome = "exhausted"
	// Malformed: it can't be read, or a field is wrong.
	Malformed Outcome = "malformed"
	// Unproven says that the state can't tell what became of the command's earlier copies; nothing was changed.
	Unproven Outcome = "unproven"
)

// Result is what a command gives back.
type Result struct {
	Outcome      Outcome         `json:"verdict"`
	Reason       string          `json:"reason,omitempty"`
	Grant        *workerid.Grant `json:"grant,omitempty"`
	Proposal     *Proposal       `json:"proposal,omitempty"`
	Closures     *closure.Set    `json:"closures,omitempty"`
	PlannerLease *PlannerLease   `json:"claim,omitempty"`
	// Epoch is the spec epoch in force after the command, Revision the operators' own number of it.
	Version  ident.Version  `json:"epoch,omitempty"`
	Revision ident.Revision `json:"revision,omitempty"`
	// Winner names the proposal that was rolled on the base a loser built on.
	Winner string `json:"winner,omitempty"`
}

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

// Snapshot gives the form that is kept on disk and sent to members who lag.
func (s *State) Snapshot() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("broken invariant: the replicated state cannot be encoded: " + err.Error())
	}
	return data
}

// Restore reads a snapshot.
func Restore(data []byte, options ...Option) (*State, error) {
	s := New(options...)
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if err := s.complete(); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, eris.Wrap(err, "a snapshot is not sound")
	}
	s.Workers.RebuildExpiries()
	if s.Revision == 0 {
		// Earlier builds counted no revisions, and each bundle that they put in force would have made one.
		s.Revision = ident.Revision(s.Version())
	}
	s.upgradeHistory()
	return s, nil
}

// Apply takes one committed command.
func (s *State) Apply(data []byte) Result {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Result{Outcome: Malformed, Reason: err.Error()}
	}
	// The group's time never goes back, whatever a leader stamped.
	s.Now = max(s.Now, command.At)
	result := s.dispatch(command)
	result.Version, result.Revision = s.Version(), s.Revision
	return result
}

func (s *State) dispatch(c Command) Result {
	span := time.Duration(c.LeaseMs) * time.Millisecond
	switch c.Op {
	case OpAcquire:
		grant, verdict := s.Workers.Acquire(c.NodeID, s.Now, span)
		s.confirmServing(c.NodeID, verdict)
		return grantResult(grant, verdict)
	case OpRenew:
		grant, verdict := s.Workers.Renew(c.NodeID, c.WorkerID, s.Now, span)
		s.confirmServing(c.NodeID, verdict)
		return grantResult(grant, verdict)
	case OpRelease:
		// Whoever lets go of its worker id has stopped serving.
		s.endIncarnation(c.NodeID, true)
		if s.Workers.Release(c.NodeID, c.WorkerID, c.LastTimestamp) == workerid.Mismatch {
			return Result{Outcome: Mismatch}
		}
		return Result{Outcome: Done}
	case OpReclaim:
		s.Workers.Reclaim(s.Now)
		return Result{Outcome: Done}
	case OpPropose:
		return s.propose(c)
	case OpReview, OpSignOff:
		return s.approve(c)
	case OpRollOut:
		return s.rollOut(c)
	case OpApply:
		return s.applyBundle(c)
	case OpClosure:
		return s.changeClosure(c)
	case OpProtect:
		return s.protect(c)
	case OpRegister:
		return s.registerDaemon(c)
	case OpDeclareLost:
		return s.declareLost(c)
	case OpEngineDeparted:
		return s.recordDeparture(c)
	case OpAcquirePlanner:
		return s.acquirePlannerLease(c)
	case OpReleasePlanner:
		if s.PlannerLease.NodeID == c.NodeID && s.PlannerLease.Expiry > s.Now {
			s.PlannerLease.Expiry = s.Now
		}
		if s.PlannerLease.NodeID == c.NodeID {
			// It let go for good, so a late word of it must not take the claim up again.
			s.PlannerLease.NodeID = ""
		}
		return Result{Outcome: Done}
	}
	return Result{Outcome: Malformed, Reason: "unknown op " + string(c.Op)}
}

func grantResult(grant workerid.Grant, verdict workerid.LeaseOutcome) Result {
	switch verdict {
	case workerid.Granted:
		return Result{Outcome: Done, Grant: &grant}
	case workerid.Exhausted:
		return Result{Outcome: Exhausted, Reason: "no worker id is free"}
	}
	return Result{Outcome: Mismatch, Reason: "no such tenure"}
}
