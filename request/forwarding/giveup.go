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
func (c *Core) shouldGiveUp(request *Request, env Environment, blocked blockReason) (retryAfter time.Duration, giveUp bool) {
	left, waited := request.responseDeadline().Since(env.Now), env.Now.Since(request.ArrivedAt)
	most := maxQueueTime(request)
	switch {
	// The engines that were tried won't do better for this request.
	case blocked == blockedAllTried:
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
		// Its turn comes when the requests queued ahead have been served.
		wait := time.Duration(c.queuedAhead(request, env)+1) * c.pathState(request).serviceTime / time.Duration(max(c.attemptsByPool[request.pool], 1))
		return c.retryAfter(request, env), wait > left-c.minAttemptTime(request) && waited >= initialQueueTime(request)
	}
	// An engine may register at any moment, but nothing announces one.
	return c.retryAfter(request, env), waited >= initialQueueTime(request)
}

// shouldGiveUpLoad is shouldGiveUp for a request whose model or adapter no engine has loaded; it is expected to be
// loaded after wait, by the planner's word if announced.
func (c *Core) shouldGiveUpLoad(request *Request, wait time.Duration, announced bool, env Environment) (retryAfter time.Duration, giveUp bool) {
	left, waited := request.responseDeadline().Since(env.Now), env.Now.Since(request.ArrivedAt)
	target, most := request.Path.Target(), maxQueueTime(request)
	// Clients retry within their whole deadline, however long they wait for one response to begin.
	back := request.Deadline.Since(env.Now) / retryAfterDivisor
	retryAfter = min(wait+readyMargin, back)
	switch {
	case waited >= most:
		return max(retryAfter, minRetryAfter), true
	// The planner's announcement is on its way.
	case !announced && waited < min(initialQueueTime(request), most):
		return 0, false
	case wait > left-c.minAttemptTime(request):
		return max(retryAfter, minRetryAfter), true
	// It was rejected before and its client won't retry once more, or it can't be rejected any more: wait while there is
	// time.
	case request.resubmitted || request.mayHaveRun:
		return 0, false
	// It would be late here, and in time if the client retries when the load is done.
	case waited+wait > target && wait <= back+target/2:
		return max(retryAfter, minRetryAfter), true
	}
	// Queued for maxQueueTime, it would be rejected before the load is done.
	return max(retryAfter, minRetryAfter), waited+wait > most
}
