package dispatch

import (
	"github.com/cresspond/cresspond/process/clock"
)

func (c *Core) went(e Went) {
	record := c.records[e.ID]
	if record == nil || record.stage != Going && record.stage != Streaming {
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
		c.tell(record, Verdict{Kind: Replay, Status: 409, Reason: e.Reason})
	case RefusedElsewhere:
		c.tell(record, Verdict{Kind: Refused, Status: 503, Reason: e.Reason, ComeBack: c.comeBack()})
		delete(c.past, record.Attempt)
	case Doubted:
		c.tell(record, Verdict{Kind: Unknown, Status: 503, Reason: e.Reason, ComeBack: doubtRest})
		// It never ran here, so it may come again.
		delete(c.past, record.Attempt)
	case HeldBack:
		// Nothing went out, so this was no go, and the budget is for goes.
		record.Goes--
		c.Counters.HeldBack++
		c.again(record, true, false, e.Reason)
	case NeverSent, EngineRefused:
		if e.Outcome == EngineRefused {
			c.Counters.EngineRefusals++
		}
		c.refusedAt[record.Engine] = c.world.Now
		// It is proven that the work never ran, so it may go again, within the budget.
		if e.Outcome == NeverSent {
			record.failed = append(record.failed, record.Engine)
		}
		c.again(record, true, true, e.Reason)
	case Lost:
		c.Counters.Lost++
		record.failed = append(record.failed, record.Engine)
		// Only the caller's own word lets a request that may have run go again.
		c.again(record, false, true, e.Reason)
	}
}

// again puts a record whose go failed back among the held, or ends it.
func (c *Core) again(record *Record, neverRan, counts bool, reason string) {
	if !neverRan {
		record.mayHaveRun, record.lastReason = true, reason
	}
	switch {
	case record.mayHaveRun && !record.Repeatable:
		c.refuse(record, 502, reason, 0)
	case c.world.Now >= record.Deadline:
		c.refuse(record, 503, "the deadline has passed", c.comeBack())
	case counts && !c.Budget.Retry(c.world.Now):
		if record.mayHaveRun {
			c.refuse(record, 502, reason, 0)
			return
		}
		// It never ran and its time is not up, so it waits for the budget as it would for a slot.
		record.needsToken = true
		if c.hold(record) {
			record.notBefore = c.world.Now + clock.Mark(refusalRest)
		}
	default:
		if c.hold(record) {
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
	if seat := c.seats[record.Session]; record.Session != "" && seat != nil && seat.Running > 0 {
		seat.Running--
	}
}
