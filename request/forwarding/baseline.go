package forwarding

import (
	"time"
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

// note takes up one more first byte.
func (u *firstByteBaseline) add(waited time.Duration, score float64) {
	u.firstByteTime.add(waited)
	if u.samples++; score > 0 {
		u.meanCost += (score - u.meanCost) / float64(min(u.samples, 16))
	}
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
