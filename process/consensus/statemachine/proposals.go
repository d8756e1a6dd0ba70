package statemachine

import (
	"slices"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/ident"
)

// Stage is how far a proposal has come.
type Stage string

const (
	// StageProposed: submitted, not reviewed yet.
	StageProposed Stage = "proposed"
	// StageReviewed: reviewed, not signed off yet.
	StageReviewed Stage = "reviewed"
	// StageSigned: signed off, not in force yet.
	StageSigned Stage = "signed"
	// StageRolledOut: it was put in force, and got a version.
	StageRolledOut Stage = "rolled"
	// StageSuperseded: another proposal on the same base was put in force first.
	StageSuperseded Stage = "lost"
)

// final says whether a proposal in this stage takes no more approvals.
func (s Stage) final() bool { return s == StageSuperseded || s == StageRolledOut }

// OperatorAction is one operator's action on a proposal: who, when, and the operator's own note.
type OperatorAction struct {
	Operator string          `json:"operator"`
	At       ident.GroupTime `json:"at"`
	Note     string          `json:"note,omitempty"`
}

// Proposal is one configuration that was proposed, or applied in one step.
type Proposal struct {
	ID string `json:"proposalId"`
	// Base is the version in force that it builds on, Version the one that it made, 0 before it was put in force.
	Base      ident.Version    `json:"base"`
	Stage     Stage            `json:"stage"`
	Proposed  OperatorAction   `json:"proposed"`
	Reviews   []OperatorAction `json:"reviews,omitempty"`
	SignOffs  []OperatorAction `json:"signs,omitempty"`
	RolledOut *OperatorAction  `json:"rolled,omitempty"`
	Version   ident.Version    `json:"epoch,omitempty"`
	// Configuration is the document's bytes, compressed where Compressed says so; empty where they were dropped.
	Configuration []byte         `json:"spec,omitempty"`
	Compressed    bool           `json:"packed,omitempty"`
	Revision      ident.Revision `json:"revision,omitempty"`
	// Applied says that it came in force in one step, by an operator alone.
	Applied bool `json:"applied,omitempty"`
}

// Decompress gives the configuration as it was submitted; nothing where it was dropped.
func (p *Proposal) Decompress() ([]byte, error) { return p.Bundle().Raw() }

// Bundle gives the configuration in the form in which it travels.
func (p *Proposal) Bundle() compression.Bundle {
	return compression.Bundle{Data: p.Configuration, Compressed: p.Compressed}
}

// withoutConfiguration is a copy without the configuration's bytes, for results.
func (p *Proposal) withoutConfiguration() *Proposal {
	copied := *p
	copied.Configuration = nil
	return &copied
}

// result is a result that shows the proposal.
func (p *Proposal) result(outcome Outcome, reason string) Result {
	return Result{Outcome: outcome, Reason: reason, Proposal: p.withoutConfiguration()}
}

// updateStage is the one function that moves an open proposal to its next stage.
func (p *Proposal) updateStage() {
	switch {
	case len(p.SignOffs) > 0:
		p.Stage = StageSigned
	case len(p.Reviews) > 0:
		p.Stage = StageReviewed
	}
}

// operatorAction is what a command by an operator leaves in a proposal.
func (s *State) operatorAction(command Command) OperatorAction {
	return OperatorAction{Operator: command.Operator, At: s.Now, Note: command.Note}
}

// propose adds a proposal. The same one sent again finds itself, so a lost response can be asked for anew.
func (s *State) propose(command Command) Result {
	if known := s.Proposals[command.ProposalID]; known != nil {
		if known.Base == command.Base && known.Proposed.Operator == command.Operator && slices.Equal(known.Configuration, command.Configuration) {
			return known.result(Done, "")
		}
		return known.result(Conflict, "this proposal id belongs to another configuration")
	}
	if isAppliedID(command.ProposalID) {
		return Result{Outcome: Malformed, Reason: "ids that begin so are reserved for configurations applied in one step"}
	}
	if command.Base != s.Version() {
		return s.baseConflict(command.Base)
	}
	if command.Revision > MaxRevision {
		return Result{Outcome: Malformed, Reason: "the revision is higher than any may be"}
	}
	proposal := &Proposal{
		ID:            command.ProposalID,
		Base:          command.Base,
		Stage:         StageProposed,
		Proposed:      s.operatorAction(command),
		Configuration: command.Configuration,
		Revision:      command.Revision,
	}
	s.Proposals[proposal.ID] = proposal
	return proposal.result(Done, "")
}

// approve adds a review or, for OpSignOff, a sign-off. One operator's approval counts once.
func (s *State) approve(command Command) Result {
	proposal := s.Proposals[command.ProposalID]
	if proposal == nil {
		return Result{Outcome: Missing, Reason: "no such proposal"}
	}
	approvals := &proposal.Reviews
	if command.Op == OpSignOff {
		approvals = &proposal.SignOffs
	}
	byOperator := func(action OperatorAction) bool { return action.Operator == command.Operator }
	switch {
	case slices.ContainsFunc(*approvals, byOperator):
		return proposal.result(Done, "")
	case proposal.Stage.final():
		return proposal.result(Conflict, "the proposal is "+string(proposal.Stage))
	case command.Op == OpSignOff && command.Operator == proposal.Proposed.Operator:
		return proposal.result(Forbidden, "an author may not sign off the own configuration")
	case command.Op == OpSignOff && len(proposal.Reviews) == 0:
		return proposal.result(Forbidden, "the configuration has not been reviewed")
	}
	*approvals = append(*approvals, s.operatorAction(command))
	proposal.updateStage()
	return proposal.result(Done, "")
}

// rollOut puts a signed proposal in force.
func (s *State) rollOut(command Command) Result {
	proposal := s.Proposals[command.ProposalID]
	if proposal == nil {
		return Result{Outcome: Missing, Reason: "no such proposal"}
	}
	switch {
	case proposal.Stage == StageRolledOut:
		return proposal.result(Done, "")
	case proposal.Base != s.Version():
		result := s.baseConflict(proposal.Base)
		result.Proposal = proposal.withoutConfiguration()
		return result
	case s.Revision >= MaxRevision:
		return proposal.result(Exhausted, "no revision is left")
	case proposal.Stage != StageSigned:
		return proposal.result(Forbidden, "the configuration has not been signed off")
	}
	s.putInForce(proposal, s.operatorAction(command))
	return proposal.result(Done, "")
}

// baseConflict refuses what builds on a version that is no longer, or not yet, in force.
func (s *State) baseConflict(base ident.Version) Result {
	result := Result{Outcome: Conflict, Reason: "the base is not the version in force"}
	if winner, known := s.ProposalAt(base + 1); known {
		result.Winner = winner.ID
	}
	return result
}
