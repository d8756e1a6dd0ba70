package replica

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// secondLossCase is one history: a first fault, and a second one at a step of its repair.
type secondLossCase struct {
	size          int
	first, second faultKind
	victim, next  int
	// events is how many events after the first fault the second comes, gap how long after it; where both are zero it comes
	// at the end of catchUpTime.
	events        int
	gap           time.Duration
	writeDuration time.Duration
	// stopsUnsafely injects a defect: a member that stops does not wait for an up-to-date majority.
	stopsUnsafely bool
}

func (c secondLossCase) String() string {
	return fmt.Sprintf("%d members, disk %v, first %q at %d, then %q at %d after %d events and %v", c.size, c.writeDuration, c.first, c.victim, c.second, c.next, c.events, c.gap)
}

type membershipRule func(MembershipPlan) (raft.Membership, bool)

func (c secondLossCase) begin(t *testing.T, rule membershipRule) *simulation {
	sim := newFaultlessSimulation(t, 1, c.size)
	sim.membershipRule, sim.writeDuration, sim.stopsUnsafely, sim.operatorsStopped = rule, c.writeDuration, c.stopsUnsafely, true
	sim.toggleClosure(true)
	sim.runFor(time.Second)
	sim.inject(c.first, sim.presentMachines()[c.victim])
	return sim
}

// steps lists the event counts right before and after each step of the repair.
func (c secondLossCase) steps(t *testing.T, rule membershipRule) []int {
	sim := c.begin(t, rule)
	from, end := sim.now, sim.now+clock.Mark(c.first.repairTime()+catchUpTime)
	if c.first == replacedBeforehand {
		// Until SIGTERM nothing is lost or repaired.
		from += clock.Mark(catchUpTime)
	}
	var out []int
	last := sim.repairFingerprint()
	for count := 1; len(sim.events) > 0 && sim.events[0].at < end; count++ {
		sim.runEvents(1)
		if shape := sim.repairFingerprint(); shape != last && sim.now >= from {
			out = append(out, count-1, count)
			last = shape
		}
	}
	return slices.Compact(out)
}

// play runs the case. It returns the violation, if any, and how long the group took to recover.
func (c secondLossCase) play(t *testing.T, rule membershipRule) (string, time.Duration) {
	sim := c.begin(t, rule)
	back := sim.now + clock.Mark(c.first.repairTime())
	switch {
	case c.events > 0:
		sim.runEvents(c.events)
	case c.gap > 0:
		sim.runFor(c.gap)
	default:
		sim.runFor(c.first.repairTime() + catchUpTime)
	}
	here := sim.presentMachines()
	if c.next >= len(here) {
		return "", 0
	}
	victim := here[c.next]
	sim.inject(c.second, victim)
	duringRepair := c.events > 0 || c.gap > 0 && c.gap < c.first.repairTime()+catchUpTime
	if duringRepair && c.size == 3 && c.first != replacedBeforehand {
		// Two of three are away: the group recovers once one is back.
		sim.runFor(max(back.Since(sim.now), c.second.downtimeAsSecond()))
	}
	took := sim.recoveryTime(recoveryLimit)
	if took < recoveryLimit {
		// It must still work once the machine that stops has ended and its replacement has come.
		sim.runFor(max(0, back.Since(sim.now)) + drainExtension)
		took = max(took, sim.recoveryTime(recoveryLimit))
	}
	switch {
	case len(sim.violations) > 0:
		return sim.violations[0], took
	case took >= recoveryLimit:
		return fmt.Sprintf("it does not recover within %v", recoveryLimit), took
	}
	return "", took
}

// downtimeAsSecond is how long a second machine stays away where two lost machines are more than the group survives.
func (k faultKind) downtimeAsSecond() time.Duration {
	if k == lostForever {
		return 0
	}
	return k.repairTime()
}

// playEvery reads from the environment that all cases are to be listed and every n-th played: CRESSPOND_SECOND_LOSS=1
// plays all.
func playEvery() (every int, requested bool) {
	every, err := strconv.Atoi(os.Getenv("CRESSPOND_SECOND_LOSS"))
	return every, err == nil && every > 0
}

// writeDurations lists the durations of a write: disks of 30 ms give more steps at which a machine can be lost.
func writeDurations() []time.Duration {
	if _, requested := playEvery(); requested {
		return []time.Duration{0, slowWriteDuration}
	}
	return []time.Duration{slowWriteDuration}
}

// casesAfterCatchUp lists every pair of faults and machines, the second as soon as the first counts as repaired.
func casesAfterCatchUp(size int) []secondLossCase {
	var out []secondLossCase
	for _, disk := range writeDurations() {
		for _, first := range repairedFaults {
			for victim := range size {
				for _, second := range append(slices.Clone(repairedFaults), lostForever) {
					for next := range size {
						out = append(out, secondLossCase{size: size, first: first, second: second, victim: victim, next: next, writeDuration: disk})
					}
				}
			}
		}
	}
	return out
}

// casesDuringRepair lists every step of each repair with a second loss there: for good where the group must survive that,
// and of power only where the first lost its disk too and the group survives no more than one such loss.
func casesDuringRepair(t *testing.T, size int, firsts []faultKind, rule membershipRule) []secondLossCase {
	var out []secondLossCase
	for _, disk := range writeDurations() {
		for _, first := range firsts {
			for victim := range size {
				c := secondLossCase{size: size, first: first, victim: victim, writeDuration: disk, second: returnsWithDisk}
				if first.keepsDisk() || first == replacedBeforehand || size == 5 {
					c.second = lostForever
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

// casesAtGap lists every pair of losses one to five seconds apart, in each order of the machines: the second for good
// where the group must survive that, and of power only elsewhere.
func casesAtGap(size int) []secondLossCase {
	var out []secondLossCase
	for gap := time.Second; gap <= 5*time.Second; gap += 500 * time.Millisecond {
		for _, first := range repairedFaults {
			seconds := []faultKind{returnsWithDisk}
			if first.keepsDisk() || first == replacedBeforehand {
				seconds = append(seconds, lostForever)
			}
			if size == 5 {
				seconds = append(slices.Clone(repairedFaults), lostForever)
			}
			for _, second := range seconds {
				for victim := range size {
					for next := range size {
						out = append(out, secondLossCase{size: size, first: first, second: second, victim: victim, next: next, gap: gap, writeDuration: slowWriteDuration})
					}
				}
			}
		}
	}
	return out
}

// tally sums up the cases that were played.
type tally struct {
	played, failed int
	longest        time.Duration
	example        string
}

// playAll plays every n-th case, or as many as the environment asks for.
func playAll(t *testing.T, cases []secondLossCase, every int, rule membershipRule) (out tally) {
	if wanted, requested := playEvery(); requested {
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
