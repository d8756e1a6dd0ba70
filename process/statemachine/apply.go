package statemachine

import (
	"slices"
	"strings"

	"github.com/cresspond/cresspond/epoch/packed"
	"github.com/cresspond/cresspond/process/ident"
)

const (
	// appliedPrefix begins the ids of bundles that were applied in one step; no proposal may take such an id.
	appliedPrefix = "apply:"
	// keptBundles is how many of the newest applied bundles are kept whole, keptBytes how much of them: the
	// state goes whole to members who lag. The one in force is always kept.
	keptBundles = 16
	keptBytes   = 1 << 20
	// keptApplied is how many are known by their digest: an order sent again after so many others were taken is
	// not known any more.
	keptApplied = 4096
	// keptRefused is how many of the newest orders on a base that never was in force are known to be refused.
	keptRefused = 256
)

// AppliedID is the proposal id under which an order with this digest stands, once it was taken.
func AppliedID(digest string) string { return appliedPrefix + digest }

// Applied finds the bundle that an order with this digest put in force.
func (s *State) Applied(digest string) (*Proposal, bool) {
	found := s.Proposals[AppliedID(digest)]
	return found, found != nil
}

// Bundle gives the bundle as it was handed in; nothing where it is no longer kept.
func (p *Proposal) Bundle() ([]byte, error) {
	return p.Packing().Raw()
}

// Packing gives the bundle as it travels.
func (p *Proposal) Packing() packed.Bundle { return packed.Bundle{Data: p.Spec, Packed: p.Packed} }

// applyBundle proposes, reviews, signs and rolls in one step, for fleets that let an operator alone do so.
// The bundle stays packed as it came: nothing here depends on what a member makes of it.
func (s *State) applyBundle(c Command) Result {
	if c.Digest == "" {
		return Result{Verdict: Malformed, Reason: "an applied bundle needs a digest"}
	}
	// First of all: an order that was taken is never refused, whatever came after it.
	if known, taken := s.Applied(c.Digest); taken {
		return Result{Verdict: Done, Proposal: known.brief()}
	}
	if (c.BaseRevision > s.Revision || len(c.Spec) == 0) && !slices.Contains(s.Refused, c.Digest) {
		// The base may yet come in force, or has since its sender looked and left the bundle out. Another copy
		// of the order may be under way: what is refused now is written down, so that no copy of it wins then.
		s.Refused = append(s.Refused, c.Digest)
		s.Refused = s.Refused[max(0, len(s.Refused)-keptRefused):]
	}
	if c.BaseRevision != s.Revision || c.Revision <= s.Revision || slices.Contains(s.Refused, c.Digest) {
		// Revisions only rise, so a base that was passed never will be in force again: the loser stays one.
		result := Result{Verdict: Conflict, Reason: "the base is not the revision in force, or the revision is not above it"}
		if inForce, any := s.InForce(); any {
			result.Winner = inForce.ID
		}
		return result
	}
	mark := Mark{Operator: c.Operator, At: s.Now, Note: c.Note}
	applied := &Proposal{ID: AppliedID(c.Digest), Base: s.Epoch(), Proposed: mark, Spec: c.Spec, Packed: c.Packed, Revision: c.Revision, Applied: true}
	s.Proposals[applied.ID] = applied
	s.putInForce(applied, mark)
	return Result{Verdict: Done, Proposal: applied.brief()}
}

// putInForce is the one place where a bundle comes in force; all others on its base have lost.
func (s *State) putInForce(p *Proposal, mark Mark) {
	p.Stage, p.Epoch, p.Rolled = Rolled, s.Epoch()+1, &mark
	s.History = append(s.History, p.ID)
	// Each bundle raises the revision, also one that names none or an old one: so an order that builds on an
	// earlier one can't pass over it unseen.
	s.Revision = max(s.Revision+1, p.Revision)
	for _, other := range s.Proposals {
		if other.Base == p.Base && other.Stage != Rolled {
			other.Stage = Lost
		}
	}
	s.forgetApplied()
}

// forgetApplied bounds what is kept of bundles applied in one step.
func (s *State) forgetApplied() {
	room, newest := keptBytes, s.Epoch()
	for back := uint64(0); back <= keptBundles; back++ {
		old, ok := s.At(epochBefore(newest, back))
		if !ok || !old.Applied || len(old.Spec) == 0 {
			continue
		}
		if room -= len(old.Spec); back > 0 && (room < 0 || back == keptBundles) {
			old.Spec = nil
		}
	}
	// Each epoch passes this bound once. The first tells when the group's first bundle came, so it stays.
	if old, ok := s.At(epochBefore(newest, keptApplied)); ok && old.Applied && old.Epoch > 1 {
		delete(s.Proposals, old.ID)
	}
}

// epochBefore is the epoch that lies so far back; zero where there is none.
func epochBefore(epoch ident.Epoch, back uint64) ident.Epoch {
	return epoch - min(epoch, ident.Epoch(back))
}

// reserved says whether a proposal's id could be taken for that of an applied bundle.
func reserved(id string) bool { return strings.HasPrefix(id, appliedPrefix) }
