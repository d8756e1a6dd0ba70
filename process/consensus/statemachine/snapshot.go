package statemachine

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// ErrIncomplete says that a snapshot lacks a part of the state that every state has.
var ErrIncomplete = errors.New("the snapshot lacks a part of the state")

// Snapshot gives the form that is kept on disk and sent to members who lag.
func (s *State) Snapshot() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("broken invariant: the replicated state cannot be encoded: " + err.Error())
	}
	return data
}

// Restore reads a snapshot.
func Restore(data []byte, options ...Option) (*State, error) {
	s := New(options...)
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if err := s.complete(); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, eris.Wrap(err, "a snapshot is not sound")
	}
	s.Workers.RebuildExpiries()
	if s.Revision == 0 {
		// Earlier builds counted no revisions, and each bundle that they put in force would have made one.
		s.Revision = ident.Revision(s.Version())
	}
	s.upgradeHistory()
	return s, nil
}

// complete says whether a state that was read can be applied to: JSON's null takes a map or table away.
func (s *State) complete() error {
	if s.Workers == nil || s.Workers.Leases == nil || s.Workers.Nodes == nil || s.Workers.Floors == nil {
		return ErrIncomplete
	}
	if s.Proposals == nil || s.Serving == nil || s.Closures.Zones == nil || s.Closures.Engines == nil {
		return ErrIncomplete
	}
	for _, proposal := range s.Proposals {
		if proposal == nil {
			return ErrIncomplete
		}
	}
	return nil
}

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

// adoptHistory brings the state of an earlier build, which noted nowhere what it had forgotten, to today's form.
func (s *State) upgradeHistory() {
	for place := len(s.History) - 1; place >= 0 && s.AppliesKnownFrom == 0; place-- {
		if s.Proposals[s.History[place]] == nil {
			s.raiseAppliesKnownFrom(place + 1)
		}
	}
	s.dropOldVersions()
}
