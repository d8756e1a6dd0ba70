package membership

import "time"

const (
	// pullEvery is the tick: the shortest interval of pulls that are not long polls.
	pullEvery = 150 * time.Millisecond
	// controlMaxWait bounds long polls among control daemons: heartbeats of engines wake no long poll, and control
	// daemons learn of them from each other's replies.
	controlMaxWait = 250 * time.Millisecond
	// waitPerDaemon and batchDelayPerDaemon make waits grow with the fleet, so that the leader's load does not.
	waitPerDaemon       = 2500 * time.Microsecond
	batchDelayPerDaemon = 800 * time.Microsecond
	minBatchDelay       = 50 * time.Millisecond
	maxBatchDelay       = 300 * time.Millisecond
)

// Pace is how often daemons pull.
type Pace struct {
	// MinWait and MaxWait bound how long a reply may be delayed while nothing is new (long poll).
	MinWait, MaxWait time.Duration
}

// waitFor is how long a reply may be delayed in a fleet of so many daemons.
func (p Pace) waitFor(daemons int) time.Duration {
	return min(max(p.MinWait, time.Duration(daemons)*waitPerDaemon), p.MaxWait)
}

// waitWithDemand is the same for a pull that reports demand to the planner, whose next report is due sooner.
func (p Pace) waitWithDemand(daemons int) time.Duration {
	return min(max(pullEvery, time.Duration(daemons)*waitPerDaemon), p.MaxWait)
}

// batchDelayFor is how long an update that is not urgent may wait for more of its kind.
func batchDelayFor(daemons int) time.Duration {
	return min(max(minBatchDelay, time.Duration(daemons)*batchDelayPerDaemon), maxBatchDelay)
}
