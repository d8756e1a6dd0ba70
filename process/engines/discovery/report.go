package discovery

import (
	"github.com/cresspond/cresspond/clock"
)

func (w *Watcher) applyReport(engine Engine, read reportResult, now clock.Mark) *Engine {
	switch {
	case read.invalid:
		w.Counters.InvalidReports.Add(1)
		w.Counters.Quarantines.Add(1)
		engine.setCondition(Quarantined, now)
	case read.err != nil:
		w.Counters.FailedReports.Add(1)
		engine.failedReports++
		engine.goodReports = 0
		if engine.failedReports >= failedReportsToSuspect && engine.Condition == Healthy {
			engine.setCondition(Suspect, now)
		}
	default:
		if read.report.CallSeq < engine.Report.CallSeq {
			// The counter went back: a new life, in which old orders are void and nothing is warm.
			w.Counters.Restarts.Add(1)
			engine.Incarnation++
			engine.SlowStartFrom = now
			// Whoever was leaving has left; the list says so again if the new life leaves too.
			engine.Draining, engine.saturatedBusy = false, 0
		}
		switch {
		case read.report.Saturated && read.report.Busy > 0:
			engine.saturatedBusy = read.report.Busy
		case read.report.Busy >= engine.saturatedBusy:
			// It runs as many and has room, so it can take more than was thought.
			engine.saturatedBusy = 0
		}
		engine.Report, engine.ReportRequested = read.report, read.requested
		if read.report.Draining && !engine.Draining {
			engine = *engine.withDraining(now)
		}
		engine.failedReports = 0
		engine.goodReports++
		switch engine.Condition {
		case AwaitingReport:
			engine.setCondition(Healthy, now)
		case Suspect:
			if engine.goodReports >= goodReportsToRecover {
				engine.setCondition(Healthy, now)
			}
		case Quarantined:
			if now >= engine.quarantinedUntil {
				engine.setCondition(Healthy, now)
			}
		}
	}
	return &engine
}
