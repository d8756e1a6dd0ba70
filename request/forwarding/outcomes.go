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
	overdueFactor = 4
	// leastOverdue is the share of its target that it may take in any case.
	minOverdueShare = 0.5
	// enoughSeen is how many first bytes say what is usual; before, what takes unknownOverdue targets is overdue.
	minBaselineSamples    = 8
	unknownBaselineFactor = 2
	// middleStep is by how much each first byte moves what is usual, up or down.
	medianStep = 0.05
)

// middle follows the median of times, which a share of engines that are far slower does not move much.
type runningMedian struct{ time.Duration }

func (m *runningMedian) add(newest time.Duration) {
	switch {
	case m.Duration == 0:
		m.Duration = newest
	case newest > m.Duration:
		m.Duration += time.Duration(medianStep * float64(m.Duration))
	case newest < m.Duration:
		m.Duration -= time.Duration(medianStep * float64(m.Duration))
	}
}

// usual is what first bytes of a path usually take: the median of times, and the mean of what they cost. Over all of
// its models, since a daemon of many sees few requests of each.
type firstByteBaseline struct {
	firstByteTime runningMedian
	meanCost      float64
	samples       int
}

func (c *Core) baseline(request *Request) *firstByteBaseline {
	u := c.baselines[request.Path.Name]
	if u == nil {
		if len(c.baselines) >= maxPathStates {
			clear(c.baselines)
		}
		u = &firstByteBaseline{}
		c.baselines[request.Path.Name] = u
	}
	return u
}

// note takes up one more first byte.
func (u *firstByteBaseline) add(waited time.Duration, score float64) {
	u.firstByteTime.add(waited)
	if u.samples++; score > 0 {
		u.meanCost += (score - u.meanCost) / float64(min(u.samples, 16))
	}
}

// overdueAfter is from when on the first byte of an attempt is overdue: long after those of its path are there usually,
// more for what costs more than usual. A full batch and a big prompt take their time.
func (c *Core) overdueAfter(request *Request) time.Duration {
	u, target := c.baseline(request), time.Duration(request.Path.TargetMs)*time.Millisecond
	if u.samples < minBaselineSamples {
		return max(unknownBaselineFactor*target, time.Second)
	}
	larger := 1.0
	if request.expectedCost > 0 && u.meanCost > 0 {
		larger = max(1, request.expectedCost/u.meanCost)
	}
	return max(time.Duration(minOverdueShare*float64(target)), time.Duration(overdueFactor*larger*float64(u.firstByteTime.Duration)))
}

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
