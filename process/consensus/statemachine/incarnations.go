package statemachine

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

const (
	// maxEndedIncarnations is how many ended incarnations are remembered, the newest: a retried call arrives within
	// seconds.
	maxEndedIncarnations = 1024
	// maxLostDaemons is how many daemons declared lost are remembered.
	maxLostDaemons = 64
)

// ServingDaemon is one incarnation of a daemon that may be serving.
type ServingDaemon struct {
	Address string          `json:"address"`
	Since   ident.GroupTime `json:"since"`
	// StartedAt orders the incarnations of one name; zero is not known.
	StartedAt ident.GroupTime `json:"startedAt,omitempty"`
}

// EndedIncarnation is one incarnation of a daemon that served and is taken to have ended.
type EndedIncarnation struct {
	Node    ident.NodeID `json:"node"`
	Address string       `json:"address"`
	// Stopped says that the daemon itself reported its end; else another incarnation of its name followed it.
	Stopped bool `json:"stopped,omitempty"`
	// StartedAt is as in ServingDaemon.
	StartedAt ident.GroupTime `json:"startedAt,omitempty"`
}

// ServingDaemons lists the daemons that may be serving, sorted.
func (s *State) ServingDaemons() []ident.NodeID { return slices.Sorted(maps.Keys(s.Serving)) }

// registerDaemon records an incarnation that is about to serve. An earlier one of its name has ended, since a name runs
// once.
func (s *State) registerDaemon(command Command) Result {
	if _, lost := s.Closures.Lost[command.NodeID]; lost {
		return Result{Outcome: Forbidden, Reason: "this daemon was declared lost"}
	}
	if ended, found := s.endedIncarnation(command.NodeID); found && ended.Stopped {
		// A retry that arrives late.
		return Result{Outcome: Forbidden, Reason: "this incarnation of the daemon has stopped"}
	} else if found && s.superseded(command.NodeID) || s.laterStarted(command.NodeID, command.StartedAt) {
		// Registered again, it would end the incarnation that followed it.
		return Result{Outcome: Done}
	}
	s.startServing(command.NodeID, command.Address, command.StartedAt)
	return Result{Outcome: Done}
}

// laterStarted says whether an incarnation of the same name is known that started later.
func (s *State) laterStarted(node ident.NodeID, startedAt ident.GroupTime) bool {
	if startedAt == 0 || s.FeatureLevel < IncarnationOrderLevel {
		return false
	}
	for other, serving := range s.Serving {
		if other != node && other.Name() == node.Name() && serving.StartedAt > startedAt {
			return true
		}
	}
	return slices.ContainsFunc(s.EndedIncarnations, func(ended EndedIncarnation) bool {
		return ended.Node != node && ended.Node.Name() == node.Name() && ended.StartedAt > startedAt
	})
}

// declareLost records an operator's statement that a daemon will never serve again.
func (s *State) declareLost(command Command) Result {
	if _, already := s.Closures.Lost[command.LostDaemon]; already {
		return s.currentClosures()
	}
	if _, serving := s.Serving[command.LostDaemon]; !serving {
		return Result{Outcome: Missing, Reason: "no such daemon may be serving"}
	}
	delete(s.Serving, command.LostDaemon)
	next := s.Closures.Clone()
	next.Version++
	next.Lost[command.LostDaemon] = closure.Record{Operator: command.Operator, At: s.Now, Version: next.Version}
	dropOldestRecords(next.Lost, maxLostDaemons)
	s.setClosures(next)
	return s.currentClosures()
}

func (s *State) endedIncarnation(node ident.NodeID) (EndedIncarnation, bool) {
	index := slices.IndexFunc(s.EndedIncarnations, func(ended EndedIncarnation) bool { return ended.Node == node })
	if index < 0 {
		return EndedIncarnation{}, false
	}
	return s.EndedIncarnations[index], true
}

// startServing is the one function that adds an incarnation to those that may be serving; all others of its name end.
func (s *State) startServing(node ident.NodeID, address string, startedAt ident.GroupTime) {
	for _, other := range slices.Sorted(maps.Keys(s.Serving)) {
		if other != node && other.Name() == node.Name() {
			s.endIncarnation(other, false)
		}
	}
	if _, known := s.Serving[node]; !known {
		s.Serving[node] = ServingDaemon{Address: address, Since: s.Now, StartedAt: startedAt}
	}
	if _, ended := s.endedIncarnation(node); ended {
		s.EndedIncarnations = slices.DeleteFunc(slices.Clone(s.EndedIncarnations), func(ended EndedIncarnation) bool { return ended.Node == node })
	}
}

// endIncarnation removes an incarnation from those that may be serving.
func (s *State) endIncarnation(node ident.NodeID, stopped bool) {
	serving, known := s.Serving[node]
	if !known {
		return
	}
	delete(s.Serving, node)
	// A new slice, so that readers may keep the old one.
	retained := s.EndedIncarnations[max(0, len(s.EndedIncarnations)-maxEndedIncarnations+1):]
	s.EndedIncarnations = append(slices.Clone(retained), EndedIncarnation{Node: node, Address: serving.Address, Stopped: stopped, StartedAt: serving.StartedAt})
}

// leaseEnd is when an incarnation's lease of its worker id expires; zero where it has none.
func (s *State) leaseEnd(node ident.NodeID) ident.GroupTime {
	worker, known := s.Workers.Nodes[node]
	if !known {
		return 0
	}
	return s.Workers.Leases[worker].LeaseExpiry
}

// superseded says whether a serving incarnation of the same name has a lease that expires later. The ids of incarnations
// have no order, and of two calls to register either may arrive last; but an incarnation that has ended renews no lease.
func (s *State) superseded(node ident.NodeID) bool {
	for other := range s.Serving {
		if other != node && other.Name() == node.Name() && s.leaseEnd(other) > 0 && s.leaseEnd(other) >= s.leaseEnd(node) {
			return true
		}
	}
	return false
}

// confirmServing is called with the outcome of each request for a lease. An incarnation that is granted one is running:
// where it was taken to have ended, since its successor's registration arrived before its own or its predecessor's
// arrived late, it serves all the same.
func (s *State) confirmServing(node ident.NodeID, outcome workerid.LeaseOutcome) {
	if ended, found := s.endedIncarnation(node); outcome == workerid.Granted && found && !ended.Stopped && !s.superseded(node) && !s.laterStarted(node, ended.StartedAt) {
		s.startServing(node, ended.Address, ended.StartedAt)
	}
}
