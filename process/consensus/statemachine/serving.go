package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

// Serving is one life of a daemon that may be serving.
type ServingDaemon struct {
	Address string          `json:"address"`
	Since   ident.GroupTime `json:"since"`
}

// Left is one engine that said it leaves.
type DepartedEngine struct {
	Engine ident.EngineID  `json:"engine"`
	At     ident.GroupTime `json:"at"`
}

// mostLeft is how many engines that left are remembered: an engine's id is new with each start, so one that
// left long ago is not spoken of any more.
const maxDepartedEngines = 4096

// enlist notes a life that is about to serve. An earlier one of its name is over, since a name runs once.
func (s *State) registerDaemon(c Command) Result {
	if _, lost := s.Closures.Lost[c.NodeID]; lost {
		return Result{Outcome: Forbidden, Reason: "this daemon was declared lost"}
	}
	if ended, found := s.endedIncarnation(c.NodeID); found && ended.Stopped {
		// A copy that comes late.
		return Result{Outcome: Forbidden, Reason: "this life of the daemon has stopped"}
	} else if found && s.superseded(c.NodeID) {
		// Taken, it would put the life that followed out of sight.
		return Result{Outcome: Done}
	}
	s.startServing(c.NodeID, c.Address)
	return Result{Outcome: Done}
}

// lose takes an operator's word that a daemon will never serve again.
func (s *State) declareLost(c Command) Result {
	if _, already := s.Closures.Lost[c.LostDaemon]; already {
		return s.closuresNow()
	}
	if _, serving := s.Serving[c.LostDaemon]; !serving {
		return Result{Outcome: Missing, Reason: "no such daemon may be serving"}
	}
	delete(s.Serving, c.LostDaemon)
	next := s.Closures.Clone()
	next.Version++
	next.Lost[c.LostDaemon] = closure.Record{Operator: c.Operator, At: s.Now, Version: next.Version}
	for len(next.Lost) > maxLostDaemons {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(next.Lost)), func(a, b ident.NodeID) int {
			return cmp.Compare(next.Lost[a].Version, next.Lost[b].Version)
		})
		delete(next.Lost, oldest)
	}
	s.setClosures(next)
	return s.closuresNow()
}

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

// ServingNow lists the daemons that may be serving.
func (s *State) ServingDaemons() []ident.NodeID { return slices.Sorted(maps.Keys(s.Serving)) }
