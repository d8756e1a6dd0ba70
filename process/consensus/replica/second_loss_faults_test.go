package replica

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// These tests lose a second machine while, or right after, the first is being repaired. They enumerate the kinds of
// faults, the machines and the steps of the repair, instead of drawing them at random.

const (
	// catchUpTime is for how long a machine still counts as lost after it came back.
	catchUpTime = 4 * time.Second
	// recoveryLimit is how long the group may take to acknowledge again after a loss that it must survive.
	recoveryLimit = 4 * time.Second
	// downtime is how long a machine stays away that returns or is replaced.
	downtime = time.Second
	// drainDuration is how long a daemon takes from SIGTERM to its end, drainExtension how much longer it stays at most
	// where no majority of the others is up to date.
	drainDuration  = 2 * time.Second
	drainExtension = 4 * time.Second
)

// faultKind is what happens to one machine.
type faultKind string

const (
	returnsWithDisk    faultKind = "lost, back with its disk"
	returnsWithoutDisk faultKind = "lost, back with an empty disk"
	replacedAfterwards faultKind = "lost, replaced at a new address"
	replacedBeforehand faultKind = "replacement ready, then SIGTERM"
	stopsForever       faultKind = "SIGTERM without return, then replaced"
	stopsAndReturns    faultKind = "SIGTERM, back with its disk"
	diskStalls         faultKind = "its disk stalls for 3 s"
	freezes            faultKind = "suspended for 3 s"
	lostForever        faultKind = "lost for good"
)

// repairedFaults lists the faults after which the group gets back to full strength.
var repairedFaults = []faultKind{returnsWithDisk, returnsWithoutDisk, replacedAfterwards, replacedBeforehand, stopsForever, stopsAndReturns, diskStalls, freezes}

// keepsDisk reports whether the machine itself comes back with all it had written.
func (k faultKind) keepsDisk() bool {
	return slices.Contains([]faultKind{returnsWithDisk, stopsAndReturns, diskStalls, freezes}, k)
}

// repairTime is the time until the machine or its replacement is up again.
func (k faultKind) repairTime() time.Duration {
	switch k {
	case stopsForever, stopsAndReturns:
		return drainDuration + downtime
	case replacedBeforehand:
		return catchUpTime + drainDuration
	case diskStalls, freezes:
		return 3 * time.Second
	}
	return downtime
}

// inject makes the fault happen.
func (s *simulation) inject(kind faultKind, victim *simulatedNode) {
	switch kind {
	case returnsWithDisk:
		victim.crash()
		s.schedule(downtime, victim.restart)
	case returnsWithoutDisk:
		victim.crash()
		victim.wipeDisk()
		s.schedule(downtime, victim.restart)
	case replacedAfterwards:
		victim.removeForGood()
		s.schedule(downtime, s.addMachine)
	case replacedBeforehand:
		s.addMachine()
		s.schedule(catchUpTime, func() { victim.terminate(victim.removeForGood) })
	case stopsForever:
		victim.terminate(func() {
			victim.removeForGood()
			s.schedule(downtime, s.addMachine)
		})
	case stopsAndReturns:
		victim.terminate(func() {
			victim.crash()
			s.schedule(downtime, victim.restart)
		})
	case diskStalls:
		victim.stallUntil = s.now + clock.Mark(3*time.Second)
	case freezes:
		victim.frozenUntil = s.now + clock.Mark(3*time.Second)
	case lostForever:
		victim.removeForGood()
	}
}

func (n *simulatedNode) removeForGood() {
	n.crash()
	n.removed = true
}

// terminate does what a daemon does after SIGTERM: it transfers its leadership and announces its shutdown until it ends.
func (n *simulatedNode) terminate(end func()) {
	incarnation, ends := n.incarnation, n.sim.now+clock.Mark(drainDuration)
	var announce func()
	announce = func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		mayEnd := false
		if leader := n.sim.leader(); n.core.IsLeader() {
			n.execute(n.core.Step(n.sim.now, raft.TransferLeadership{}))
		} else if leader != nil {
			leader.core.MarkLeaving(n.sim.now, n.id, uint64(n.incarnation))
			mayEnd = leader.core.SafeToStop(n.sim.now, n.id)
		}
		if late := n.sim.now.Since(ends); late >= 0 && (mayEnd || n.sim.stopsUnsafely) || late > drainExtension {
			end()
			return
		}
		n.sim.schedule(250*time.Millisecond, announce)
	}
	announce()
}

// toggleClosure is an operator that sends requests to the leader, the next one as soon as one is answered or timed out.
func (s *simulation) toggleClosure(closed bool) {
	const patience = 200 * time.Millisecond
	answered := false
	again := func() {
		if !answered {
			answered = true
			s.schedule(20*time.Millisecond, func() { s.toggleClosure(!closed) })
		}
	}
	s.schedule(patience, again)
	leader := s.leader()
	if leader == nil {
		return
	}
	s.request(leader, &statemachine.Command{Op: statemachine.OpClosure, Zone: "z", Closed: closed}, func(a Response) {
		if a.Outcome == Applied && a.Result.Closures != nil {
			s.acks++
			s.ackedVersion = max(s.ackedVersion, a.Result.Closures.Version)
		}
		again()
	})
}

// presentMachines lists the machines that were not removed, the leader first.
func (s *simulation) presentMachines() []*simulatedNode {
	leader := s.leader()
	out := slices.DeleteFunc(slices.Clone(s.nodes), func(n *simulatedNode) bool { return n.removed })
	slices.SortStableFunc(out, func(a, b *simulatedNode) int {
		rank := func(n *simulatedNode) int {
			if n == leader {
				return 0
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return out
}

// runEvents runs the next events.
func (s *simulation) runEvents(count int) {
	for range count {
		event := heap.Pop(&s.events).(scheduledEvent)
		s.now = event.at
		event.run()
	}
}

// recoveryTime is the time until something new is acknowledged by a leader that holds all that was acknowledged before.
func (s *simulation) recoveryTime(within time.Duration) time.Duration {
	before := s.acks
	return s.runUntil(within, func() bool {
		leader := s.leader()
		return s.acks > before && leader != nil && leader.core.state.Closures.Version >= s.ackedVersion
	})
}

// repairFingerprint tells the steps of a repair apart: which machines are up, lead, vote, have written which membership,
// and are ready.
func (s *simulation) repairFingerprint() string {
	var out strings.Builder
	for _, n := range s.nodes {
		core := n.core.raft
		fmt.Fprintf(&out, "%t %t %t %d %d %d|", n.up, n.removed, n.stalled, n.id, core.Role(), core.Term())
		for _, member := range core.Membership().Members {
			fmt.Fprintf(&out, "%d %t,", member.ID, member.Voter)
		}
		written := 0
		for _, entry := range n.disk.state.Entries {
			if entry.Kind == raft.EntryMembership {
				written = int(entry.Index)
			}
		}
		fmt.Fprintf(&out, "%d;", written)
	}
	if leader := s.leader(); leader != nil {
		for _, member := range leader.core.raft.Membership().Members {
			ready := leader.core.raft.MatchIndex(member.ID)+caughtUpEntries >= leader.core.raft.LastIndex()
			fmt.Fprintf(&out, "%t %t,", ready, leader.core.IsLeader())
		}
	}
	return out.String()
}
