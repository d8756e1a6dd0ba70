package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
)

const (
	// overdueTimes is how many times as long as like ones a first byte may take before it counts as overdue.
	overdueTimes = 4
	// leastOverdue is the share of its target that it may take in any case.
	leastOverdue = 0.5
	// enoughSeen is how many first bytes say what is usual; before, what takes unknownOverdue targets is overdue.
	enoughSeen     = 8
	unknownOverdue = 2
	// middleStep is by how much each first byte moves what is usual, up or down.
	middleStep = 0.05
)

// middle follows the median of times, which a share of engines that are far slower does not move much.
type middle struct{ time.Duration }

func (m *middle) note(newest time.Duration) {
	switch {
	case m.Duration == 0:
		m.Duration = newest
	case newest > m.Duration:
		m.Duration += time.Duration(middleStep * float64(m.Duration))
	case newest < m.Duration:
		m.Duration -= time.Duration(middleStep * float64(m.Duration))
	}
}

// usual is what first bytes of a path usually take: the median of times, and the mean of what they cost. Over all of
// its models, since a daemon of many sees few requests of each.
type usual struct {
	first middle
	score float64
	seen  int
}

func (c *Core) usual(r *Record) *usual {
	u := c.usuals[r.Path.Name]
	if u == nil {
		if len(c.usuals) >= mostPaths {
			clear(c.usuals)
		}
		u = &usual{}
		c.usuals[r.Path.Name] = u
	}
	return u
}

// note takes up one more first byte.
func (u *usual) note(waited time.Duration, score float64) {
	u.first.note(waited)
	if u.seen++; score > 0 {
		u.score += (score - u.score) / float64(min(u.seen, 16))
	}
}

// overdueAfter is from when on the first byte of an attempt is overdue: long after those of its path are there usually,
// more for what costs more than usual. A full batch and a big prompt take their time.
func (c *Core) overdueAfter(r *Record) time.Duration {
	u, target := c.usual(r), time.Duration(r.Path.TargetMs)*time.Millisecond
	if u.seen < enoughSeen {
		return max(unknownOverdue*target, time.Second)
	}
	larger := 1.0
	if r.score > 0 && u.score > 0 {
		larger = max(1, r.score/u.score)
	}
	return max(time.Duration(leastOverdue*float64(target)), time.Duration(overdueTimes*larger*float64(u.first.Duration)))
}

// noteOutcome counts an attempt in the ledger, once.
func (c *Core) noteOutcome(r *Record, outcome outlier.Outcome) {
	if r.noted {
		return
	}
	r.noted = true
	c.ledger.Record(r.engine, outcome)
}

// noteEnd counts how an attempt ended. What our side or the caller did says nothing of the engine.
func (c *Core) noteEnd(r *Record, outcome Outcome, w World) {
	switch outcome {
	case Whole:
		c.noteOutcome(r, outlier.Success)
	case NeverSent:
		c.noteOutcome(r, outlier.Failure)
	case Failed, Lost, Junk, Cut:
		switch {
		case w.Now >= r.Deadline && outcome != Failed:
			// It ran into its own deadline, and was counted when it was overdue, if it was.
		case r.noted && !r.wasOverdue:
			c.ledger.RecordTruncated(r.engine)
		default:
			c.noteOutcome(r, outlier.Failure)
		}
	case EngineRefused:
		if !r.speculative {
			// One that went ahead of the news of a load may well come too soon.
			c.noteOutcome(r, outlier.Refusal)
		}
	}
	if r.Seen.Connect > 0 {
		c.ledger.RecordConnect(r.engine, r.Seen.Connect)
	}
	if r.Path.GapTargetMs > 0 && r.Seen.LongestGap > 0 {
		c.ledger.RecordGapExcess(r.engine, r.Seen.LongestGap-time.Duration(r.Path.GapTargetMs)*time.Millisecond)
	}
	r.Seen = Seen{}
	c.forgetAwaited(r)
}

// noteFirst counts an attempt whose first byte has come.
func (c *Core) noteFirst(r *Record, now clock.Mark) {
	waited, u := now.Since(r.sentAt), c.usual(r)
	c.ledger.RecordFirstByteExcess(r.engine, waited-u.first.Duration)
	if waited > r.overdueAfter {
		c.noteOutcome(r, outlier.Overdue)
	} else {
		c.noteOutcome(r, outlier.Success)
	}
	u.note(waited, r.score)
	c.forgetAwaited(r)
}

func (c *Core) forgetAwaited(r *Record) {
	if place := slices.Index(c.awaited, r); place >= 0 {
		last := len(c.awaited) - 1
		c.awaited[place] = c.awaited[last]
		c.awaited[last] = nil
		c.awaited = c.awaited[:last]
	}
}

// Outcomes gives what became of attempts since it was last asked for. Attempts that wait for far longer than like
// ones count now: an engine that hangs would else be known only when deadlines pass.
func (c *Core) Outcomes(now clock.Mark) []outlier.Digest {
	for _, r := range c.awaited {
		if !r.noted && now.Since(r.sentAt) > r.overdueAfter {
			r.wasOverdue = true
			c.noteOutcome(r, outlier.Overdue)
		}
	}
	return c.ledger.TakeDigests()
}

// Reading gives what this daemon saw of an engine lately.
func (c *Core) Reading(engine ident.EngineID) outlier.Reading { return c.ledger.Reading(engine) }
