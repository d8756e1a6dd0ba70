package dispatch

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// reply ends a record with its final answer.
func (c *Core) reply(record *Record, answer Answer) {
	c.out.Replies = append(c.out.Replies, Reply{record.ID, answer})
	c.end(record)
}

// refuse ends a record that never ran; from here on it can't be sent, since an ended record has no way on.
func (c *Core) refuse(record *Record, status int, reason string, retryAfter time.Duration) {
	if record.mayHaveRun {
		// An earlier attempt may have run, so a refusal would be a false promise.
		c.reply(record, Answer{Kind: Unknown, Status: 502, Reason: record.lastReason})
		return
	}
	c.Counters.RefusedHere++
	c.reply(record, Answer{Kind: Refused, Status: status, Reason: reason, RetryAfter: retryAfter})
	// A refused attempt has not run, so its id may be used again.
	delete(c.past, record.Attempt)
}

func (c *Core) end(record *Record) {
	c.dequeue(record)
	if assignment := c.assignments[record.Session]; record.Session != "" && assignment != nil {
		assignment.Used = c.world.Now
		if record.EndSession && assignment.Running == 0 {
			delete(c.assignments, record.Session)
			c.out.EndAssignments = append(c.out.EndAssignments, record.Session)
		}
	}
	record.move(Ended)
	delete(c.records, record.ID)
	delete(c.attempts, record.Attempt)
	c.past[record.Attempt] = pastAttempt{record.Attempt, c.world.Now, record.Digest}
	c.pastOrder = append(c.pastOrder, c.past[record.Attempt])
	if len(c.pastOrder) > maxPast {
		c.forgetOldest()
	}
}

type pastAttempt struct {
	attempt string
	at      clock.Mark
	digest  uint64
}

// forgetOldest drops the oldest past attempt, unless its id was refused and came again since.
func (c *Core) forgetOldest() {
	oldest := c.pastOrder[0]
	c.pastOrder = c.pastOrder[1:]
	if c.past[oldest.attempt] == oldest {
		delete(c.past, oldest.attempt)
	}
}

// forget drops what has been idle for long.
func (c *Core) forget() {
	if c.world.Table == nil {
		return
	}
	idle := c.world.Table.AssignmentIdle()
	for session, assignment := range c.assignments {
		if assignment.Running == 0 && c.world.Now.Since(assignment.Used) > idle {
			delete(c.assignments, session)
			c.out.EndAssignments = append(c.out.EndAssignments, session)
		}
	}
	slices.Sort(c.out.EndAssignments)
	for len(c.pastOrder) > 0 && c.world.Now.Since(c.pastOrder[0].at) > pastKept {
		c.forgetOldest()
	}
}
