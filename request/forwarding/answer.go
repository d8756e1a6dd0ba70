package forwarding

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Cause is why a request ends without an engine's full response.
type Cause uint8

const (
	// CauseNoTable: no routing table is in force, or it may be outdated.
	CauseNoTable Cause = iota
	// CauseNoPath: the routing table has no path for the request.
	CauseNoPath
	// CauseNoCapacity: no engine can take the request in time.
	CauseNoCapacity
	// CauseNoWorkerID: the request would have to be queued or retried, and no worker id is held.
	CauseNoWorkerID
	// CauseRetriesExhausted: the path allows no further attempt, or the retry budget none now.
	CauseRetriesExhausted
	// CauseDeadline: the deadline has passed, or is too near for an attempt.
	CauseDeadline
	// CauseResponseLost: an attempt may have run, and the request may not be repeated.
	CauseResponseLost
	// CauseCallerLeft: the caller disconnected.
	CauseCallerLeft
	// CauseShuttingDown: the daemon shuts down.
	CauseShuttingDown
	// CauseUnknownKey: the path needs the key of a tenant, and the request bears none that is known.
	CauseUnknownKey
	// CauseQuotaExceeded: the tenant's limit allows no further request now.
	CauseQuotaExceeded
	causeCount
)

// String gives the cause's name as clients and operators see it.
func (c Cause) String() string { return CauseNames[c] }

// CauseNames are the names used in answers and metrics, indexed by Cause.
var CauseNames = [causeCount]string{"no-table", "no-path", "no-room", "no-lease", "spent", "late", "broken", "caller-left", "stopping", "unknown-key", "over-quota"}

// Answer is this daemon's own final answer to a request.
type Answer struct {
	// Status is the HTTP status; zero where a response that has begun is broken off, or the caller is gone.
	Status int
	Cause  Cause
	// RetryAfter is when the client should try again; zero says nothing.
	RetryAfter time.Duration
}

// finish ends a request with this daemon's own answer.
func (c *Core) finish(request *Request, env Environment, cause Cause, retryAfter time.Duration) {
	if request.stage == StageQueued {
		c.dequeue(request)
		request.queuedFor += env.Now.Since(request.queuedAt)
	}
	c.recordLoss(request, c.reasonOf(request, cause, env), env.Now)
	request.transition(StageEnded)
	answer := finalAnswer(request, cause, retryAfter)
	c.Counters.EndedBy[cause]++
	switch {
	case cause == CauseCallerLeft:
		c.Counters.CallersLeft++
	case answer.Status == 0:
		c.Counters.Truncated++
	case request.mayHaveRun:
		c.Counters.EndedAfterLoss++
	default:
		c.Counters.Rejected++
	}
	request.give(Step{Answer: &answer})
}

// finalAnswer is the one place that makes answers. Whether an answer says that the request has not run depends only on
// the request's attempts.
func finalAnswer(request *Request, cause Cause, retryAfter time.Duration) Answer {
	answer := Answer{Cause: cause}
	switch {
	// A response that has begun has its status already; it is broken off, so that it does not look complete.
	case request.responseBegun || cause == CauseCallerLeft:
	case request.mayHaveRun && cause == CauseDeadline:
		answer.Status = fasthttp.StatusGatewayTimeout
	case request.mayHaveRun:
		answer.Status = fasthttp.StatusBadGateway
	case cause == CauseNoPath:
		answer.Status = fasthttp.StatusNotFound
	case cause == CauseUnknownKey:
		answer.Status = fasthttp.StatusUnauthorized
	case cause == CauseQuotaExceeded:
		answer.Status, answer.RetryAfter = fasthttp.StatusTooManyRequests, retryAfter
	default:
		answer.Status, answer.RetryAfter = fasthttp.StatusServiceUnavailable, retryAfter
	}
	return answer
}
