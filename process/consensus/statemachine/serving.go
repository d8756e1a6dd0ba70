package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
)

// Serving is one life of a daemon that may be serving.
type Serving struct {
	Address string          `json:"address"`
	Since   ident.GroupTime `json:"since"`
}

// Left is one engine that said it leaves.
type Left struct {
	Engine ident.EngineID  `json:"engine"`
	At     ident.GroupTime `json:"at"`
}

// mostLeft is how many engines that left are remembered: an engine's id is new with each start, so one that
// left long ago is not spoken of any more.
const mostLeft = 4096

// enlist notes a life that is about to serve. An earlier one of its name is over, since a name runs once.
func (s *State) enlist(c Command) Result {
	if _, lost := s.Closures.Lost[c.NodeID]; lost {
		return Result{Verdict: Forbidden, Reason: "this daemon was declared lost"}
	}
	if ended, found := s.endedLife(c.NodeID); found && ended.Stopped {
		// A copy that comes late.
		return Result{Verdict: Forbidden, Reason: "this life of the daemon has stopped"}
	} else if found && s.outlived(c.NodeID) {
		// Taken, it would put the life that followed out of sight.
		return Result{Verdict: Done}
	}
	s.serve(c.NodeID, c.Address)
	return Result{Verdict: Done}
}

// lose takes an operator's word that a daemon will never serve again.
func (s *State) lose(c Command) Result {
	if _, already := s.Closures.Lost[c.Lost]; already {
		return s.closuresNow()
	}
	if _, serving := s.Serving[c.Lost]; !serving {
		return Result{Verdict: Missing, Reason: "no such daemon may be serving"}
	}
	delete(s.Serving, c.Lost)
	next := s.Closures.Clone()
	next.Epoch++
	next.Lost[c.Lost] = closure.Record{Operator: c.Operator, At: s.Now, Epoch: next.Epoch}
	for len(next.Lost) > mostLost {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(next.Lost)), func(a, b ident.NodeID) int {
			return cmp.Compare(next.Lost[a].Epoch, next.Lost[b].Epoch)
		})
		delete(next.Lost, oldest)
	}
	s.raiseClosures(next)
	return s.closuresNow()
}

// leave notes an engine that leaves; said again, it changes nothing.
func (s *State) leave(c Command) Result {
	if c.Engine == "" {
		return Result{Verdict: Malformed, Reason: "no engine is named"}
	}
	if slices.ContainsFunc(s.Left, func(left Left) bool { return left.Engine == c.Engine }) {
		return Result{Verdict: Done}
	}
	// A new list, so that whoever holds the old one may go on reading it.
	s.Left = append(slices.Clone(s.Left[max(0, len(s.Left)-mostLeft+1):]), Left{Engine: c.Engine, At: s.Now})
	s.Leaves++
	return Result{Verdict: Done}
}

// LeftSince lists the engines that left since so many had.
func (s *State) LeftSince(leaves uint64) []Left {
	return s.Left[len(s.Left)-int(min(uint64(len(s.Left)), s.Leaves-min(leaves, s.Leaves))):]
}

// ServingNow lists the daemons that may be serving.
func (s *State) ServingNow() []ident.NodeID { return slices.Sorted(maps.Keys(s.Serving)) }
