package statemachine

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// Stage is how far a proposal has come.
type Stage string

const (
	// Proposed: handed in, not reviewed yet.
	Proposed Stage = "proposed"
	// Reviewed: reviewed, not signed off yet.
	Reviewed Stage = "reviewed"
	// Signed: signed off, not in force yet.
	Signed Stage = "signed"
	// Rolled: it came in force as an epoch.
	Rolled Stage = "rolled"
	// Lost: another proposal on the same base came in force first.
	Lost Stage = "lost"
)

// Mark is one operator's act on a proposal.
type Mark struct {
	Operator string          `json:"operator"`
	At       ident.GroupTime `json:"at"`
	Note     string          `json:"note,omitempty"`
}

// Proposal is one bundle on its way to being in force.
type Proposal struct {
	ID       string        `json:"proposalId"`
	Base     ident.Version `json:"base"`
	Stage    Stage         `json:"stage"`
	Proposed Mark          `json:"proposed"`
	Reviews  []Mark        `json:"reviews,omitempty"`
	Signs    []Mark        `json:"signs,omitempty"`
	Rolled   *Mark         `json:"rolled,omitempty"`
	Epoch    ident.Version `json:"epoch,omitempty"`
	Spec     []byte        `json:"spec,omitempty"`
	// Packed says that Spec is compressed; Bundle gives it back.
	Packed   bool           `json:"packed,omitempty"`
	Revision ident.Revision `json:"revision,omitempty"`
	// Applied says that it came in force in one step, by an operator alone.
	Applied bool `json:"applied,omitempty"`
}

func (s *State) propose(c Command) Result {
	if known := s.Proposals[c.ProposalID]; known != nil {
		// The same proposal sent again finds itself, so a lost answer can be asked for anew.
		if known.Base == c.Base && known.Proposed.Operator == c.Operator && slices.Equal(known.Spec, c.Spec) {
			return Result{Verdict: Done, Proposal: known.brief()}
		}
		return Result{Verdict: Conflict, Reason: "this proposal id stands for another bundle", Proposal: known.brief()}
	}
	if reserved(c.ProposalID) {
		return Result{Verdict: Malformed, Reason: "ids that begin so are for bundles applied in one step"}
	}
	if c.Base != s.Epoch() {
		return s.lostTo(c.Base)
	}
	if c.Revision > MostRevision {
		return Result{Verdict: Malformed, Reason: "the revision is higher than any may be"}
	}
	made := &Proposal{ID: c.ProposalID, Base: c.Base, Stage: Proposed, Spec: c.Spec, Revision: c.Revision,
		Proposed: Mark{Operator: c.Operator, At: s.Now, Note: c.Note}}
	s.Proposals[c.ProposalID] = made
	return Result{Verdict: Done, Proposal: made.brief()}
}

// lostTo answers one whose base is no longer, or not yet, in force.
func (s *State) lostTo(base ident.Version) Result {
	result := Result{Verdict: Conflict, Reason: "the base is not the epoch in force"}
	if winner, ok := s.At(base + 1); ok {
		result.Winner = winner.ID
	}
	return result
}

func (s *State) mark(c Command) Result {
	proposal := s.Proposals[c.ProposalID]
	if proposal == nil {
		return Result{Verdict: Missing, Reason: "no such proposal"}
	}
	mark := Mark{Operator: c.Operator, At: s.Now, Note: c.Note}
	done := &proposal.Reviews
	if c.Op == OpSign {
		done = &proposal.Signs
	}
	if slices.ContainsFunc(*done, func(m Mark) bool { return m.Operator == c.Operator }) {
		return Result{Verdict: Done, Proposal: proposal.brief()}
	}
	if proposal.Stage == Lost || proposal.Stage == Rolled {
		return Result{Verdict: Conflict, Reason: "the proposal is " + string(proposal.Stage), Proposal: proposal.brief()}
	}
	if c.Op == OpSign {
		if c.Operator == proposal.Proposed.Operator {
			return Result{Verdict: Forbidden, Reason: "an author may not sign off the own bundle", Proposal: proposal.brief()}
		}
		if len(proposal.Reviews) == 0 {
			return Result{Verdict: Forbidden, Reason: "the bundle has not been reviewed", Proposal: proposal.brief()}
		}
	}
	*done = append(*done, mark)
	proposal.advance()
	return Result{Verdict: Done, Proposal: proposal.brief()}
}

// advance is the one place where an open proposal moves on.
func (p *Proposal) advance() {
	switch {
	case len(p.Signs) > 0:
		p.Stage = Signed
	case len(p.Reviews) > 0:
		p.Stage = Reviewed
	}
}

func (s *State) roll(c Command) Result {
	proposal := s.Proposals[c.ProposalID]
	if proposal == nil {
		return Result{Verdict: Missing, Reason: "no such proposal"}
	}
	switch {
	case proposal.Stage == Rolled:
		return Result{Verdict: Done, Proposal: proposal.brief()}
	case proposal.Base != s.Epoch():
		result := s.lostTo(proposal.Base)
		result.Proposal = proposal.brief()
		return result
	case s.Revision >= MostRevision:
		return Result{Verdict: Exhausted, Reason: "no revision is left", Proposal: proposal.brief()}
	case proposal.Stage != Signed:
		return Result{Verdict: Forbidden, Reason: "the bundle has not been signed off", Proposal: proposal.brief()}
	}
	s.putInForce(proposal, Mark{Operator: c.Operator, At: s.Now, Note: c.Note})
	return Result{Verdict: Done, Proposal: proposal.brief()}
}

// brief is a copy without the bundle itself.
func (p *Proposal) brief() *Proposal {
	copied := *p
	copied.Spec = nil
	return &copied
}
