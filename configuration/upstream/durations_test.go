package upstream

import (
	"math"
	"testing"
	"time"
)

// Guards against times that overflow: a valid section may give any number of milliseconds.
func TestTimesOfASectionAreFromZeroToADay(t *testing.T) {
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
