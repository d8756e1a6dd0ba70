package statemachine

import (
	"slices"
)

// closureSettled answers a closure that can't be carried out: its base is not the closures in force, or it was
// refused before. It may be one that was carried out already and lost its answer.
func (s *State) closureRetry(c Command) (Result, bool) {
	act := c.closureChange(c.Base + 1)
	switch {
	case c.Base < s.Closures.Version:
		return s.closureOnPassedBase(act), true
	case slices.Contains(s.RejectedClosures, act):
		return s.closureConflict(), true
	case c.Base == s.Closures.Version:
		return Result{}, false
	case len(s.RejectedClosures) >= maxClosureChanges:
		return s.closureUnproven(), true
	}
	// The base may yet come in force, and a copy of this closure with it: so the refusal is written down.
	s.RejectedClosures = append(slices.Clone(s.RejectedClosures), act)
	return s.closureConflict(), true
}

// closurePassed answers a closure whose base has passed. Each change of the closures leaves one act or, where a
// daemon is declared lost, none: so only the acts before the oldest one known were forgotten.
func (s *State) closureOnPassedBase(act ClosureChange) Result {
	if slices.Contains(s.ClosureChanges, act) {
		return s.closuresNow()
	}
	if len(s.ClosureChanges) == maxClosureChanges && act.Version < s.ClosureChanges[0].Version {
		return s.closureUnproven()
	}
	result := s.closureConflict()
	for _, other := range s.ClosureChanges {
		if other.Version == act.Version {
			result.Winner = other.Operator
		}
	}
	return result
}

func (s *State) closureConflict() Result {
	result := s.closuresNow()
	result.Outcome, result.Reason = Conflict, "the base is not the closure epoch in force"
	return result
}

func (s *State) closureUnproven() Result {
	result := s.closuresNow()
	result.Outcome, result.Reason = Unproven, "what became of this closure is not known any more"
	return result
}
