package forwarding

import (
	"time"
)

const (
	// overdueFactor is by how many times a first byte may exceed the usual time before it is overdue.
	overdueFactor = 4
	// minOverdueShare is the share of its target that it may take in any case.
	minOverdueShare = 0.5
	// minBaselineSamples is how many first bytes make a baseline; before, a first byte is overdue after
	// unknownBaselineFactor targets.
	minBaselineSamples    = 8
	unknownBaselineFactor = 2
	// medianStep is the relative step by which each first byte moves the median.
	medianStep = 0.05
)

// runningMedian approximates the median of times, which a share of far slower engines does not move much.
type runningMedian struct{ time.Duration }

// add moves the median one step towards the newest time.
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

// firstByteBaseline is what first bytes of a path usually take: the median time, and the mean of the expected cost in
// prompt tokens. It covers all models of a path, since one daemon sees few requests of each.
type firstByteBaseline struct {
	firstByteTime runningMedian
	meanCost      float64
	samples       int
}

// add takes in one more first byte.
func (baseline *firstByteBaseline) add(waited time.Duration, cost float64) {
	baseline.firstByteTime.add(waited)
	if baseline.samples++; cost > 0 {
		baseline.meanCost += (cost - baseline.meanCost) / float64(min(baseline.samples, 16))
	}
}

// baseline gives the baseline of a request's path.
func (c *Core) baseline(request *Request) *firstByteBaseline {
	baseline := c.baselines[request.Path.Name]
	if baseline == nil {
		if len(c.baselines) >= maxPathStates {
			clear(c.baselines)
		}
		baseline = &firstByteBaseline{}
		c.baselines[request.Path.Name] = baseline
	}
	return baseline
}

// overdueAfter is how long an attempt's first byte may take before it is overdue: a multiple of the usual time, more for
// a request of more than the usual cost, since full batches and large prompts take their time.
func (c *Core) overdueAfter(request *Request) time.Duration {
	baseline, target := c.baseline(request), request.Path.Target()
	if baseline.samples < minBaselineSamples {
		return max(unknownBaselineFactor*target, time.Second)
	}
	larger := 1.0
	if request.expectedCost > 0 && baseline.meanCost > 0 {
		larger = max(1, request.expectedCost/baseline.meanCost)
	}
	return max(time.Duration(minOverdueShare*float64(target)), time.Duration(overdueFactor*larger*float64(baseline.firstByteTime.Duration)))
}
