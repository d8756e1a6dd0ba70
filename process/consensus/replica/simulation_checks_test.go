package replica

import (
	"fmt"
	"time"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

func (s *sim) fault(format string, args ...any) {
	if len(s.violations) < 5 {
		s.violations = append(s.violations, fmt.Sprintf("%v: ", time.Duration(s.now).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// checkDurable holds that what a leader applies is on the disks of a majority, or was on those that were lost since.
func (n *simNode) checkDurable() {
	s := n.sim
	if n.core.raft.Role() != raft.Leader || n.core.appliedIndex <= s.highest {
		return
	}
	s.highest = n.core.appliedIndex
	voters, holding := n.core.raft.Membership().Voters(), 0
	for _, id := range voters {
		disk := s.lostDisks[id]
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
		s.fault("member %d applied %d, and it is on the disks of %d of %d voters", n.id, n.core.appliedIndex, holding, len(voters))
	}
}

// checkApplied holds that all members apply the same entries, and that the group's time never goes back.
func (n *simNode) checkApplied() {
	s := n.sim
	if n.core.state.Now < n.lastNow {
		s.fault("the group's time went back at member %d", n.id)
	}
	n.lastNow = n.core.state.Now
	// Leases end by the group's time, so it must not run ahead of what has truly passed.
	if s.firstNow == 0 {
		s.firstNow, s.firstAt = n.core.state.Now, s.now
	}
	if ran, passed := time.Duration(n.core.state.Now-s.firstNow)*time.Millisecond, s.now.Since(s.firstAt); s.firstNow > 0 && ran > passed+passed/50+time.Second {
		s.fault("the group's time ran %v ahead at member %d", ran-passed, n.id)
	}
	if term, ok := n.core.raft.EntryTerm(n.core.appliedIndex); ok {
		digest := fmt.Sprint(term)
		if known, seen := s.applied[n.core.appliedIndex]; seen && known != digest {
			s.fault("member %d applied term %s at %d, and another applied term %s", n.id, digest, n.core.appliedIndex, known)
		}
		s.applied[n.core.appliedIndex] = digest
	}
	if s.broken == floorForgotten {
		clear(n.core.state.Workers.Floors)
	}
}
