package statemachine

import "github.com/cresspond/cresspond/ident"

const (
	// maxRetainedBundles is how many of the newest applied configurations are retained in full, maxRetainedBytes how many
	// bytes of them: a snapshot carries them to members that lag. The one in force is always retained.
	maxRetainedBundles = 16
	maxRetainedBytes   = 1 << 20
)

// Version is the version of the configuration in force; zero before the first rollout.
func (s *State) Version() ident.Version { return s.Dropped + ident.Version(len(s.History)) }

// InForce gives the proposal that is in force.
func (s *State) InForce() (*Proposal, bool) { return s.ProposalAt(s.Version()) }

// ProposalAt gives the proposal that was put in force as this version, if it is remembered.
func (s *State) ProposalAt(version ident.Version) (*Proposal, bool) {
	var id string
	switch {
	case version == 0 || version > s.Version():
		return nil, false
	case version <= s.Dropped:
		id = s.PermanentHistory[version]
	default:
		id = s.History[version-s.Dropped-1]
	}
	found := s.Proposals[id]
	return found, found != nil
}

// putInForce is the one function that puts a configuration in force; all other proposals on its base are superseded.
func (s *State) putInForce(proposal *Proposal, action OperatorAction) {
	proposal.Stage, proposal.Version, proposal.RolledOut = StageRolledOut, s.Version()+1, &action
	s.History = append(s.History, proposal.ID)
	// Each configuration raises the revision, also one that names none or an old one: so an apply request that builds
	// on an earlier one conflicts.
	s.Revision = max(s.Revision+1, proposal.Revision)
	for _, other := range s.Proposals {
		if other.Base == proposal.Base && other.Stage != StageRolledOut {
			other.Stage = StageSuperseded
		}
	}
	s.dropPassedRejections()
	s.dropOldBundles()
	s.dropOldVersions()
}

// AppendRecovered adds a configuration that living daemons still hold to the history of a group that lost its majority.
// Only process/consensus/recovery calls it, on a state that no group runs.
func (s *State) AppendRecovered(proposal *Proposal) {
	s.Proposals[proposal.ID] = proposal
	s.History = append(s.History, proposal.ID)
	s.Revision = max(s.Revision+1, proposal.Revision)
	// Which apply request brought this configuration is not known, so none on an earlier base can be refused for certain.
	s.AppliesKnownFrom = s.Revision
}

// versionBefore is the version so many before; zero where there is none.
func versionBefore(version ident.Version, distance uint64) ident.Version {
	return version - min(version, ident.Version(distance))
}

// dropOldBundles bounds how many of the applied configurations are retained in full.
func (s *State) dropOldBundles() {
	remainingBytes, newest := maxRetainedBytes, s.Version()
	for distance := uint64(0); distance <= maxRetainedBundles; distance++ {
		old, known := s.ProposalAt(versionBefore(newest, distance))
		if !known || !old.Applied || len(old.Configuration) == 0 {
			continue
		}
		remainingBytes -= len(old.Configuration)
		if distance > 0 && (remainingBytes < 0 || distance == maxRetainedBundles) {
			old.Configuration = nil
		}
	}
}

// dropOldVersions bounds how many versions are remembered one by one.
func (s *State) dropOldVersions() {
	forgotten := false
	for len(s.History) > s.limits.Versions {
		forgotten = s.dropOldestVersion() || forgotten
	}
	if forgotten {
		s.raiseAppliesKnownFrom(0)
	}
}

// dropOldestVersion removes the oldest version from the history. It says whether an apply request was forgotten with it.
func (s *State) dropOldestVersion() bool {
	id := s.History[0]
	s.History = s.History[1:]
	s.Dropped++
	old, known := s.Proposals[id]
	// The first version tells when the group's first configuration came, so it stays, as do all that were signed off.
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

// raiseAppliesKnownFrom records that apply requests were forgotten, and that all since an index of the history are
// remembered. Each of those forgotten led to a revision at most as high as the base of the oldest one remembered.
func (s *State) raiseAppliesKnownFrom(index int) {
	for _, id := range s.History[index:] {
		if oldest := s.Proposals[id]; oldest != nil && oldest.Applied {
			s.AppliesKnownFrom = max(s.AppliesKnownFrom, oldest.Revision)
			return
		}
	}
	s.AppliesKnownFrom = s.Revision
}
