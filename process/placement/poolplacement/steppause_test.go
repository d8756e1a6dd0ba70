package poolplacement

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// plannedFor plays a planner whose steps take so long and gives how many it makes, and the share of time they take.
func plannedFor(span time.Duration, took func(step int) time.Duration) (steps int, share float64) {
	const beat = 100 * time.Millisecond
	var rest stepPause
	var busy time.Duration
	for now := clock.Mark(time.Hour); now < clock.Mark(time.Hour+span); now += clock.Mark(beat) {
		if !rest.over(now) {
			continue
		}
		step := took(steps)
		rest.record(now, now+clock.Mark(step), beat)
		busy += step
		steps++
		// Beats that come while it plans are not made up for.
		now += clock.Mark(step / beat * beat)
	}
	return steps, float64(busy) / float64(span)
}

// Short steps are made at each interval; long ones, as with 87,000 adapters requested, take a tenth of a core at most.
func TestLongStepsTakeATenthOfACore(t *testing.T) {
	const span = 100 * time.Second
	always := func(took time.Duration) func(int) time.Duration { return func(int) time.Duration { return took } }
	if steps, _ := plannedFor(span, always(10*time.Millisecond)); steps != 1000 {
		t.Errorf("%d steps of 10 ms in a thousand beats", steps)
	}
	for _, took := range []time.Duration{21 * time.Millisecond, 60 * time.Millisecond, 395 * time.Millisecond} {
		if steps, share := plannedFor(span, always(took)); share > 0.11 || steps < int(span/(10*took+100*time.Millisecond)) {
			t.Errorf("steps of %v: %d of them take %.3f of a core", took, steps, share)
		}
	}
	if steps, _ := plannedFor(span, always(3*time.Second)); steps < 12 {
		t.Errorf("%d steps of 3 s in 100 s: the rest after one has no bound", steps)
	}
}

// A machine that stood still during one step doesn't put off the next.
func TestOneLongStepIsFollowedByNoRest(t *testing.T) {
	steps, _ := plannedFor(10*time.Second, func(step int) time.Duration {
		if step == 5 {
			return 2 * time.Second
		}
		return time.Millisecond
	})
	// The twenty planning steps that pass while it stands still are lost, and no more.
	if steps < 80 {
		t.Errorf("%d steps in a hundred beats, of which one lasted for twenty", steps)
	}
}
