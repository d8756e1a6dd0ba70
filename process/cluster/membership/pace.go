package membership

import "time"

const pullEvery = 150 * time.Millisecond

// Pace is how often daemons ask each other again.
type Pace struct {
	// MinWait and Most bound how long an answer is held back while nothing is new; between them it grows with the
	// fleet, so that what a leader has to answer does not.
	MinWait, MaxWait time.Duration
}

// waitFor is how long an answer is held back in a fleet of a size.
func (p Pace) waitFor(daemons int) time.Duration {
	return min(max(p.MinWait, time.Duration(daemons)*2500*time.Microsecond), p.MaxWait)
}

// waitWithDemand is the same where the asker has something to tell the planner.
func (p Pace) waitWithDemand(daemons int) time.Duration {
	return min(max(pullEvery, time.Duration(daemons)*2500*time.Microsecond), p.MaxWait)
}

// batchDelayFor is how long what is new and not urgent may wait for more of its kind.
func batchDelayFor(daemons int) time.Duration {
	return min(max(50*time.Millisecond, time.Duration(daemons)*800*time.Microsecond), 300*time.Millisecond)
}

// controlMaxWait is how long control daemons hold back answers to each other: they tell each other of beats.
const controlMaxWait = 250 * time.Millisecond
