package forwarding

import (
	"math"
	"time"

	"github.com/cresspond/cresspond/clock"
)

const failureRateHalfLife = 3 * time.Second

const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// restAfter is how long an engine rests after so many failures in a row.
func backoffAfter(failures int) clock.Mark {
	return clock.Mark(min(initialBackoff<<min(max(failures-1, 0), 4), maxBackoff))
}

// missingFor is about how long a report takes to show what an engine has let go of.
const missingTTL = time.Second

const rejectedBackoff = 50 * time.Millisecond

// manyFailures in a row are no chance.
const failureThreshold = 3

func (e *engineState) recordSuccess() {
	e.consecutiveFailures, e.connectFailures = 0, 0
	e.backoffUntil, e.unhealthyUntil = 0, 0
	e.failureRate *= 0.8
}

// worse is the smoothed share of its failures. It fades, since an engine that is passed by has no way to show
// that it is well again.
func (e *engineState) decayedFailureRate(now clock.Mark) float64 {
	if e.failureRate < 0.01 {
		return 0
	}
	return e.failureRate * math.Exp2(-float64(now.Since(e.lastFailureAt))/float64(failureRateHalfLife))
}

// unreachable notes that it could not be reached; it gets nothing for a while, and then one at a time.
func (e *engineState) recordUnreachable(env Environment) {
	e.connectFailures++
	e.lastFailureAt, e.failureRate = env.Now, 0.8*e.decayedFailureRate(env.Now)+0.2
	e.backoffUntil = env.Now + backoffAfter(e.connectFailures)
}

// ill notes a failure; one that fails again and again gets nothing for a while that another engine can take.
func (e *engineState) recordFailure(env Environment, atOnce bool) {
	e.consecutiveFailures++
	e.lastFailureAt, e.failureRate = env.Now, 0.8*e.decayedFailureRate(env.Now)+0.2
	if atOnce || e.consecutiveFailures >= failureThreshold || e.failureRate > 0.6 {
		e.unhealthyUntil = env.Now + backoffAfter(e.consecutiveFailures)
	}
}

// lacks says whether it said lately that it does not hold what is asked for, or is not who it was taken for.
func (e *engineState) reportedMissing(request *Request, now clock.Mark) bool {
	return len(e.missingUntil) > 0 && now < e.missingUntil[request.target()]
}

// gone says whether it seems to be there no more: it can't be reached, and has nothing of this daemon under way
// either. One that only resets what is too much for it goes on with what it has.
func (e *engineState) isUnreachable() bool {
	return e.connectFailures >= failureThreshold || e.connectFailures > 0 && e.inFlight == 0
}

// resting says whether it gets nothing now.
func (e *engineState) inBackoff(now clock.Mark) bool {
	return now < e.backoffUntil || e.connectFailures >= failureThreshold && e.awaitingCount > 0
}

// failing says whether it gets something only where nothing else can take it.
func (e *engineState) isUnhealthy(now clock.Mark) bool {
	return now < e.unhealthyUntil || e.consecutiveFailures >= failureThreshold && e.awaitingCount > 0
}
