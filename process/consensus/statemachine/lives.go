package statemachine

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// EndedLife is one life of a daemon that served and is taken to be over.
type EndedLife struct {
	Node    ident.NodeID `json:"node"`
	Address string       `json:"address"`
	// Stopped says that it said so itself; else another life of its name followed it.
	Stopped bool `json:"stopped,omitempty"`
}

// mostEnded is how many ended lives are remembered, the newest: a copy of a call stays on its way for seconds.
const mostEnded = 1024

func (s *State) endedLife(node ident.NodeID) (EndedLife, bool) {
	place := slices.IndexFunc(s.Ended, func(ended EndedLife) bool { return ended.Node == node })
	if place < 0 {
		return EndedLife{}, false
	}
	return s.Ended[place], true
}

// serve is the one place where a life comes among those that may be serving; all others of its name are over.
func (s *State) serve(node ident.NodeID, address string) {
	for _, other := range slices.Sorted(maps.Keys(s.Serving)) {
		if other != node && other.Name() == node.Name() {
			s.endLife(other, false)
		}
	}
	if _, known := s.Serving[node]; !known {
		s.Serving[node] = Serving{Address: address, Since: s.Now}
	}
	if _, ended := s.endedLife(node); ended {
		s.Ended = slices.DeleteFunc(slices.Clone(s.Ended), func(ended EndedLife) bool { return ended.Node == node })
	}
}

// endLife takes a life off those that may be serving.
func (s *State) endLife(node ident.NodeID, stopped bool) {
	serving, known := s.Serving[node]
	if !known {
		return
	}
	delete(s.Serving, node)
	// A new list, so that whoever holds the old one may go on reading it.
	s.Ended = append(slices.Clone(s.Ended[max(0, len(s.Ended)-mostEnded+1):]), EndedLife{Node: node, Address: serving.Address, Stopped: stopped})
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
func (s *State) outlived(node ident.NodeID) bool {
	for other := range s.Serving {
		if other != node && other.Name() == node.Name() && s.leaseEnd(other) > 0 && s.leaseEnd(other) >= s.leaseEnd(node) {
			return true
		}
	}
	return false
}

// confirmLife is called when a life was granted a lease: one that was taken to be followed, since its follower's call
// came before its own or its forerunner's came late, serves all the same.
func (s *State) confirmLife(node ident.NodeID, verdict workerid.Outcome) {
	if ended, found := s.endedLife(node); verdict == workerid.Granted && found && !ended.Stopped && !s.outlived(node) {
		s.serve(node, ended.Address)
	}
}
