package statemachine

import (
	"strings"
)

// appliedPrefix begins the ids of configurations that were applied in one step; no proposal may use such an id.
const appliedPrefix = "apply:"

// AppliedID is the proposal id of the configuration that the apply request with this digest put in force.
func AppliedID(digest string) string { return appliedPrefix + digest }

// isAppliedID says whether a proposal's id could be mistaken for that of an applied configuration.
func isAppliedID(id string) bool { return strings.HasPrefix(id, appliedPrefix) }

// Applied finds the configuration that the apply request with this digest put in force.
func (s *State) Applied(digest string) (*Proposal, bool) {
	found := s.Proposals[AppliedID(digest)]
	return found, found != nil
}

// applyBundle proposes, reviews, signs off and rolls out in one step, for fleets that let an operator alone do so.
// The bundle stays compressed as it came: no effect depends on what a member reads from it.
func (s *State) applyBundle(command Command) Result {
	switch s.ApplyStatus(command.Digest, command.BaseRevision) {
	case ApplyCommitted:
		known, _ := s.Applied(command.Digest)
		return known.result(Done, "")
	case ApplyMalformed:
		return Result{Outcome: Malformed, Reason: "an applied configuration needs a digest, and a base that a configuration can have"}
	case ApplyUnproven:
		return Result{Outcome: Unproven, Reason: "whether this apply request took effect is no longer remembered"}
	case ApplyConflicted:
		return s.applyConflict()
	case ApplyAhead:
		return s.rejectApply(command)
	}
	if len(command.Configuration) == 0 {
		// Its sender left the configuration out, since the base was not in force when it looked; now it is. Other copies
		// of the request may be under way.
		return s.rejectApply(command)
	}
	if command.Revision > MaxRevision {
		return Result{Outcome: Malformed, Reason: "the revision is higher than any may be"}
	}
	if command.Revision <= s.Revision {
		return s.applyConflict()
	}
	action := s.operatorAction(command)
	applied := &Proposal{
		ID:            AppliedID(command.Digest),
		Base:          s.Version(),
		Proposed:      action,
		Configuration: command.Configuration,
		Compressed:    command.Compressed,
		Revision:      command.Revision,
		Applied:       true,
	}
	s.Proposals[applied.ID] = applied
	s.putInForce(applied, action)
	return applied.result(Done, "")
}
