package poolplacement

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// When a planner is lost, its successor plans as soon as the rule between two holders' orders allows: the lease after
// the last order can have reached an engine, and no more than two of its planning steps later.
func TestASuccessorPlansAsSoonAsTheGapAllows(t *testing.T) {
	for seed := range seeds(6) {
		f := newFleet(seed, sharedCatalogue(), 9)
		zipf(f, 45, 1, func(now clock.Mark) int { return int(now/clock.Mark(15*time.Second)) * 5 })
		most := f.settings().LeaseGap + 2*f.settings().PlanInterval
		f.run(20*time.Second + time.Duration(seed)*130*time.Millisecond)
		for _, holder := range []string{"b#1", "c#1", "d#1"} {
			f.takeOver(ident.NodeID(holder))
			lost := f.now
			for f.planner == nil {
				f.step()
			}
			if took := f.now.Since(lost); took > most {
				t.Errorf("seed %d: nobody planned for %v after a planner was lost", seed, took)
			}
			f.run(5 * time.Second)
		}
		for _, fault := range f.faults {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}
