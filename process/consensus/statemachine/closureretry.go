package statemachine

import "slices"

// closureRetry decides a change of the closures that cannot take effect now: its base is not the version in force, or it
// was refused before. It may be the retry of one that took effect and whose response was lost. It gives false for a
// change that is to take effect.
func (s *State) closureRetry(command Command) (Result, bool) {
	change := command.closureChange(command.Base + 1)
	switch {
	case command.Base < s.Closures.Version:
		return s.closureOnPassedBase(change), true
	case slices.Contains(s.RejectedClosures, change):
		return s.closureConflict(), true
	case command.Base == s.Closures.Version:
		return Result{}, false
	case len(s.RejectedClosures) >= maxClosureChanges:
		return s.closureUnproven(), true
	}
	// The base may yet come in force, and another copy of this command arrive then: so the refusal is remembered.
	s.RejectedClosures = append(slices.Clone(s.RejectedClosures), change)
	return s.closureConflict(), true
}

// closureOnPassedBase decides a change whose base has passed. Each version of the closures leaves one change or, where
// a daemon is declared lost, none: so only changes before the oldest one remembered were forgotten.
func (s *State) closureOnPassedBase(change ClosureChange) Result {
	if slices.Contains(s.ClosureChanges, change) {
		return s.currentClosures()
	}
	if len(s.ClosureChanges) == maxClosureChanges && change.Version < s.ClosureChanges[0].Version {
		return s.closureUnproven()
	}
	result := s.closureConflict()
	for _, other := range s.ClosureChanges {
		if other.Version == change.Version {
			result.Winner = other.Operator
		}
	}
	return result
}

func (s *State) closureConflict() Result {
	result := s.currentClosures()
	result.Outcome, result.Reason = Conflict, "the base is not the version of the closures in force"
	return result
}

func (s *State) closureUnproven() Result {
	result := s.currentClosures()
	result.Outcome, result.Reason = Unproven, "whether this closure took effect is no longer remembered"
	return result
}
