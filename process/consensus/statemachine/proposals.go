package statemachine

import (
	"slices"

	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/ident"
)

// Stage is how far a proposal has come.
type Stage string

const (
	// Proposed: handed in, not reviewed yet.
	StageProposed Stage = "proposed"
	// Reviewed: reviewed, not signed off yet.
	StageReviewed Stage = "reviewed"
	// Signed: signed off, not in force yet.
	StageSigned Stage = "signed"
	// Rolled: it came in force as an epoch.
	StageRolledOut Stage = "rolled"
	// Lost: another proposal on the same base came in force first.
	StageSuperseded Stage = "lost"
)

// Mark is one operator's act on a proposal.
type OperatorAction struct {
	Operator string          `json:"operator"`
	At       ident.GroupTime `json:"at"`
	Note     string          `json:"note,omitempty"`
}

// Proposal is one bundle on its way to being in force.
type Proposal struct {
	ID            string           `json:"proposalId"`
	Base          ident.Version    `json:"base"`
	Stage         Stage            `json:"stage"`
	Proposed      OperatorAction   `json:"proposed"`
	Reviews       []OperatorAction `json:"reviews,omitempty"`
	SignOffs      []OperatorAction `json:"signs,omitempty"`
	RolledOut     *OperatorAction  `json:"rolled,omitempty"`
	Version       ident.Version    `json:"epoch,omitempty"`
	Configuration []byte           `json:"spec,omitempty"`
	// Packed says that Spec is compressed; Bundle gives it back.
	Compressed bool           `json:"packed,omitempty"`
	Revision   ident.Revision `json:"revision,omitempty"`
	// Applied says that it came in force in one step, by an operator alone.
	Applied bool `json:"applied,omitempty"`
}

func (s *State) propose(c Command) Result {
	if known := s.Proposals[c.ProposalID]; known != nil {
		// The same proposal sent again finds itself, so a lost answer can be asked for anew.
		if known.Base == c.Base && known.Proposed.Operator == c.Operator && slices.Equal(known.Configuration, c.Configuration) {
			return Result{Outcome: Done, Proposal: known.withoutConfiguration()}
		}
		return Result{Outcome: Conflict, Reason: "this proposal id stands for another bundle", Proposal: known.withoutConfiguration()}
	}
	if reserved(c.ProposalID) {
		return Result{Outcome: Malformed, Reason: "ids that begin so are for bundles applied in one step"}
	}
	if c.Base != s.Version() {
		return s.baseConflict(c.Base)
	}
	if c.Revision > MaxRevision {
		return Result{Outcome: Malformed, Reason: "the revision is higher than any may be"}
	}
	made := &Proposal{ID: c.ProposalID, Base: c.Base, Stage: StageProposed, Configuration: c.Configuration, Revision: c.Revision,
		Proposed: OperatorAction{Operator: c.Operator, At: s.Now, Note: c.Note}}
	s.Proposals[c.ProposalID] = made
	return Result{Outcome: Done, Proposal: made.withoutConfiguration()}
}

func (s *State) approve(c Command) Result {
	proposal := s.Proposals[c.ProposalID]
	if proposal == nil {
		return Result{Outcome: Missing, Reason: "no such proposal"}
	}
	mark := OperatorAction{Operator: c.Operator, At: s.Now, Note: c.Note}
	done := &proposal.Reviews
	if c.Op == OpSignOff {
		done = &proposal.SignOffs
	}
	if slices.ContainsFunc(*done, func(m OperatorAction) bool { return m.Operator == c.Operator }) {
		return Result{Outcome: Done, Proposal: proposal.withoutConfiguration()}
	}
	if proposal.Stage == StageSuperseded || proposal.Stage == StageRolledOut {
		return Result{Outcome: Conflict, Reason: "the proposal is " + string(proposal.Stage), Proposal: proposal.withoutConfiguration()}
	}
	if c.Op == OpSignOff {
		if c.Operator == proposal.Proposed.Operator {
			return Result{Outcome: Forbidden, Reason: "an author may not sign off the own bundle", Proposal: proposal.withoutConfiguration()}
		}
		if len(proposal.Reviews) == 0 {
			return Result{Outcome: Forbidden, Reason: "the bundle has not been reviewed", Proposal: proposal.withoutConfiguration()}
		}
	}
	*done = append(*done, mark)
	proposal.advance()
	return Result{Outcome: Done, Proposal: proposal.withoutConfiguration()}
}

// advance is the one place where an open proposal moves on.
func (p *Proposal) advance() {
	switch {
	case len(p.SignOffs) > 0:
		p.Stage = StageSigned
	case len(p.Reviews) > 0:
		p.Stage = StageReviewed
	}
}

func (s *State) rollOut(c Command) Result {
	proposal := s.Proposals[c.ProposalID]
	if proposal == nil {
		return Result{Outcome: Missing, Reason: "no such proposal"}
	}
	switch {
	case proposal.Stage == StageRolledOut:
		return Result{Outcome: Done, Proposal: proposal.withoutConfiguration()}
	case proposal.Base != s.Version():
		result := s.baseConflict(proposal.Base)
		result.Proposal = proposal.withoutConfiguration()
		return result
	case s.Revision >= MaxRevision:
		return Result{Outcome: Exhausted, Reason: "no revision is left", Proposal: proposal.withoutConfiguration()}
	case proposal.Stage != StageSigned:
		return Result{Outcome: Forbidden, Reason: "the bundle has not been signed off", Proposal: proposal.withoutConfiguration()}
	}
	s.putInForce(proposal, OperatorAction{Operator: c.Operator, At: s.Now, Note: c.Note})
	return Result{Outcome: Done, Proposal: proposal.withoutConfiguration()}
}

// lostTo answers one whose base is no longer, or not yet, in force.
func (s *State) baseConflict(base ident.Version) Result {
	result := Result{Outcome: Conflict, Reason: "the base is not the epoch in force"}
	if winner, ok := s.ProposalAt(base + 1); ok {
		result.Winner = winner.ID
	}
	return result
}

// Bundle gives the bundle as it was handed in; nothing where it is no longer kept.
func (p *Proposal) Decompress() ([]byte, error) {
	return p.Bundle().Raw()
}

// Packing gives the bundle as it travels.
func (p *Proposal) Bundle() compression.Bundle {
	return compression.Bundle{Data: p.Configuration, Compressed: p.Compressed}
}

// brief is a copy without the bundle itself.
func (p *Proposal) withoutConfiguration() *Proposal {
	copied := *p
	copied.Configuration = nil
	return &copied
}
