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
	// keptApplied is how many orders that were taken are known by their digest. One that is forgotten has no
	// clear answer from then on.
	keptApplied = 4096
	// mostRefused is how many orders on bases that are not there yet may be refused at once. A refusal can't be
	// forgotten before its base has passed; while there is no room for another, such an order has no clear answer.
	mostRefused = 256
	// MostRevision is the highest revision: the highest whole number that every reader of JSON takes exactly.
	MostRevision ident.Revision = 1 << 53
	// mostDigestBytes bounds a digest.
	mostDigestBytes = 256
)

// Limits bounds what is remembered of orders.
type Limits struct {
	// Taken is how many of the newest epochs are remembered, Refused how many refused orders on bases to come.
	Taken, Refused int
}

// DefaultLimits gives the bounds of the design.
func DefaultLimits() Limits { return Limits{Taken: keptApplied, Refused: mostRefused} }

// RefusedOrder is an order that must never win, though its base may yet come in force.
type RefusedOrder struct {
	Digest string         `json:"digest"`
	Base   ident.Revision `json:"base"`
}

// OrderStanding is what the state proves about an order to put a bundle in force in one step.
type OrderStanding string

const (
	// OrderOpen: its base is in force, and it may win.
	OrderOpen OrderStanding = "open"
	// OrderTaken: it was put in force.
	OrderTaken OrderStanding = "taken"
	// OrderLost: it never was in force and never will be.
	OrderLost OrderStanding = "lost"
	// OrderAhead: its base is not there yet, and another copy of it may win once it is.
	OrderAhead OrderStanding = "ahead"
	// OrderUnproven: what would prove an answer is forgotten, or there is no room to write a refusal down.
	OrderUnproven OrderStanding = "unproven"
	// OrderMalformed: no order can be so.
	OrderMalformed OrderStanding = "malformed"
)

// Standing is the one place that tells what is proved of an order with this digest on this base. The proof is in
// docs/design/control.md.
func (s *State) Standing(digest string, base ident.Revision) OrderStanding {
	_, taken := s.Applied(digest)
	switch {
	case taken:
		return OrderTaken
	case digest == "" || len(digest) > mostDigestBytes || base > MostRevision:
		return OrderMalformed
	case base < s.ProvenFrom:
		return OrderUnproven
	case base < s.Revision || s.wasRefused(digest):
		return OrderLost
	case base == s.Revision:
		return OrderOpen
	case s.roomToRefuse():
		return OrderAhead
	}
	return OrderUnproven
}

func (s *State) wasRefused(digest string) bool {
	return slices.Contains(s.Refused, digest) || slices.ContainsFunc(s.RefusedAhead, func(o RefusedOrder) bool { return o.Digest == digest })
}

func (s *State) roomToRefuse() bool { return len(s.RefusedAhead) < s.limits.Refused }

// forgetRefused drops the refusals whose base has passed: revisions only rise, so those can't win any more.
func (s *State) forgetRefused() {
	s.RefusedAhead = slices.DeleteFunc(s.RefusedAhead, func(o RefusedOrder) bool { return o.Base < s.Revision })
}

// AppliedID is the proposal id under which an order with this digest stands, once it was taken.
func AppliedID(digest string) string { return appliedPrefix + digest }

// Applied finds the bundle that an order with this digest put in force.
func (s *State) Applied(digest string) (*Proposal, bool) {
	found := s.Proposals[AppliedID(digest)]
	return found, found != nil
}

// Bundle gives the bundle as it was handed in; nothing where it is no longer kept.
func (p *Proposal) Bundle() ([]byte, error) {
	return p.Packing().Raw()
}

// Packing gives the bundle as it travels.
func (p *Proposal) Packing() compression.Bundle {
	return compression.Bundle{Data: p.Spec, Packed: p.Packed}
}

// applyBundle proposes, reviews, signs and rolls in one step, for fleets that let an operator alone do so.
// The bundle stays packed as it came: nothing here depends on what a member makes of it.
func (s *State) applyBundle(c Command) Result {
	switch s.Standing(c.Digest, c.BaseRevision) {
	case OrderTaken:
		known, _ := s.Applied(c.Digest)
		return Result{Verdict: Done, Proposal: known.brief()}
	case OrderMalformed:
		return Result{Verdict: Malformed, Reason: "an applied bundle needs a digest, and a base that a bundle can have"}
	case OrderUnproven:
		return Result{Verdict: Unproven, Reason: "what became of this order is not known any more"}
	case OrderLost:
		return s.orderLost()
	case OrderAhead:
		return s.refuseOrder(c)
	}
	if len(c.Spec) == 0 {
		// Its base came in force after its sender looked, and left the bundle out. Other copies may be under way.
		return s.refuseOrder(c)
	}
	if c.Revision > MostRevision {
		return Result{Verdict: Malformed, Reason: "the revision is higher than any may be"}
	}
	if c.Revision <= s.Revision {
		return s.orderLost()
	}
	mark := Mark{Operator: c.Operator, At: s.Now, Note: c.Note}
	applied := &Proposal{ID: AppliedID(c.Digest), Base: s.Epoch(), Proposed: mark, Spec: c.Spec, Packed: c.Packed, Revision: c.Revision, Applied: true}
	s.Proposals[applied.ID] = applied
	s.putInForce(applied, mark)
	return Result{Verdict: Done, Proposal: applied.brief()}
}

// refuseOrder writes an order down as refused, so that no copy of it wins later.
func (s *State) refuseOrder(c Command) Result {
	if !s.roomToRefuse() {
		return Result{Verdict: Unproven, Reason: "too many refused orders wait for their base"}
	}
	// A new list, so that whoever holds the old one may go on reading it.
	s.RefusedAhead = append(slices.Clone(s.RefusedAhead), RefusedOrder{Digest: c.Digest, Base: c.BaseRevision})
	return s.orderLost()
}

func (s *State) orderLost() Result {
	result := Result{Verdict: Conflict, Reason: "the base is not the revision in force, or the revision is not above it"}
	if inForce, any := s.InForce(); any {
		result.Winner = inForce.ID
	}
	return result
}

// reserved says whether a proposal's id could be taken for that of an applied bundle.
func reserved(id string) bool { return strings.HasPrefix(id, appliedPrefix) }
