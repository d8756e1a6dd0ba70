package statemachine

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
)

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
