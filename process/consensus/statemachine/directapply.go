package statemachine

import (
	"strings"

	"github.com/cresspond/cresspond/ident"
)

const (
	// appliedPrefix begins the ids of bundles that were applied in one step; no proposal may take such an id.
	appliedPrefix = "apply:"
	// maxVersions is how many orders that were taken are known by their digest. One that is forgotten has no
	// clear answer from then on.
	maxVersions = 4096
	// maxRejectedApplies is how many orders on bases that are not there yet may be refused at once. A refusal can't be
	// forgotten before its base has passed; while there is no room for another, such an order has no clear answer.
	maxRejectedApplies = 256
	// MostRevision is the highest revision: the highest whole number that every reader of JSON takes exactly.
	MaxRevision ident.Revision = 1 << 53
	// maxDigestBytes bounds a digest.
	maxDigestBytes = 256
)

// AppliedID is the proposal id under which an order with this digest stands, once it was taken.
func AppliedID(digest string) string { return appliedPrefix + digest }

// reserved says whether a proposal's id could be taken for that of an applied bundle.
func reserved(id string) bool { return strings.HasPrefix(id, appliedPrefix) }

// Applied finds the bundle that an order with this digest put in force.
func (s *State) Applied(digest string) (*Proposal, bool) {
	found := s.Proposals[AppliedID(digest)]
	return found, found != nil
}

// applyBundle proposes, reviews, signs and rolls in one step, for fleets that let an operator alone do so.
// The bundle stays packed as it came: nothing here depends on what a member makes of it.
func (s *State) applyBundle(c Command) Result {
	switch s.ApplyStatus(c.Digest, c.BaseRevision) {
	case ApplyCommitted:
		known, _ := s.Applied(c.Digest)
		return Result{Outcome: Done, Proposal: known.withoutConfiguration()}
	case ApplyMalformed:
		return Result{Outcome: Malformed, Reason: "an applied bundle needs a digest, and a base that a bundle can have"}
	case ApplyUnproven:
		return Result{Outcome: Unproven, Reason: "what became of this order is not known any more"}
	case ApplyConflicted:
		return s.applyConflict()
	case ApplyAhead:
		return s.rejectApply(c)
	}
	if len(c.Configuration) == 0 {
		// Its base came in force after its sender looked, and left the bundle out. Other copies may be under way.
		return s.rejectApply(c)
	}
	if c.Revision > MaxRevision {
		return Result{Outcome: Malformed, Reason: "the revision is higher than any may be"}
	}
	if c.Revision <= s.Revision {
		return s.applyConflict()
	}
	mark := OperatorAction{Operator: c.Operator, At: s.Now, Note: c.Note}
	applied := &Proposal{ID: AppliedID(c.Digest), Base: s.Version(), Proposed: mark, Configuration: c.Configuration, Compressed: c.Compressed, Revision: c.Revision, Applied: true}
	s.Proposals[applied.ID] = applied
	s.putInForce(applied, mark)
	return Result{Outcome: Done, Proposal: applied.withoutConfiguration()}
}
