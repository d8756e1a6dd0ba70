package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/process/featuregates"
)

const (
	// minRetryAfter is the least time that a client is asked to wait.
	minRetryAfter = 50 * time.Millisecond
	// defaultPlanningTime is assumed from a missing model to its load order, defaultPropagationTime from the end of a
	// load to this daemon's knowing of it, until both are measured.
	defaultPlanningTime    = 500 * time.Millisecond
	defaultPropagationTime = 250 * time.Millisecond
	// minLearnedTime and maxLearnedTime bound what is learned of both.
	minLearnedTime, maxLearnedTime = 50 * time.Millisecond, 3 * time.Second
	// readyMargin is how much later than announced a load may be done.
	readyMargin = 50 * time.Millisecond
	// retryAfterDivisor: a client that is asked to retry does so within the remaining time divided by this.
	retryAfterDivisor = 3
)

// retryAfter is when retrying makes sense if nothing better is known: after the current congestion, early enough to be
// served.
func (c *Core) retryAfter(request *Request, env Environment) time.Duration {
	if request.Path == nil {
		return time.Second
	}
	return max(request.Deadline.Since(env.Now)/4, minRetryAfter)
}

// shouldGiveUp reports whether to reject a request that no engine can take now, and when the client should retry. A
// request is rejected as soon as it is known that it can't be served in time, and otherwise once it has been queued for
// maxQueueTime.
func (c *Core) shouldGiveUp(request *Request, env Environment, blocked blockReason) (comeBack time.Duration, hopeless bool) {
	left, waited := request.responseDeadline().Since(env.Now), env.Now.Since(request.ArrivedAt)
	most := maxQueueTime(request)
	switch {
	case blocked == blockedAllTried:
		// Those that were tried won't do better for this one.
		return c.retryAfter(request, env), true
	case blocked == blockedNoModel:
		wait, sure := c.estimateLoadWait(request, env)
		if c.settings.Disabled.Has(featuregates.LoadEstimates) {
			return c.retryAfter(request, env), waited >= most
		}
		return c.shouldGiveUpLoad(request, wait, sure, env)
	case waited >= most:
		return c.retryAfter(request, env), true
	case blocked == blockedAllBusy:
		// Its turn comes when those before it have got theirs.
		wait := time.Duration(c.queuedAhead(request, env)+1) * c.pathState(request).serviceTime / time.Duration(max(c.attemptsByPool[request.pool], 1))
		return c.retryAfter(request, env), wait > left-c.minAttemptTime(request) && waited >= initialQueueTime(request)
	}
	// An engine may register at any moment, but nothing says that one will.
	return c.retryAfter(request, env), waited >= initialQueueTime(request)
}

// shouldGiveUpLoad is shouldGiveUp for a request whose model or adapter no engine has loaded; it is expected to be
// loaded after wait, by the planner's word if announced.
func (c *Core) shouldGiveUpLoad(request *Request, wait time.Duration, sure bool, env Environment) (comeBack time.Duration, hopeless bool) {
	left, waited := request.responseDeadline().Since(env.Now), env.Now.Since(request.ArrivedAt)
	target, most := time.Duration(request.Path.TargetMs)*time.Millisecond, maxQueueTime(request)
	// A client counts from all of the time it has, whatever it waits for one answer to begin.
	back := request.Deadline.Since(env.Now) / retryAfterDivisor
	reports := min(wait+readyMargin, back)
	switch {
	case waited >= most:
		return max(reports, minRetryAfter), true
	case !sure && waited < min(initialQueueTime(request), most):
		// The planner's word is on its way.
		return 0, false
	case wait > left-c.minAttemptTime(request):
		return max(reports, minRetryAfter), true
	case request.resubmitted || request.mayHaveRun:
		// It was refused before, and won't come a third time, or can't be refused any more: it stays while there is time.
		return 0, false
	case waited+wait > target && wait <= back+target/2:
		// It will be late here, and in time for a client that comes back when it is there.
		return max(reports, minRetryAfter), true
	}
	// Held for as long as it may be, it would be given up before it is there.
	return max(reports, minRetryAfter), waited+wait > most
}
