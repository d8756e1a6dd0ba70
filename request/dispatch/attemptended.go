package dispatch

import (
	"github.com/cresspond/cresspond/clock"
)

// attemptEnded decides what follows the outcome of an attempt.
func (c *Core) attemptEnded(e AttemptEnded) {
	record := c.records[e.ID]
	if record == nil || record.stage != Attempting && record.stage != Streaming {
		return
	}
	c.releaseEngine(record)
	switch e.Outcome {
	case Completed:
		c.Counters.Completed++
		c.end(record)
	case BrokenOff:
		c.Counters.BrokenOff++
		c.end(record)
	case ClientDisconnected:
		c.Counters.ClientsDisconnected++
		c.end(record)
	case KnownElsewhere:
		c.reply(record, Answer{Kind: Replay, Status: 409, Reason: e.Reason})
	case RefusedElsewhere:
		c.reply(record, Answer{Kind: Refused, Status: 503, Reason: e.Reason, RetryAfter: c.retryAfter()})
		delete(c.pastAttempts, record.Attempt)
	case Uncertain:
		c.reply(record, Answer{Kind: Unknown, Status: 503, Reason: e.Reason, RetryAfter: uncertainRetryAfter})
		// It never ran here, so it may come again.
		delete(c.pastAttempts, record.Attempt)
	case Withdrawn:
		// Nothing was sent, so this was no attempt, and the budget is for attempts.
		record.Attempts--
		c.Counters.Withdrawn++
		c.retry(record, true, false, e.Reason)
	case NeverSent, EngineRefused:
		if e.Outcome == EngineRefused {
			c.Counters.EngineRefusals++
		}
		c.refusedAt[record.Engine] = c.world.Now
		// The work provably never ran, so it may be retried, within the budget.
		if e.Outcome == NeverSent {
			record.failed = append(record.failed, record.Engine)
		}
		c.retry(record, true, true, e.Reason)
	case Lost:
		c.Counters.Lost++
		record.failed = append(record.failed, record.Engine)
		// A request that may have run is retried only if it is idempotent.
		c.retry(record, false, true, e.Reason)
	}
}

// retry puts a record whose attempt failed back into the queue, or ends it.
func (c *Core) retry(record *Record, neverRan, counts bool, reason string) {
	if !neverRan {
		record.mayHaveRun, record.lastReason = true, reason
	}
	switch {
	case record.mayHaveRun && !record.Idempotent:
		c.refuse(record, 502, reason, 0)
	case c.world.Now >= record.Deadline:
		c.refuse(record, 503, "the deadline has passed", c.retryAfter())
	case counts && !c.Budget.Retry(c.world.Now):
		if record.mayHaveRun {
			c.refuse(record, 502, reason, 0)
			return
		}
		// It never ran and its time is not up, so it waits for the budget as it would for a slot.
		record.needsToken = true
		if c.enqueue(record) {
			record.notBefore = c.world.Now + clock.Mark(refusalBackoff)
		}
	default:
		if c.enqueue(record) {
			backoff := retryBackoff
			if counts {
				// What failed a moment ago most likely fails again at once.
				backoff = refusalBackoff
			}
			record.notBefore = c.world.Now + clock.Mark(backoff)
		}
	}
}

// releaseEngine takes an ended attempt out of the counts of its engine and session.
func (c *Core) releaseEngine(record *Record) {
	c.countRunning(record.Engine, -1)
	if assignment := c.assignments[record.Session]; record.Session != "" && assignment != nil && assignment.Running > 0 {
		assignment.Running--
	}
}
