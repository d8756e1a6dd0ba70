package replica

import (
	"fmt"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

func (s *simulation) reportViolation(format string, args ...any) {
	if len(s.violations) < 5 {
		s.violations = append(s.violations, fmt.Sprintf("%v: ", time.Duration(s.now).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// checkDurable checks that what a leader applies is on the disks of a majority, or was on those that were wiped since.
func (n *simulatedNode) checkDurable() {
	s := n.sim
	if n.core.raft.Role() != raft.Leader || n.core.appliedIndex <= s.highestApplied {
		return
	}
	s.highestApplied = n.core.appliedIndex
	voters, holding := n.core.raft.Membership().Voters(), 0
	for _, id := range voters {
		disk := s.wipedDisks[id]
		if other := s.nodeOf(id); other != nil {
			disk = other.disk.state
		}
		last := disk.Snapshot.Index
		if count := len(disk.Entries); count > 0 {
			last = max(last, disk.Entries[count-1].Index)
		}
		if last >= n.core.appliedIndex {
			holding++
		}
	}
	if holding <= len(voters)/2 {
		s.reportViolation("member %d applied %d, and it is on the disks of %d of %d voters", n.id, n.core.appliedIndex, holding, len(voters))
	}
}

// checkApplied checks that all members apply the same entries, and that the group's time never goes back.
func (n *simulatedNode) checkApplied() {
	s := n.sim
	if n.core.state.Now < n.lastGroupTime {
		s.reportViolation("the group's time went back at member %d", n.id)
	}
	n.lastGroupTime = n.core.state.Now
	// Leases expire by the group's time, so it must not run ahead of the time that has passed.
	if s.firstGroupTime == 0 {
		s.firstGroupTime, s.firstAt = n.core.state.Now, s.now
	}
	if ran, passed := time.Duration(n.core.state.Now-s.firstGroupTime)*time.Millisecond, s.now.Since(s.firstAt); s.firstGroupTime > 0 && ran > passed+passed/50+time.Second {
		s.reportViolation("the group's time ran %v ahead at member %d", ran-passed, n.id)
	}
	if term, ok := n.core.raft.EntryTerm(n.core.appliedIndex); ok {
		digest := fmt.Sprint(term)
		if known, seen := s.applied[n.core.appliedIndex]; seen && known != digest {
			s.reportViolation("member %d applied term %s at %d, and another applied term %s", n.id, digest, n.core.appliedIndex, known)
		}
		s.applied[n.core.appliedIndex] = digest
	}
	if s.defect == forgottenFloors {
		clear(n.core.state.Workers.Floors)
	}
}
