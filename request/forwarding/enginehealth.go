package forwarding

import (
	"math"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// failureRateHalfLife is how fast the failure rate of an engine that gets no requests decays.
const failureRateHalfLife = 3 * time.Second

const (
	// initialBackoff is doubled with each failure in a row, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// backoffAfter is the backoff after so many failures in a row.
func backoffAfter(failures int) clock.Mark {
	return clock.Mark(min(initialBackoff<<min(max(failures-1, 0), 4), maxBackoff))
}

// missingTTL is about how long it takes until a report shows what an engine has unloaded.
const missingTTL = time.Second

// rejectedBackoff is the backoff after a rejection.
const rejectedBackoff = 50 * time.Millisecond

// failureThreshold is how many failures in a row are no coincidence.
const failureThreshold = 3

// recordSuccess ends backoff and unhealthiness; the failure rate remains in part.
func (e *engineState) recordSuccess() {
	e.consecutiveFailures, e.connectFailures = 0, 0
	e.backoffUntil, e.unhealthyUntil = 0, 0
	e.failureRate *= 0.8
}

// decayedFailureRate is the smoothed share of failures. It decays, since an engine that gets no requests can't show that
// it has recovered.
func (e *engineState) decayedFailureRate(now clock.Mark) float64 {
	if e.failureRate < 0.01 {
		return 0
	}
	return e.failureRate * math.Exp2(-float64(now.Since(e.lastFailureAt))/float64(failureRateHalfLife))
}

// recordUnreachable records a failed connection: the engine backs off, and then gets one request at a time.
func (e *engineState) recordUnreachable(env Environment) {
	e.connectFailures++
	e.lastFailureAt, e.failureRate = env.Now, 0.8*e.decayedFailureRate(env.Now)+0.2
	e.backoffUntil = env.Now + backoffAfter(e.connectFailures)
}

// recordFailure records a failed attempt. After repeated failures, or immediately if asked, the engine is unhealthy for
// the backoff.
func (e *engineState) recordFailure(env Environment, atOnce bool) {
	e.consecutiveFailures++
	e.lastFailureAt, e.failureRate = env.Now, 0.8*e.decayedFailureRate(env.Now)+0.2
	if atOnce || e.consecutiveFailures >= failureThreshold || e.failureRate > 0.6 {
		e.unhealthyUntil = env.Now + backoffAfter(e.consecutiveFailures)
	}
}

// reportedMissing reports whether the engine said lately that it has not loaded what is asked for, or that it is another
// engine.
func (e *engineState) reportedMissing(request *Request, now clock.Mark) bool {
	return len(e.missingUntil) > 0 && now < e.missingUntil[request.target()]
}

// isUnreachable reports whether the engine seems to be gone: connections fail, and no attempt is in flight there. One
// that only resets what is too much for it continues with what it has.
func (e *engineState) isUnreachable() bool {
	return e.connectFailures >= failureThreshold || e.connectFailures > 0 && e.inFlight == 0
}

// inBackoff reports whether the engine gets no request now.
func (e *engineState) inBackoff(now clock.Mark) bool {
	return now < e.backoffUntil || e.connectFailures >= failureThreshold && e.awaitingCount > 0
}

// isUnhealthy reports whether the engine gets only requests that no other can take.
func (e *engineState) isUnhealthy(now clock.Mark) bool {
	return now < e.unhealthyUntil || e.consecutiveFailures >= failureThreshold && e.awaitingCount > 0
}
