package statemachine

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// Left is one engine that said it leaves.
type DepartedEngine struct {
	Engine ident.EngineID  `json:"engine"`
	At     ident.GroupTime `json:"at"`
}

// mostLeft is how many engines that left are remembered: an engine's id is new with each start, so one that
// left long ago is not spoken of any more.
const maxDepartedEngines = 4096

// leave notes an engine that leaves; said again, it changes nothing.
func (s *State) recordDeparture(c Command) Result {
	if c.Engine == "" {
		return Result{Outcome: Malformed, Reason: "no engine is named"}
	}
	if slices.ContainsFunc(s.DepartedEngines, func(left DepartedEngine) bool { return left.Engine == c.Engine }) {
		return Result{Outcome: Done}
	}
	// A new list, so that whoever holds the old one may go on reading it.
	s.DepartedEngines = append(slices.Clone(s.DepartedEngines[max(0, len(s.DepartedEngines)-maxDepartedEngines+1):]), DepartedEngine{Engine: c.Engine, At: s.Now})
	s.Departures++
	return Result{Outcome: Done}
}

// LeftSince lists the engines that left since so many had.
func (s *State) DepartedSince(leaves uint64) []DepartedEngine {
	return s.DepartedEngines[len(s.DepartedEngines)-int(min(uint64(len(s.DepartedEngines)), s.Departures-min(leaves, s.Departures))):]
}
