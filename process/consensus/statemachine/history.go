package statemachine

import (
	"github.com/cresspond/cresspond/ident"
)

const (
	// keptBundles is how many of the newest applied bundles are kept whole, keptBytes how much of them: the
	// state goes whole to members who lag. The one in force is always kept.
	maxRetainedBundles = 16
	maxRetainedBytes   = 1 << 20
)

// Epoch is the spec epoch in force; zero before the first roll.
func (s *State) Version() ident.Version { return s.Dropped + ident.Version(len(s.History)) }

// InForce gives the proposal that is in force.
func (s *State) InForce() (*Proposal, bool) { return s.ProposalAt(s.Version()) }

// At gives the proposal that was put in force with this epoch.
func (s *State) ProposalAt(epoch ident.Version) (*Proposal, bool) {
	var id string
	switch {
	case epoch == 0 || epoch > s.Version():
		return nil, false
	case epoch <= s.Dropped:
		id = s.PermanentHistory[epoch]
	default:
		id = s.History[epoch-s.Dropped-1]
	}
	found := s.Proposals[id]
	return found, found != nil
}

// putInForce is the one place where a bundle comes in force; all others on its base have lost.
func (s *State) putInForce(p *Proposal, mark OperatorAction) {
	p.Stage, p.Version, p.RolledOut = StageRolledOut, s.Version()+1, &mark
	s.History = append(s.History, p.ID)
	// Each bundle raises the revision, also one that names none or an old one: so an order that builds on an
	// earlier one can't pass over it unseen.
	s.Revision = max(s.Revision+1, p.Revision)
	for _, other := range s.Proposals {
		if other.Base == p.Base && other.Stage != StageRolledOut {
			other.Stage = StageSuperseded
		}
	}
	s.dropPassedRejections()
	s.dropOldBundles()
	s.dropOldVersions()
}

// Recovered takes a bundle that living daemons hold into a history that was lost with its majority.
func (s *State) AppendRecovered(p *Proposal) {
	s.Proposals[p.ID] = p
	s.History = append(s.History, p.ID)
	s.Revision = max(s.Revision+1, p.Revision)
	// Which order brought this bundle is not known, so none on an earlier base can be refused for certain.
	s.AppliesKnownFrom = s.Revision
}

// epochBefore is the epoch that lies so far back; zero where there is none.
func versionBefore(epoch ident.Version, back uint64) ident.Version {
	return epoch - min(epoch, ident.Version(back))
}

// forgetWhole bounds how many of the applied bundles are kept whole.
func (s *State) dropOldBundles() {
	room, newest := maxRetainedBytes, s.Version()
	for back := uint64(0); back <= maxRetainedBundles; back++ {
		old, ok := s.ProposalAt(versionBefore(newest, back))
		if !ok || !old.Applied || len(old.Configuration) == 0 {
			continue
		}
		if room -= len(old.Configuration); back > 0 && (room < 0 || back == maxRetainedBundles) {
			old.Configuration = nil
		}
	}
}

// forgetEpochs bounds how many epochs are remembered one by one.
func (s *State) dropOldVersions() {
	forgotten := false
	for len(s.History) > s.limits.Versions {
		forgotten = s.dropOldestVersion() || forgotten
	}
	if forgotten {
		s.raiseAppliesKnownFrom(0)
	}
}

// dropOldest takes the oldest epoch out of the history; it says whether an order was forgotten with it.
func (s *State) dropOldestVersion() bool {
	id := s.History[0]
	s.History = s.History[1:]
	s.Dropped++
	old, known := s.Proposals[id]
	// The first epoch tells when the group's first bundle came, so it stays.
	if known && (!old.Applied || old.Version <= 1) {
		if s.PermanentHistory == nil {
			s.PermanentHistory = map[ident.Version]string{}
		}
		s.PermanentHistory[s.Dropped] = id
		return false
	}
	delete(s.Proposals, id)
	return true
}

// raiseProvenFrom notes that orders were forgotten, and that all since a place in the history are remembered. Of
// those forgotten each led to a revision at most as high as the base of the oldest one remembered.
func (s *State) raiseAppliesKnownFrom(place int) {
	for _, id := range s.History[place:] {
		if oldest := s.Proposals[id]; oldest != nil && oldest.Applied {
			s.AppliesKnownFrom = max(s.AppliesKnownFrom, oldest.Revision)
			return
		}
	}
	s.AppliesKnownFrom = s.Revision
}
