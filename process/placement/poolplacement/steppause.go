package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// pauseFactor is how many times as long as a step the planner rests after it.
	pauseFactor = 9
	// maxPause bounds that, so that demand is planned for in the end, whatever a step costs.
	maxPause = 4 * time.Second
)

// stepPause keeps the plan from using up a processor: a step's cost grows with all that is requested, so a
// long one is followed by a rest, and planning takes a tenth of a core at most.
type stepPause struct {
	last  time.Duration
	until clock.Mark
}

// record records a step. A pause within the plan interval is none, since steps are that far apart anyway.
func (r *stepPause) record(began, ended clock.Mark, interval time.Duration) {
	took := ended.Since(began)
	// The shorter of the last two counts: a moment in which the machine stalled is no reason to wait.
	rest := min(pauseFactor*min(took, r.last), maxPause)
	r.last, r.until = took, 0
	if rest > interval {
		r.until = ended + clock.Mark(rest)
	}
}

// over says whether the next step may begin.
func (r *stepPause) over(now clock.Mark) bool { return now >= r.until }
