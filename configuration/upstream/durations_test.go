package upstream

import (
	"math"
	"testing"
	"time"
)

// Guards against times that overflow: a valid section may give any number of milliseconds.
func TestTimesOfASectionAreAtMostTwentyFourHours(t *testing.T) {
	for number, want := range map[int64]time.Duration{
		-1: 0, 0: 0, 1: time.Millisecond, 86_400_000: 24 * time.Hour, 86_400_001: 24 * time.Hour, 1 << 53: 24 * time.Hour, math.MaxInt64: 24 * time.Hour, math.MinInt64: 0,
	} {
		path, model := Path{DeadlineMs: number, TargetMs: number, GapTargetMs: number}, Model{LoadMs: number}
		for _, got := range []time.Duration{path.Deadline(), path.Target(), path.GapTarget(), model.LoadTime()} {
			if got != want {
				t.Errorf("%d ms is taken for %v", number, got)
			}
		}
	}
}

// Guards against requests that are all refused at once, since a share of their target is longer than their deadline.
func TestTargetsAreNoLongerThanTheDeadline(t *testing.T) {
	path := Path{DeadlineMs: 4000, TargetMs: 86_400_000, GapTargetMs: 86_400_000}
	if path.Target() != 4*time.Second || path.GapTarget() != 4*time.Second {
		t.Errorf("%v and %v", path.Target(), path.GapTarget())
	}
}
