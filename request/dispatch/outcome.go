package dispatch

import (
	"github.com/cresspond/cresspond/clock"
)

func (c *Core) attemptEnded(e AttemptEnded) {
	record := c.records[e.ID]
	if record == nil || record.stage != Attempting && record.stage != Streaming {
		return
	}
	c.leaveEngine(record)
	switch e.Outcome {
	case Whole:
		c.Counters.Whole++
		c.end(record)
	case Cut:
		c.Counters.CutOff++
		c.end(record)
	case CallerLeft:
		c.Counters.CallersLeft++
		c.end(record)
	case KnownElsewhere:
		c.reply(record, Answer{Kind: Replay, Status: 409, Reason: e.Reason})
	case RefusedElsewhere:
		c.reply(record, Answer{Kind: Refused, Status: 503, Reason: e.Reason, RetryAfter: c.retryAfter()})
		delete(c.past, record.Attempt)
	case Doubted:
		c.reply(record, Answer{Kind: Unknown, Status: 503, Reason: e.Reason, RetryAfter: doubtRest})
		// It never ran here, so it may come again.
		delete(c.past, record.Attempt)
	case Withdrawn:
		// Nothing went out, so this was no attempt, and the budget is for attempts.
		record.Attempts--
		c.Counters.Withdrawn++
		c.retry(record, true, false, e.Reason)
	case NeverSent, EngineRefused:
		if e.Outcome == EngineRefused {
			c.Counters.EngineRefusals++
		}
		c.refusedAt[record.Engine] = c.world.Now
		// It is proven that the work never ran, so it may be retried, within the budget.
		if e.Outcome == NeverSent {
			record.failed = append(record.failed, record.Engine)
		}
		c.retry(record, true, true, e.Reason)
	case Lost:
		c.Counters.Lost++
		record.failed = append(record.failed, record.Engine)
		// A request that may have run is retried only if the caller said that it may.
		c.retry(record, false, true, e.Reason)
	}
}

// retry puts a record whose attempt failed back into the queue, or ends it.
func (c *Core) retry(record *Record, neverRan, counts bool, reason string) {
	if !neverRan {
		record.mayHaveRun, record.lastReason = true, reason
	}
	switch {
	case record.mayHaveRun && !record.Repeatable:
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
			record.notBefore = c.world.Now + clock.Mark(refusalRest)
		}
	default:
		if c.enqueue(record) {
			pause := pauseBeforeNext
			if counts {
				// What failed a moment ago most likely fails again at once.
				pause = refusalRest
			}
			record.notBefore = c.world.Now + clock.Mark(pause)
		}
	}
}

func (c *Core) leaveEngine(record *Record) {
	c.run(record.Engine, -1)
	if assignment := c.assignments[record.Session]; record.Session != "" && assignment != nil && assignment.Running > 0 {
		assignment.Running--
	}
}
