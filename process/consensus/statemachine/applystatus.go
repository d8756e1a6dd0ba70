package statemachine

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
)

const (
	// maxVersions is how many of the newest versions are remembered one by one, each with the digest of its apply
	// request. A request older than that is Unproven from then on.
	maxVersions = 4096
	// maxRejectedApplies is how many apply requests on bases that are not in force yet may be refused at once. A refusal
	// can't be forgotten before its base has passed; while none can be added, such a request is Unproven.
	maxRejectedApplies = 256
	// MaxRevision is the highest revision: the highest integer that every reader of JSON takes exactly.
	MaxRevision ident.Revision = 1 << 53
	// maxDigestBytes bounds the digest of an apply request.
	maxDigestBytes = 256
)

// Limits bounds what is remembered of apply requests. All members of a group must have the same.
type Limits struct {
	// Versions is how many of the newest versions are remembered, RejectedApplies how many refused requests on bases
	// that are not in force yet.
	Versions, RejectedApplies int
}

// DefaultLimits gives the bounds of the design.
func DefaultLimits() Limits {
	return Limits{Versions: maxVersions, RejectedApplies: maxRejectedApplies}
}

// RejectedApply is an apply request that must never take effect, though its base may yet come in force.
type RejectedApply struct {
	Digest string         `json:"digest"`
	Base   ident.Revision `json:"base"`
}

// ApplyStatus is what the state proves about an apply request.
type ApplyStatus string

const (
	// ApplyOpen: its base is in force, and it may take effect.
	ApplyOpen ApplyStatus = "open"
	// ApplyCommitted: it was put in force.
	ApplyCommitted ApplyStatus = "taken"
	// ApplyConflicted: it was never in force and never will be.
	ApplyConflicted ApplyStatus = "lost"
	// ApplyAhead: its base is not in force yet, and another copy of it may take effect once it is.
	ApplyAhead ApplyStatus = "ahead"
	// ApplyUnproven: what would prove an answer is forgotten, or no refusal can be remembered now.
	ApplyUnproven ApplyStatus = "unproven"
	// ApplyMalformed: no request can have such a digest or base.
	ApplyMalformed ApplyStatus = "malformed"
)

// ApplyStatus is the one function that decides what is proved of the apply request with this digest on this base. The
// proof is in docs/design/control.md.
func (s *State) ApplyStatus(digest string, base ident.Revision) ApplyStatus {
	_, committed := s.Applied(digest)
	switch {
	case committed:
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
	return slices.Contains(s.RejectedDigests, digest) ||
		slices.ContainsFunc(s.RejectedAhead, func(rejected RejectedApply) bool { return rejected.Digest == digest })
}

func (s *State) canRecordRejection() bool { return len(s.RejectedAhead) < s.limits.RejectedApplies }

// dropPassedRejections drops the refusals whose base has passed: revisions only rise, so those requests can't take
// effect any more.
func (s *State) dropPassedRejections() {
	s.RejectedAhead = slices.DeleteFunc(s.RejectedAhead, func(rejected RejectedApply) bool { return rejected.Base < s.Revision })
}

// rejectApply remembers a request as refused, so that no copy of it takes effect later.
func (s *State) rejectApply(command Command) Result {
	if !s.canRecordRejection() {
		return Result{Outcome: Unproven, Reason: "too many refused apply requests wait for their base"}
	}
	// A new slice, so that readers may keep the old one.
	s.RejectedAhead = append(slices.Clone(s.RejectedAhead), RejectedApply{Digest: command.Digest, Base: command.BaseRevision})
	return s.applyConflict()
}

func (s *State) applyConflict() Result {
	result := Result{Outcome: Conflict, Reason: "the base is not the revision in force, or the revision is not above it"}
	if inForce, known := s.InForce(); known {
		result.Winner = inForce.ID
	}
	return result
}
