package discovery

import (
	"errors"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/engineapi"
)

const (
	// failedReportsToSuspect is how many reports must fail one after the other before a healthy engine is suspect,
	// goodReportsToRecover how many must come before it is healthy again.
	failedReportsToSuspect = 2
	goodReportsToRecover   = 2
)

// plausible reports whether a report can be one: each model once, in a known state, and no negative counts.
func plausible(report engineapi.Report) bool {
	seen := map[string]bool{}
	for _, loaded := range report.Models {
		known := loaded.State == engineapi.Loading || loaded.State == engineapi.Loaded || loaded.State == engineapi.Unloading
		if loaded.Model == "" || seen[loaded.Model] || !known {
			return false
		}
		seen[loaded.Model] = true
	}
	return report.Busy >= 0
}

// applyReport changes an engine by the answer to a request for its report.
func (w *Watcher) applyReport(engine *Engine, result reportResult, now clock.Mark) {
	switch {
	case errors.Is(result.err, errInvalid):
		w.Counters.InvalidReports.Add(1)
		w.Counters.Quarantines.Add(1)
		engine.setCondition(Quarantined, now)
	case result.err != nil:
		w.Counters.FailedReports.Add(1)
		engine.failedReports++
		engine.goodReports = 0
		if engine.failedReports >= failedReportsToSuspect && engine.Condition == Healthy {
			engine.setCondition(Suspect, now)
		}
	default:
		w.applyGoodReport(engine, result, now)
	}
}

func (w *Watcher) applyGoodReport(engine *Engine, result reportResult, now clock.Mark) {
	if result.report.CallSeq < engine.Report.CallSeq {
		// The counter went back: the engine restarted. Old orders are void, and its caches are empty.
		w.Counters.Restarts.Add(1)
		engine.Incarnation++
		engine.SlowStartFrom = now
		// The old incarnation's draining is over; the list says so again if the new one drains too.
		engine.Draining, engine.saturatedBusy = false, 0
	}
	switch {
	case result.report.Saturated && result.report.Busy > 0:
		engine.saturatedBusy = result.report.Busy
	case result.report.Busy >= engine.saturatedBusy:
		// It runs as many and is not saturated, so it can take more.
		engine.saturatedBusy = 0
	}
	engine.Report, engine.ReportRequested = result.report, result.requested
	if result.report.Draining && !engine.Draining {
		*engine = *engine.withDraining(now)
	}
	engine.failedReports = 0
	engine.goodReports++
	if engine.recovers(now) {
		engine.setCondition(Healthy, now)
	}
}

// recovers reports whether a good report makes an engine healthy.
func (e *Engine) recovers(now clock.Mark) bool {
	switch e.Condition {
	case AwaitingReport:
		return true
	case Suspect:
		return e.goodReports >= goodReportsToRecover
	case Quarantined:
		return now >= e.quarantinedUntil
	}
	return false
}
