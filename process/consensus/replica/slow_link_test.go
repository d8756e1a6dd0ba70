package replica

import (
	"bytes"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

const (
	// tenMegabits is a link's speed in bytes a second, thirtySyncs a disk that is thirty times slower than one of 1 ms.
	tenMegabits = 10_000_000 / 8
	thirtySyncs = 30 * time.Millisecond
)

// fill puts so many commands of so many bytes into the log, over links that take no time.
func (s *sim) fill(t *testing.T, count, size int) {
	for range count {
		answered := false
		s.ask(s.leader(), &statemachine.Command{Op: statemachine.OpReview, Configuration: bytes.Repeat([]byte{'x'}, size*3/4)}, func(Response) { answered = true })
		if s.until(5*time.Second, func() bool { return answered }); !answered {
			t.Fatal("a command was not answered")
		}
	}
}

// TestAMachineComesBackInTimeOverASlowLink: a machine is replaced while the log is full of large entries, the disks are
// slow, and all links carry 10 Mbit/s. It must vote within catchUp of its start wherever the link could carry the log
// twice in that time.
func TestAMachineComesBackInTimeOverASlowLink(t *testing.T) {
	for _, c := range []struct {
		count, size int
		bounded     bool
	}{{10, 200 << 10, true}, {20, 200 << 10, false}} {
		for _, first := range []trouble{replacedAnew, returnsEmpty} {
			for victim := range 3 {
				s := calmSim(t, 1, 3)
				s.ended, s.diskTakes = true, thirtySyncs
				s.runFor(time.Second)
				s.fill(t, c.count, c.size)
				s.link, s.sentBytes = tenMegabits, 0
				s.strike(first, s.here()[victim])
				s.runFor(first.over())
				took := s.until(60*time.Second, s.whole)
				t.Logf("%d kB of log, %s at %d: votes %v after its start, %d kB sent", c.count*c.size>>10, first, victim, took.Round(10*time.Millisecond), s.sentBytes>>10)
				if c.bounded && took > catchUp {
					t.Errorf("%d kB of log, %s at %d: it votes only %v after its start", c.count*c.size>>10, first, victim, took)
				}
				if log := c.count * c.size; s.sentBytes > 2*log {
					t.Errorf("%d kB of log, %s at %d: %d kB were sent for it", log>>10, first, victim, s.sentBytes>>10)
				}
				if len(s.violations) > 0 {
					t.Error(s.violations)
				}
			}
		}
	}
}

// promoteWhateverTheLag takes a learner for ready as soon as it is known.
func promoteWhateverTheLag(p MembershipPlan) (raft.Membership, bool) {
	known := p.Progress
	p.Progress = func(id raft.MemberID) Progress {
		standing := known(id)
		standing.Match, standing.MissingBytes = p.LastIndex, 0
		return standing
	}
	return p.Next()
}

// lossBesideALearnerBehind freezes a follower while a new machine is far behind, loses the other as soon as the first is
// back, and says how long the group takes to act.
func lossBesideALearnerBehind(t *testing.T, seed uint64, rule membershipRule) time.Duration {
	s := calmSim(t, seed, 3)
	s.plan, s.ended, s.diskTakes = rule, true, thirtySyncs
	s.runFor(time.Second)
	s.fill(t, 16, 380<<10)
	s.link = tenMegabits
	here := s.here()
	s.add()
	here[1].frozenUntil = s.now + clock.Mark(2500*time.Millisecond)
	s.runFor(2700 * time.Millisecond)
	here[2].loseForGood()
	s.closeAndOpen(true)
	return s.acts(20 * time.Second)
}

// TestALearnerFarBehindTakesNoPlace: a vote given to one that lacks megabytes would leave the group waiting for them over
// the next loss.
func TestALearnerFarBehindTakesNoPlace(t *testing.T) {
	const soon = time.Second
	caught := 0
	var longest, broken time.Duration
	for seed := range uint64(4) {
		took := lossBesideALearnerBehind(t, seed, nil)
		if longest = max(longest, took); took > soon {
			t.Errorf("seed %d: the group acts only after %v", seed, took)
		}
		worse := lossBesideALearnerBehind(t, seed, promoteWhateverTheLag)
		if broken = max(broken, worse); worse > soon {
			caught++
		}
	}
	t.Logf("at most %v; with the lag left out %v, caught in %d of 4 seeds", longest, broken, caught)
	if caught == 0 {
		t.Error("giving the vote whatever the lag was not caught")
	}
}
