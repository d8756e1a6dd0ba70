package dispatch

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/clock"
)

// tell ends a record with its last word.
func (c *Core) tell(record *Record, verdict Verdict) {
	c.out.Tells = append(c.out.Tells, Tell{record.ID, verdict})
	c.end(record)
}

// refuse ends a record that never ran; from here on it can't be sent, since an ended record has no way on.
func (c *Core) refuse(record *Record, status int, reason string, comeBack time.Duration) {
	if record.mayHaveRun {
		// An earlier go may have run, so a refusal would be a false promise.
		c.tell(record, Verdict{Kind: Unknown, Status: 502, Reason: record.lastReason})
		return
	}
	c.Counters.RefusedHere++
	c.tell(record, Verdict{Kind: Refused, Status: status, Reason: reason, ComeBack: comeBack})
	// A refused attempt has not run, so its id may be used again.
	delete(c.past, record.Attempt)
}

func (c *Core) end(record *Record) {
	c.unhold(record)
	if seat := c.seats[record.Session]; record.Session != "" && seat != nil {
		seat.Used = c.world.Now
		if record.EndSession && seat.Running == 0 {
			delete(c.seats, record.Session)
			c.out.EndSeats = append(c.out.EndSeats, record.Session)
		}
	}
	record.move(Ended)
	delete(c.records, record.ID)
	delete(c.attempts, record.Attempt)
	c.past[record.Attempt] = pastAttempt{record.Attempt, c.world.Now, record.Digest}
	c.pastOrder = append(c.pastOrder, c.past[record.Attempt])
	if len(c.pastOrder) > mostPast {
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
	idle := c.world.Table.SeatIdle()
	for session, seat := range c.seats {
		if seat.Running == 0 && c.world.Now.Since(seat.Used) > idle {
			delete(c.seats, session)
			c.out.EndSeats = append(c.out.EndSeats, session)
		}
	}
	slices.Sort(c.out.EndSeats)
	for len(c.pastOrder) > 0 && c.world.Now.Since(c.pastOrder[0].at) > pastKept {
		c.forgetOldest()
	}
}
