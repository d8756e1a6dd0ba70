package forwarding

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Cause is why a record ends without an engine's whole answer.
type Cause uint8

const (
	// NoTable: nothing is in force here, or it may be old.
	CauseNoTable Cause = iota
	// NoPath: the table in force has no path for it.
	CauseNoPath
	// NoRoom: no engine can take it in time.
	CauseNoCapacity
	// NoLease: it would have to be held or tried again, and no worker id is held.
	CauseNoWorkerID
	// Spent: no attempt is left to it, or none in the budget.
	CauseRetriesExhausted
	// Late: its deadline has come, or is too near.
	CauseDeadline
	// Broken: its attempt may have run, and may not be made again.
	CauseResponseLost
	// CallerLeft: nobody waits for the answer.
	CauseCallerLeft
	// Stopping: the daemon ends.
	CauseShuttingDown
	causeCount
)

func (c Cause) String() string { return CauseNames[c] }

// CauseNames are the names of causes, in the order in which they are counted.
var CauseNames = [causeCount]string{"no-table", "no-path", "no-room", "no-lease", "spent", "late", "broken", "caller-left", "stopping"}

// Answer is the final answer to a record that gets no engine's answer.
type Answer struct {
	// Status is zero where the answer that has begun is broken off, or nobody waits for one.
	Status int
	Cause  Cause
	// ComeBack is when asking again makes sense.
	RetryAfter time.Duration
}

// finish ends a record with our own answer.
func (c *Core) finish(request *Request, env Environment, cause Cause, comeBack time.Duration) {
	if request.stage == StageQueued {
		c.dequeue(request)
		request.queuedFor += env.Now.Since(request.queuedAt)
	}
	c.recordLoss(request, c.reasonOf(request, cause, env), env.Now)
	request.transition(StageEnded)
	answer := finalAnswer(request, cause, comeBack)
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

// finalAnswer is the one place where the answer to a record is made. What it promises depends on nothing
// but what became of the record's attempts.
func finalAnswer(request *Request, cause Cause, comeBack time.Duration) Answer {
	answer := Answer{Cause: cause}
	switch {
	case request.responseBegun || cause == CauseCallerLeft:
		// An answer that has begun has its status already; it must not look whole.
	case request.mayHaveRun && cause == CauseDeadline:
		answer.Status = fasthttp.StatusGatewayTimeout
	case request.mayHaveRun:
		answer.Status = fasthttp.StatusBadGateway
	case cause == CauseNoPath:
		answer.Status = fasthttp.StatusNotFound
	default:
		answer.Status, answer.RetryAfter = fasthttp.StatusServiceUnavailable, comeBack
	}
	return answer
}
