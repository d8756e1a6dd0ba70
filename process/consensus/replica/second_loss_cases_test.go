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
