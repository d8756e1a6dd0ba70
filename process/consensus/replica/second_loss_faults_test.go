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

// These tests lose a second machine while, or right after, the first is being repaired. They go through the kinds of
// trouble, the machines they may strike and the steps of the repair one by one, instead of drawing them.

const (
	// catchUp is for how long a machine counts as lost after it came back.
	catchUp = 4 * time.Second
	// actsWithin is how long the group may take to acknowledge again after a loss that it must stand.
	actsWithin = 4 * time.Second
	// backAfter is how long a machine stays away that comes back or is replaced.
	backAfter = time.Second
	// drainTakes is how long a daemon takes from SIGTERM to its end, mostWait for how much longer it stays where too few
	// others hold what it holds.
	drainTakes = 2 * time.Second
	mostWait   = 4 * time.Second
)

// trouble is what happens to one machine.
type trouble string

const (
	returnsWithDisk trouble = "lost, back with its disk"
	returnsEmpty    trouble = "lost, back with an empty disk"
	replacedAnew    trouble = "lost, replaced at a new address"
	replacedBefore  trouble = "replacement stands ready, then SIGTERM"
	stopsForGood    trouble = "SIGTERM without return, then replaced"
	stopsAndReturns trouble = "SIGTERM, back with its disk"
	diskStalls      trouble = "its disk stalls for 3 s"
	freezes         trouble = "frozen for 3 s"
	lostForGood     trouble = "lost for good"
)

// repaired lists the troubles after which the group is whole again.
var repaired = []trouble{returnsWithDisk, returnsEmpty, replacedAnew, replacedBefore, stopsForGood, stopsAndReturns, diskStalls, freezes}

// keepsDisk says whether the machine itself comes back with all it had written.
func (k trouble) keepsDisk() bool {
	return slices.Contains([]trouble{returnsWithDisk, stopsAndReturns, diskStalls, freezes}, k)
}

// over is after how long the machine, or the one in its place, is there again.
func (k trouble) over() time.Duration {
	switch k {
	case stopsForGood, stopsAndReturns:
		return drainTakes + backAfter
	case replacedBefore:
		return catchUp + drainTakes
	case diskStalls, freezes:
		return 3 * time.Second
	}
	return backAfter
}

// strike brings the trouble about.
func (s *sim) strike(kind trouble, victim *simNode) {
	switch kind {
	case returnsWithDisk:
		victim.crash()
		s.after(backAfter, victim.revive)
	case returnsEmpty:
		victim.crash()
		victim.empty()
		s.after(backAfter, victim.revive)
	case replacedAnew:
		victim.loseForGood()
		s.after(backAfter, s.add)
	case replacedBefore:
		s.add()
		s.after(catchUp, func() { victim.terminate(victim.loseForGood) })
	case stopsForGood:
		victim.terminate(func() {
			victim.loseForGood()
			s.after(backAfter, s.add)
		})
	case stopsAndReturns:
		victim.terminate(func() {
			victim.crash()
			s.after(backAfter, victim.revive)
		})
	case diskStalls:
		victim.stallUntil = s.now + clock.Mark(3*time.Second)
	case freezes:
		victim.frozenUntil = s.now + clock.Mark(3*time.Second)
	case lostForGood:
		victim.loseForGood()
	}
}

func (n *simNode) loseForGood() {
	n.crash()
	n.gone = true
}

// terminate does what a daemon does after SIGTERM: it hands over, and says that it leaves, until it ends.
func (n *simNode) terminate(end func()) {
	life, ends := n.life, n.sim.now+clock.Mark(drainTakes)
	var beat func()
	beat = func() {
		if n.life != life || !n.up {
			return
		}
		mayEnd := false
		if leader := n.sim.leader(); n.core.IsLeader() {
			n.carryOut(n.core.Step(n.sim.now, raft.TransferLeadership{}))
		} else if leader != nil {
			leader.core.MarkLeaving(n.sim.now, n.id)
			mayEnd = leader.core.SafeToStop(n.sim.now, n.id)
		}
		if late := n.sim.now.Since(ends); late >= 0 && (mayEnd || n.sim.endsUnheld) || late > mostWait {
			end()
			return
		}
		n.sim.after(250*time.Millisecond, beat)
	}
	beat()
}

// closeAndOpen is an operator that asks whoever leads, and at once again when it was answered or has waited long enough.
func (s *sim) closeAndOpen(closed bool) {
	const patience = 200 * time.Millisecond
	answered := false
	again := func() {
		if !answered {
			answered = true
			s.after(20*time.Millisecond, func() { s.closeAndOpen(!closed) })
		}
	}
	s.after(patience, again)
	leader := s.leader()
	if leader == nil {
		return
	}
	s.ask(leader, &statemachine.Command{Op: statemachine.OpClosure, Zone: "z", Closed: closed}, func(a Response) {
		if a.Outcome == Applied && a.Result.Closures != nil {
			s.acks++
			s.ackedEpoch = max(s.ackedEpoch, a.Result.Closures.Version)
		}
		again()
	})
}

// here lists the machines that are there, the leader first.
func (s *sim) here() []*simNode {
	leader := s.leader()
	out := slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return n.gone })
	slices.SortStableFunc(out, func(a, b *simNode) int {
		rank := func(n *simNode) int {
			if n == leader {
				return 0
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return out
}

// runEvents runs so many events.
func (s *sim) runEvents(count int) {
	for range count {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
}

// acts says how long it takes until something new is acknowledged by a leader that holds all that was.
func (s *sim) acts(within time.Duration) time.Duration {
	before := s.acks
	return s.until(within, func() bool {
		leader := s.leader()
		return s.acks > before && leader != nil && leader.core.state.Closures.Version >= s.ackedEpoch
	})
}

// shape tells the steps of a repair apart: who is there, leads, votes, has written what membership, and is ready.
func (s *sim) shape() string {
	var out strings.Builder
	for _, n := range s.nodes {
		core := n.core.raft
		fmt.Fprintf(&out, "%t %t %t %d %d %d|", n.up, n.gone, n.stalled, n.id, core.Role(), core.Term())
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
