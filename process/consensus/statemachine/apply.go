package statemachine

import (
	"slices"
	"strings"

	"github.com/cresspond/cresspond/configuration/compression"
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

// Limits bounds what is remembered of orders.
type Limits struct {
	// Taken is how many of the newest epochs are remembered, Refused how many refused orders on bases to come.
	Versions, RejectedApplies int
}

// DefaultLimits gives the bounds of the design.
func DefaultLimits() Limits {
	return Limits{Versions: maxVersions, RejectedApplies: maxRejectedApplies}
}

// RefusedOrder is an order that must never win, though its base may yet come in force.
type RejectedApply struct {
	Digest string         `json:"digest"`
	Base   ident.Revision `json:"base"`
}

// OrderStanding is what the state proves about an order to put a bundle in force in one step.
type ApplyStatus string

const (
	// OrderOpen: its base is in force, and it may win.
	ApplyOpen ApplyStatus = "open"
	// OrderTaken: it was put in force.
	ApplyCommitted ApplyStatus = "taken"
	// OrderLost: it never was in force and never will be.
	ApplyConflicted ApplyStatus = "lost"
	// OrderAhead: its base is not there yet, and another copy of it may win once it is.
	ApplyAhead ApplyStatus = "ahead"
	// OrderUnproven: what would prove an answer is forgotten, or there is no room to write a refusal down.
	ApplyUnproven ApplyStatus = "unproven"
	// OrderMalformed: no order can be so.
	ApplyMalformed ApplyStatus = "malformed"
)

// Standing is the one place that tells what is proved of an order with this digest on this base. The proof is in
// docs/design/control.md.
func (s *State) ApplyStatus(digest string, base ident.Revision) ApplyStatus {
	_, taken := s.Applied(digest)
	switch {
	case taken:
		return ApplyCommitted
	case digest == "" || len(digest) > maxDigestBytes || base > MaxRevision:
		return ApplyMalformed
	case base < s.AppliesKnownFrom:
		return ApplyUnproven
	case base < s.Revision || s.wasRejected(digest):
		return ApplyConflicted
	case base == s.Revision:
		return ApplyOpen
	case s.canRecordRejection():
		return ApplyAhead
	}
	return ApplyUnproven
}

func (s *State) wasRejected(digest string) bool {
	return slices.Contains(s.RejectedDigests, digest) || slices.ContainsFunc(s.RejectedAhead, func(o RejectedApply) bool { return o.Digest == digest })
}

func (s *State) canRecordRejection() bool { return len(s.RejectedAhead) < s.limits.RejectedApplies }

// dropPassedRejections drops the refusals whose base has passed: revisions only rise, so those can't win any more.
func (s *State) dropPassedRejections() {
	s.RejectedAhead = slices.DeleteFunc(s.RejectedAhead, func(o RejectedApply) bool { return o.Base < s.Revision })
}

// AppliedID is the proposal id under which an order with this digest stands, once it was taken.
func AppliedID(digest string) string { return appliedPrefix + digest }

// Applied finds the bundle that an order with this digest put in force.
func (s *State) Applied(digest string) (*Proposal, bool) {
	found := s.Proposals[AppliedID(digest)]
	return found, found != nil
}

// Bundle gives the bundle as it was handed in; nothing where it is no longer kept.
func (p *Proposal) Decompress() ([]byte, error) {
	return p.Bundle().Raw()
}

// Packing gives the bundle as it travels.
func (p *Proposal) Bundle() compression.Bundle {
	return compression.Bundle{Data: p.Configuration, Compressed: p.Compressed}
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

// rejectApply writes an order down as refused, so that no copy of it wins later.
func (s *State) rejectApply(c Command) Result {
	if !s.canRecordRejection() {
		return Result{Outcome: Unproven, Reason: "too many refused orders wait for their base"}
	}
	// A new list, so that whoever holds the old one may go on reading it.
	s.RejectedAhead = append(slices.Clone(s.RejectedAhead), RejectedApply{Digest: c.Digest, Base: c.BaseRevision})
	return s.applyConflict()
}

func (s *State) applyConflict() Result {
	result := Result{Outcome: Conflict, Reason: "the base is not the revision in force, or the revision is not above it"}
	if inForce, any := s.InForce(); any {
		result.Winner = inForce.ID
	}
	return result
}

// reserved says whether a proposal's id could be taken for that of an applied bundle.
func reserved(id string) bool { return strings.HasPrefix(id, appliedPrefix) }
