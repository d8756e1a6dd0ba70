package replica

import (
	"cmp"
	"container/heap"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
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

// lossCase is one history: a first trouble, and a second one at a step of its repair.
type lossCase struct {
	size          int
	first, second trouble
	victim, next  int
	// events is how many events after the first trouble the second comes; zero stands for the end of catchUp.
	events    int
	diskTakes time.Duration
	// endsUnheld breaks the rule that one that stops waits for the others.
	endsUnheld bool
}

func (c lossCase) String() string {
	return fmt.Sprintf("%d members, disk %v, first %q at %d, then %q at %d after %d events", c.size, c.diskTakes, c.first, c.victim, c.second, c.next, c.events)
}

type membershipRule func(MembershipPlan) (raft.Membership, bool)

func (c lossCase) begin(t *testing.T, rule membershipRule) *sim {
	s := calmSim(t, 1, c.size)
	s.plan, s.diskTakes, s.endsUnheld, s.ended = rule, c.diskTakes, c.endsUnheld, true
	s.closeAndOpen(true)
	s.runFor(time.Second)
	s.strike(c.first, s.here()[c.victim])
	return s
}

// steps lists after how many events the repair takes a step, with the event before each.
func (c lossCase) steps(t *testing.T, rule membershipRule) []int {
	s := c.begin(t, rule)
	from, end := s.now, s.now+clock.Mark(c.first.over()+catchUp)
	if c.first == replacedBefore {
		// Until SIGTERM nothing is lost or repaired.
		from += clock.Mark(catchUp)
	}
	var out []int
	last := s.shape()
	for count := 1; len(s.events) > 0 && s.events[0].at < end; count++ {
		s.runEvents(1)
		if shape := s.shape(); shape != last && s.now >= from {
			out = append(out, count-1, count)
			last = shape
		}
	}
	return slices.Compact(out)
}

// play runs the case; it says what went wrong, and how long the group took to act.
func (c lossCase) play(t *testing.T, rule membershipRule) (string, time.Duration) {
	s := c.begin(t, rule)
	back := s.now + clock.Mark(c.first.over())
	if c.events > 0 {
		s.runEvents(c.events)
	} else {
		s.runFor(c.first.over() + catchUp)
	}
	here := s.here()
	if c.next >= len(here) {
		return "", 0
	}
	victim := here[c.next]
	s.strike(c.second, victim)
	if c.events > 0 && c.size == 3 && c.first != replacedBefore {
		// Two of three are away: the group acts once one is back.
		s.runFor(max(back.Since(s.now), c.second.awayFor()))
	}
	took := s.acts(actsWithin)
	if took < actsWithin {
		// And still once whoever stops has ended, and whoever is to come has come.
		s.runFor(max(0, back.Since(s.now)) + mostWait)
		took = max(took, s.acts(actsWithin))
	}
	switch {
	case len(s.violations) > 0:
		return s.violations[0], took
	case took >= actsWithin:
		return fmt.Sprintf("it does not act within %v", actsWithin), took
	}
	return "", took
}

// awayFor is how long a second machine stays away where two are more than the group stands.
func (k trouble) awayFor() time.Duration {
	if k == lostForGood {
		return 0
	}
	return k.over()
}

// thorough asks for all cases to be listed, and one of so many of them to be played: CRESSPOND_SECOND_LOSS=1 plays all.
func thorough() (every int, asked bool) {
	every, err := strconv.Atoi(os.Getenv("CRESSPOND_SECOND_LOSS"))
	return every, err == nil && every > 0
}

// disks lists how long a write takes: with disks of 30 ms there are more steps to lose a machine at.
func disks() []time.Duration {
	if _, asked := thorough(); asked {
		return []time.Duration{0, thirtySyncs}
	}
	return []time.Duration{thirtySyncs}
}

// afterCatchUp lists every pair of troubles and machines, the second as soon as the first counts as over.
func afterCatchUp(size int) []lossCase {
	var out []lossCase
	for _, disk := range disks() {
		for _, first := range repaired {
			for victim := range size {
				for _, second := range append(slices.Clone(repaired), lostForGood) {
					for next := range size {
						out = append(out, lossCase{size: size, first: first, second: second, victim: victim, next: next, diskTakes: disk})
					}
				}
			}
		}
	}
	return out
}

// amidRepair lists every step of each repair, with a second loss there: for good where the group must stand that,
// and of power only where the first took a disk with it and one loss is what the group stands.
func amidRepair(t *testing.T, size int, firsts []trouble, rule membershipRule) []lossCase {
	var out []lossCase
	for _, disk := range disks() {
		for _, first := range firsts {
			for victim := range size {
				c := lossCase{size: size, first: first, victim: victim, diskTakes: disk, second: returnsWithDisk}
				if first.keepsDisk() || first == replacedBefore || size == 5 {
					c.second = lostForGood
				}
				for _, events := range c.steps(t, rule) {
					for next := range size {
						one := c
						one.events, one.next = events, next
						out = append(out, one)
					}
				}
			}
		}
	}
	return out
}

// tally is what came of playing cases.
type tally struct {
	played, failed int
	longest        time.Duration
	example        string
}

// playAll plays one of so many cases, or all where that is asked for.
func playAll(t *testing.T, cases []lossCase, every int, rule membershipRule) (out tally) {
	if wanted, asked := thorough(); asked {
		every = wanted
	}
	for place := 0; place < len(cases); place += every {
		fault, took := cases[place].play(t, rule)
		out.played++
		out.longest = max(out.longest, took)
		if fault != "" {
			out.failed++
			out.example = cmp.Or(out.example, fmt.Sprintf("%v: %s", cases[place], fault))
		}
	}
	return out
}

func (o tally) report(t *testing.T, size, listed int) {
	t.Logf("%d voters: %d of %d cases played, acting again after at most %v", size, o.played, listed, o.longest)
	if o.failed > 0 || o.played == 0 {
		t.Errorf("%d of %d failed, the first: %s", o.failed, o.played, o.example)
	}
}

// TestASecondLossAfterTheFirstIsRepaired: whatever happened to one machine, and whatever happens to any as soon as the
// first counts as back, the group acts within the stated time, and its leader holds all that was acknowledged.
func TestASecondLossAfterTheFirstIsRepaired(t *testing.T) {
	for _, group := range []struct{ size, every int }{{3, 11}, {5, 97}} {
		cases := afterCatchUp(group.size)
		playAll(t, cases, group.every, nil).report(t, group.size, len(cases))
	}
}

// TestASecondLossAtEachStepOfARepair: the same at each step between.
func TestASecondLossAtEachStepOfARepair(t *testing.T) {
	for _, group := range []struct {
		size, every int
		firsts      []trouble
	}{{3, 41, repaired}, {5, 97, []trouble{replacedBefore}}} {
		firsts := group.firsts
		if _, asked := thorough(); asked {
			firsts = repaired
		}
		cases := amidRepair(t, group.size, firsts, nil)
		playAll(t, cases, group.every, nil).report(t, group.size, len(cases))
	}
}

// removeBeforePromote is the rule without promoteForLeaving: who leaves goes first, and another comes after.
func removeBeforePromote(p MembershipPlan) (raft.Membership, bool) {
	ready := p.readyLearners()
	for _, step := range []func() (raft.Membership, bool){
		p.admit,
		func() (raft.Membership, bool) { return p.removePreviousIdentity(ready) },
		func() (raft.Membership, bool) { return p.fillVacancy(ready) },
		func() (raft.Membership, bool) { return p.removeAbsent(ready) },
		p.removeUnreachableLearner,
	} {
		if next, ok := step(); ok {
			return next, true
		}
	}
	return raft.Membership{}, false
}

// removeWithNobodyReady lets go of whoever is absent, whether or not another can take the place.
func removeWithNobodyReady(p MembershipPlan) (raft.Membership, bool) {
	if absent, found := p.absentVoter(); found {
		return p.Current.Without(absent), true
	}
	return p.Next()
}

// TestTheLossCheckerCatchesBrokenRules: each broken rule must fail in some case.
func TestTheLossCheckerCatchesBrokenRules(t *testing.T) {
	for name, broken := range map[string]struct {
		rule       membershipRule
		firsts     []trouble
		endsUnheld bool
	}{
		"who leaves goes before another votes": {rule: removeBeforePromote, firsts: []trouble{replacedBefore}},
		"who is absent goes with nobody ready": {rule: removeWithNobodyReady, firsts: []trouble{stopsAndReturns, freezes}},
		"who stops waits for nobody":           {firsts: []trouble{replacedBefore}, endsUnheld: true},
	} {
		t.Run(name, func(t *testing.T) {
			for place, c := range amidRepair(t, 3, broken.firsts, broken.rule) {
				c.endsUnheld = broken.endsUnheld
				if fault, _ := c.play(t, broken.rule); fault != "" {
					t.Logf("case %d, %v: %s", place, c, fault)
					return
				}
			}
			t.Error("no case caught it")
		})
	}
}
