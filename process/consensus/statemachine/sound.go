package statemachine

import (
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// sound says what is wrong with a state that was read; one that is wrong must not be served, nor may it end the
// process later, when a command first touches what is wrong.
func (s *State) validate() error {
	if err := validateWorkers(s.Workers); err != nil {
		return err
	}
	for id, proposal := range s.Proposals {
		switch {
		case proposal == nil || proposal.ID != id:
			return eris.Errorf("proposal %q is another or none", id)
		case proposal.Stage == StageRolledOut && (proposal.RolledOut == nil || proposal.Version == 0 || proposal.Version > s.Version()):
			return eris.Errorf("proposal %q is in force at no epoch", id)
		}
	}
	for place, id := range s.History {
		// The oldest bundles are forgotten, but not their places.
		if proposal := s.Proposals[id]; proposal != nil && (proposal.Stage != StageRolledOut || proposal.Version != s.Dropped+ident.Version(place)+1) {
			return eris.Errorf("epoch %d is proposal %q, which was not put in force with it", s.Dropped+ident.Version(place)+1, id)
		}
	}
	return nil
}

// soundWorkers checks that both ways of looking up a worker id lead to each other.
func validateWorkers(table *workerid.Table) error {
	if len(table.Leases) != len(table.Nodes) {
		return eris.New("the table of worker ids has another number of daemons than of ids")
	}
	for worker, lease := range table.Leases {
		back, known := table.Nodes[lease.NodeID]
		if worker < 0 || worker > workerid.MaxWorkerID || lease.WorkerID != worker || !known || back != worker {
			return eris.Errorf("worker id %d is held by nobody", worker)
		}
	}
	return nil
}
