package statemachine

import "fmt"

// FeatureLevel numbers what commands mean. A command whose meaning is new with a level is applied in its new meaning only
// once the group is at that level, and the group is raised to a level only once every member understands it. So members of
// two builds hold equal states at any time.
type FeatureLevel uint32

const (
	// BaseLevel is what every build understands.
	BaseLevel FeatureLevel = iota
	// CallMemoryLevel: the outcomes of operators' calls are remembered by the calls' ids.
	CallMemoryLevel
	// IncarnationOrderLevel: incarnations of a daemon are ordered by when they started.
	IncarnationOrderLevel
)

// SupportedFeatureLevel is the highest level that this build understands.
const SupportedFeatureLevel = IncarnationOrderLevel

// FeatureLevelError says that a group, or the state in a data folder, is at a level that this build does not understand.
// A newer build must be used.
type FeatureLevelError struct{ Found, Supported FeatureLevel }

// Error names both levels.
func (e FeatureLevelError) Error() string {
	return fmt.Sprintf("the state is at feature level %d, and this build understands up to %d: use a newer build", e.Found, e.Supported)
}

// CheckFeatureLevel fails with a FeatureLevelError if the state is above a level.
func (s *State) CheckFeatureLevel(supported FeatureLevel) error {
	if s.FeatureLevel > supported {
		return FeatureLevelError{Found: s.FeatureLevel, Supported: supported}
	}
	return nil
}

// raiseFeatureLevel raises the group to a level; it is never lowered.
func (s *State) raiseFeatureLevel(command Command) Result {
	if command.FeatureLevel <= s.FeatureLevel {
		return Result{Outcome: Done}
	}
	if s.FeatureLevel < CallMemoryLevel && command.FeatureLevel >= CallMemoryLevel {
		// Copies of calls that were applied before were not remembered.
		s.CallsKnownFrom = s.Now
	}
	s.FeatureLevel = command.FeatureLevel
	return Result{Outcome: Done}
}
