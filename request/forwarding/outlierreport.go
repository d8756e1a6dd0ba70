package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
)

// noteOutcome counts an attempt in the ledger, once.
func (c *Core) reportOutcome(request *Request, outcome outlier.Outcome) {
	if request.outcomeReported {
		return
	}
	request.outcomeReported = true
	c.outcomes.Record(request.engine, outcome)
}

// noteEnd counts how an attempt ended. What our side or the caller did says nothing of the engine.
func (c *Core) reportEnd(request *Request, outcome Outcome, env Environment) {
	switch outcome {
	case OutcomeCompleted:
		c.reportOutcome(request, outlier.Success)
	case OutcomeUnreachable:
		c.reportOutcome(request, outlier.Failure)
	case OutcomeEngineError, OutcomeResponseLost, OutcomeProtocolError, OutcomeStreamBroken:
		switch {
		case env.Now >= request.Deadline && outcome != OutcomeEngineError:
			// It ran into its own deadline, and was counted when it was overdue, if it was.
		case request.outcomeReported && !request.reportedOverdue:
			c.outcomes.RecordTruncated(request.engine)
		default:
			c.reportOutcome(request, outlier.Failure)
		}
	case OutcomeRejected:
		if !request.speculative {
			// One that went ahead of the news of a load may well come too soon.
			c.reportOutcome(request, outlier.Refusal)
		}
	}
	if request.Observed.ConnectTime > 0 {
		c.outcomes.RecordConnect(request.engine, request.Observed.ConnectTime)
	}
	if request.Path.GapTargetMs > 0 && request.Observed.LongestEventGap > 0 {
		c.outcomes.RecordGapExcess(request.engine, request.Observed.LongestEventGap-time.Duration(request.Path.GapTargetMs)*time.Millisecond)
	}
	request.Observed = AttemptObservation{}
	c.stopAwaiting(request)
}

// noteFirst counts an attempt whose first byte has come.
func (c *Core) reportFirstByte(request *Request, now clock.Mark) {
	waited, u := now.Since(request.sentAt), c.baseline(request)
	c.outcomes.RecordFirstByteExcess(request.engine, waited-u.firstByteTime.Duration)
	if waited > request.overdueAfter {
		c.reportOutcome(request, outlier.Overdue)
	} else {
		c.reportOutcome(request, outlier.Success)
	}
	u.add(waited, request.expectedCost)
	c.stopAwaiting(request)
}

func (c *Core) stopAwaiting(request *Request) {
	if index := slices.Index(c.awaitingFirstByte, request); index >= 0 {
		last := len(c.awaitingFirstByte) - 1
		c.awaitingFirstByte[index] = c.awaitingFirstByte[last]
		c.awaitingFirstByte[last] = nil
		c.awaitingFirstByte = c.awaitingFirstByte[:last]
	}
}

// Outcomes gives what became of attempts since it was last asked for. Attempts that wait for far longer than like
// ones count now: an engine that hangs would else be known only when deadlines pass.
func (c *Core) Outcomes(now clock.Mark) []outlier.Digest {
	for _, request := range c.awaitingFirstByte {
		if !request.outcomeReported && now.Since(request.sentAt) > request.overdueAfter {
			request.reportedOverdue = true
			c.reportOutcome(request, outlier.Overdue)
		}
	}
	return c.outcomes.TakeDigests()
}

// Reading gives what this daemon saw of an engine lately.
func (c *Core) EngineStatistics(engine ident.EngineID) outlier.Reading {
	return c.outcomes.Reading(engine)
}
