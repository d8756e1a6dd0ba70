package statemachine

import (
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// maxDepartedEngines is how many engines that shut down are remembered: an engine's id is new with each start, so one
// that departed long ago is not spoken of any more.
const maxDepartedEngines = 4096

// DepartedEngine is one engine that announced its shutdown.
type DepartedEngine struct {
	Engine ident.EngineID  `json:"engine"`
	At     ident.GroupTime `json:"at"`
}

// recordDeparture remembers an engine that shuts down; a retry changes nothing.
func (s *State) recordDeparture(command Command) Result {
	if command.Engine == "" {
		return Result{Outcome: Malformed, Reason: "no engine is named"}
	}
	if slices.ContainsFunc(s.DepartedEngines, func(departed DepartedEngine) bool { return departed.Engine == command.Engine }) {
		return Result{Outcome: Done}
	}
	// A new slice, so that readers may keep the old one.
	retained := s.DepartedEngines[max(0, len(s.DepartedEngines)-maxDepartedEngines+1):]
	s.DepartedEngines = append(slices.Clone(retained), DepartedEngine{Engine: command.Engine, At: s.Now})
	s.Departures++
	return Result{Outcome: Done}
}

// DepartedSince lists the engines that departed after the first departures ones, the newest last, as far as they are
// remembered.
func (s *State) DepartedSince(departures uint64) []DepartedEngine {
	unseen := s.Departures - min(departures, s.Departures)
	return s.DepartedEngines[len(s.DepartedEngines)-int(min(uint64(len(s.DepartedEngines)), unseen)):]
}
