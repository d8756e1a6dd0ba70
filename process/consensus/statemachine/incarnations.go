package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// Serving is one life of a daemon that may be serving.
type ServingDaemon struct {
	Address string          `json:"address"`
	Since   ident.GroupTime `json:"since"`
}

// EndedLife is one life of a daemon that served and is taken to be over.
type EndedIncarnation struct {
	Node    ident.NodeID `json:"node"`
	Address string       `json:"address"`
	// Stopped says that it said so itself; else another life of its name followed it.
	Stopped bool `json:"stopped,omitempty"`
}

// mostEnded is how many ended lives are remembered, the newest: a copy of a call stays on its way for seconds.
const maxEndedIncarnations = 1024

// ServingNow lists the daemons that may be serving.
func (s *State) ServingDaemons() []ident.NodeID { return slices.Sorted(maps.Keys(s.Serving)) }

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

func (s *State) endedIncarnation(node ident.NodeID) (EndedIncarnation, bool) {
	place := slices.IndexFunc(s.EndedIncarnations, func(ended EndedIncarnation) bool { return ended.Node == node })
	if place < 0 {
		return EndedIncarnation{}, false
	}
	return s.EndedIncarnations[place], true
}

// serve is the one place where a life comes among those that may be serving; all others of its name are over.
func (s *State) startServing(node ident.NodeID, address string) {
	for _, other := range slices.Sorted(maps.Keys(s.Serving)) {
		if other != node && other.Name() == node.Name() {
			s.endIncarnation(other, false)
		}
	}
	if _, known := s.Serving[node]; !known {
		s.Serving[node] = ServingDaemon{Address: address, Since: s.Now}
	}
	if _, ended := s.endedIncarnation(node); ended {
		s.EndedIncarnations = slices.DeleteFunc(slices.Clone(s.EndedIncarnations), func(ended EndedIncarnation) bool { return ended.Node == node })
	}
}

// endLife takes a life off those that may be serving.
func (s *State) endIncarnation(node ident.NodeID, stopped bool) {
	serving, known := s.Serving[node]
	if !known {
		return
	}
	delete(s.Serving, node)
	// A new list, so that whoever holds the old one may go on reading it.
	s.EndedIncarnations = append(slices.Clone(s.EndedIncarnations[max(0, len(s.EndedIncarnations)-maxEndedIncarnations+1):]), EndedIncarnation{Node: node, Address: serving.Address, Stopped: stopped})
}

// leaseEnd is when a life's lease of its worker id ends; zero is no lease.
func (s *State) leaseEnd(node ident.NodeID) ident.GroupTime {
	worker, known := s.Workers.Nodes[node]
	if !known {
		return 0
	}
	return s.Workers.Leases[worker].LeaseExpiry
}

// outlived says whether the life that serves under a life's name has the later lease. Names of lives have no order, and
// of two calls to enlist either may come late; but a life that is over renews no lease.
func (s *State) superseded(node ident.NodeID) bool {
	for other := range s.Serving {
		if other != node && other.Name() == node.Name() && s.leaseEnd(other) > 0 && s.leaseEnd(other) >= s.leaseEnd(node) {
			return true
		}
	}
	return false
}

// confirmLife is called when a life was granted a lease: one that was taken to be followed, since its follower's call
// came before its own or its forerunner's came late, serves all the same.
func (s *State) confirmServing(node ident.NodeID, verdict workerid.LeaseOutcome) {
	if ended, found := s.endedIncarnation(node); verdict == workerid.Granted && found && !ended.Stopped && !s.superseded(node) {
		s.startServing(node, ended.Address)
	}
}
