package statemachine

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

var (
	// ErrIncomplete says that a snapshot lacks a part of the state that every state has.
	ErrIncomplete = errors.New("the snapshot lacks a part of the state")
	// ErrInconsistent says that parts of a snapshot contradict each other.
	ErrInconsistent = errors.New("the snapshot contradicts itself")
)

// Snapshot encodes the state, for the disk and for members that lag.
func (s *State) Snapshot() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("broken invariant: the replicated state cannot be encoded: " + err.Error())
	}
	return data
}

// Restore decodes a snapshot of this build or an earlier one; no bytes are the state before the first entry. The error
// is that of the JSON decoder, ErrIncomplete or ErrInconsistent.
func Restore(data []byte, options ...Option) (*State, error) {
	s := New(options...)
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, eris.Wrap(err, "a snapshot cannot be used")
	}
	s.Workers.RebuildExpiries()
	if s.Revision == 0 {
		// Earlier builds counted no revisions, and each configuration that they put in force would have made one.
		s.Revision = ident.Revision(s.Version())
	}
	s.upgradeHistory()
	return s, nil
}

// Validate says what is missing in a state or contradicts itself; nil if nothing does. The error is ErrIncomplete or wraps
// ErrInconsistent.
func (s *State) Validate() error {
	if err := s.checkComplete(); err != nil {
		return err
	}
	return s.checkConsistent()
}

// checkComplete says whether commands can be applied to a state that was decoded: JSON's null removes a map or table.
func (s *State) checkComplete() error {
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

// checkConsistent says what contradicts itself in a state that was decoded. Such a state must not be served, nor may it
// end the process later, when a command first touches the contradiction.
func (s *State) checkConsistent() error {
	if err := checkWorkers(s.Workers); err != nil {
		return err
	}
	for id, proposal := range s.Proposals {
		switch {
		case proposal == nil || proposal.ID != id:
			return eris.Wrapf(ErrInconsistent, "proposal %q is another or none", id)
		case proposal.Stage == StageRolledOut && (proposal.RolledOut == nil || proposal.Version == 0 || proposal.Version > s.Version()):
			return eris.Wrapf(ErrInconsistent, "proposal %q is rolled out as no version", id)
		}
	}
	if len(s.Calls) > maxRememberedCalls {
		return eris.Wrapf(ErrInconsistent, "%d calls are remembered, and %d are the most", len(s.Calls), maxRememberedCalls)
	}
	if !slices.IsSortedFunc(s.ClosureChanges, func(a, b ClosureChange) int { return cmp.Compare(a.Version, b.Version) }) {
		return eris.Wrap(ErrInconsistent, "the changes of closures are not in the order of their versions")
	}
	if newest := len(s.ClosureChanges) - 1; newest >= 0 && s.ClosureChanges[newest].Version > s.Closures.Version {
		return eris.Wrapf(ErrInconsistent, "a change made version %d of the closures, and %d is in force", s.ClosureChanges[newest].Version, s.Closures.Version)
	}
	for index, id := range s.History {
		version := s.Dropped + ident.Version(index) + 1
		// The oldest proposals are forgotten, but not their versions.
		if proposal := s.Proposals[id]; proposal != nil && (proposal.Stage != StageRolledOut || proposal.Version != version) {
			return eris.Wrapf(ErrInconsistent, "version %d is proposal %q, which was not rolled out as it", version, id)
		}
	}
	return nil
}

// checkWorkers checks that both ways of looking up a worker id lead to each other.
func checkWorkers(table *workerid.Table) error {
	if len(table.Leases) != len(table.Nodes) {
		return eris.Wrap(ErrInconsistent, "the table of worker ids has another number of daemons than of ids")
	}
	for worker, lease := range table.Leases {
		leased, known := table.Nodes[lease.NodeID]
		if worker < 0 || worker > workerid.MaxWorkerID || lease.WorkerID != worker || !known || leased != worker {
			return eris.Wrapf(ErrInconsistent, "the lease of worker id %d has no daemon that holds it", worker)
		}
	}
	return nil
}

// upgradeHistory brings the state of an earlier build, which did not record what it had forgotten, to today's form.
func (s *State) upgradeHistory() {
	for index := len(s.History) - 1; index >= 0 && s.AppliesKnownFrom == 0; index-- {
		if s.Proposals[s.History[index]] == nil {
			s.raiseAppliesKnownFrom(index + 1)
		}
	}
	s.dropOldVersions()
}
