package forwarding

import (
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
)

// reportState is whether an attempt has been counted for outlier detection. Each attempt is counted once.
type reportState uint8

const (
	unreported reportState = iota
	// reported: counted when its first byte came, or when it ended.
	reported
	// reportedOverdue: counted while its first byte was overdue.
	reportedOverdue
)

// reportOutcome counts an attempt for outlier detection, unless it has been.
func (c *Core) reportOutcome(request *Request, outcome outlier.Outcome) {
	if request.report != unreported {
		return
	}
	request.report = reported
	c.outcomes.Record(request.engine, outcome)
}

// reportEnd counts how an attempt ended. What this daemon or the caller did says nothing about the engine.
func (c *Core) reportEnd(request *Request, outcome Outcome, env Environment) {
	switch outcome {
	case OutcomeCompleted:
		c.reportOutcome(request, outlier.Success)
	case OutcomeUnreachable:
		c.reportOutcome(request, outlier.Failure)
	case OutcomeEngineError, OutcomeResponseLost, OutcomeProtocolError, OutcomeStreamBroken:
		switch {
		case env.Now >= request.Deadline && outcome != OutcomeEngineError:
			// It ran into its own deadline, and was counted when it became overdue, if it did.
		case request.report == reported:
			c.outcomes.RecordTruncated(request.engine)
		default:
			c.reportOutcome(request, outlier.Failure)
		}
	case OutcomeRejected:
		if !request.speculative {
			// A speculative attempt may be rejected by a healthy engine.
			c.reportOutcome(request, outlier.Refusal)
		}
	}
	if request.Observed.ConnectTime > 0 {
		c.outcomes.RecordConnect(request.engine, request.Observed.ConnectTime)
	}
	if request.Path.GapTargetMs > 0 && request.Observed.LongestEventGap > 0 {
		c.outcomes.RecordGapExcess(request.engine, request.Observed.LongestEventGap-request.Path.GapTarget())
	}
	request.Observed = AttemptObservation{}
	c.stopAwaiting(request)
}

// reportFirstByte counts an attempt whose first byte has come.
func (c *Core) reportFirstByte(request *Request, now clock.Mark) {
	waited, baseline := now.Since(request.sentAt), c.baseline(request)
	c.outcomes.RecordFirstByteExcess(request.engine, waited-baseline.firstByteTime.Duration)
	if waited > request.overdueAfter {
		c.reportOutcome(request, outlier.Overdue)
	} else {
		c.reportOutcome(request, outlier.Success)
	}
	baseline.add(waited, request.expectedCost)
	c.stopAwaiting(request)
}

// stopAwaiting takes a request off those whose first byte may become overdue.
func (c *Core) stopAwaiting(request *Request) {
	if index := slices.Index(c.awaitingFirstByte, request); index >= 0 {
		last := len(c.awaitingFirstByte) - 1
		c.awaitingFirstByte[index] = c.awaitingFirstByte[last]
		c.awaitingFirstByte[last] = nil
		c.awaitingFirstByte = c.awaitingFirstByte[:last]
	}
}

// Outcomes gives the outcomes of attempts by engine since the last call. An attempt whose first byte is overdue counts at
// once: otherwise an engine that hangs would be noticed only when deadlines pass.
func (c *Core) Outcomes(now clock.Mark) []outlier.Digest {
	for _, request := range c.awaitingFirstByte {
		if request.report == unreported && now.Since(request.sentAt) > request.overdueAfter {
			c.reportOutcome(request, outlier.Overdue)
			request.report = reportedOverdue
		}
	}
	return c.outcomes.TakeDigests()
}

// EngineStatistics gives what this daemon recently measured of an engine.
func (c *Core) EngineStatistics(engine ident.EngineID) outlier.Reading {
	return c.outcomes.Reading(engine)
}
