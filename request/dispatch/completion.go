package dispatch

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// reply ends a record with its final answer.
func (c *Core) reply(record *Record, answer Answer) {
	c.effects.Replies = append(c.effects.Replies, Reply{record.ID, answer})
	c.end(record)
}

// refuse ends a record that never ran; from here on it can't be sent, since no stage follows Ended.
func (c *Core) refuse(record *Record, status int, reason string, retryAfter time.Duration) {
	if record.mayHaveRun {
		// An earlier attempt may have run, so a refusal would be untrue.
		c.reply(record, Answer{Kind: Unknown, Status: 502, Reason: record.lastReason})
		return
	}
	c.Counters.RefusedHere++
	c.reply(record, Answer{Kind: Refused, Status: status, Reason: reason, RetryAfter: retryAfter})
	// A refused attempt has not run, so its id may be used again.
	delete(c.pastAttempts, record.Attempt)
}

// end is the one place where a record ends: its id is remembered, and its session released.
func (c *Core) end(record *Record) {
	c.dequeue(record)
	if assignment := c.assignments[record.Session]; record.Session != "" && assignment != nil {
		assignment.Used = c.world.Now
		if record.EndSession && assignment.Running == 0 {
			delete(c.assignments, record.Session)
			c.effects.EndAssignments = append(c.effects.EndAssignments, record.Session)
		}
	}
	record.move(Ended)
	delete(c.records, record.ID)
	delete(c.attempts, record.Attempt)
	c.pastAttempts[record.Attempt] = pastAttempt{record.Attempt, c.world.Now, record.Digest}
	c.pastOrder = append(c.pastOrder, c.pastAttempts[record.Attempt])
	if len(c.pastOrder) > maxPastAttempts {
		c.forgetOldest()
	}
}

// pastAttempt is what is remembered of an ended attempt id.
type pastAttempt struct {
	attempt string
	at      clock.Mark
	digest  uint64
}

// forgetOldest forgets the oldest past attempt, unless its id was refused and has come again since.
func (c *Core) forgetOldest() {
	oldest := c.pastOrder[0]
	c.pastOrder = c.pastOrder[1:]
	if c.pastAttempts[oldest.attempt] == oldest {
		delete(c.pastAttempts, oldest.attempt)
	}
}

// expireIdle drops what has been idle for long.
func (c *Core) expireIdle() {
	if c.world.Table == nil {
		return
	}
	idle := c.world.Table.AssignmentIdle()
	for session, assignment := range c.assignments {
		if assignment.Running == 0 && c.world.Now.Since(assignment.Used) > idle {
			delete(c.assignments, session)
			c.effects.EndAssignments = append(c.effects.EndAssignments, session)
		}
	}
	slices.Sort(c.effects.EndAssignments)
	for len(c.pastOrder) > 0 && c.world.Now.Since(c.pastOrder[0].at) > pastAttemptRetention {
		c.forgetOldest()
	}
}
