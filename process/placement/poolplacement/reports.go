package poolplacement

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Reported takes an engine's report, or the failure to get one; asked is when it was requested. It says whether
// an order was resolved by it, so that the next can be given at once.
func (p *Planner) Reported(now, asked clock.Mark, id ident.EngineID, report Report, ok bool) (resolved bool) {
	e := p.engines[id]
	if e == nil {
		return false
	}
	e.requestingReport = false
	if !ok {
		p.Counters.FailedReports++
		e.failures++
		e.nextReport = now + clock.Mark(min(p.settings.IdleReportInterval, 2*p.settings.BusyReportInterval*time.Duration(e.failures)))
		return false
	}
	p.Counters.Reports++
	e.failures = 0
	load := float64(report.Active+report.Queued) / float64(max(1, e.slots))
	if report.Queued > 0 {
		load = max(load, 1)
	}
	e.utilization += (load - e.utilization) * 0.5
	e.nextReport = now + clock.Mark(p.interval(e))
	if e.reportRead && asked < e.reportRequested {
		return false
	}
	// A report from before orders that are known to have been accepted does not show what is loaded. What was announced
	// under earlier leases may never have been sent: only a report requested later than any lag shows that.
	if report.Accepted < e.acceptedOrders && now.Since(e.acceptedAt) < oldLag || report.Accepted < p.inherited[id] && asked.Since(p.began) < lagLimit {
		p.Counters.StaleReports++
		if e.pending != nil {
			p.learn(e.pending, asked, false)
		}
		e.nextReport = now + clock.Mark(p.interval(e))
		return false
	}
	delete(p.inherited, id)
	e.reportRead, e.reportRequested, e.report, e.acceptedOrders = true, asked, report, report.Accepted
	e.trackLoaded(now)
	resolved = p.resolve(now, e)
	e.nextReport = now + clock.Mark(p.interval(e))
	return resolved
}

// learn corrects the estimate of how far reports lag by one report. The load of a model says nothing about it: how long
// that takes depends on what runs there.
func (p *Planner) learn(f *pendingOrder, asked clock.Mark, shown bool) {
	if f.state != accepted || asked < f.visibleAt(p.lag) {
		return
	}
	if f.reportsRequested++; f.reportsRequested > 1 || f.Kind == Load && f.Adapter == "" {
		return
	}
	if shown {
		p.lag = max(minLag, p.lag-lagDown)
	} else {
		p.lag = min(maxLag, p.lag+lagUp)
	}
}

// interval is how soon the next report of an engine is requested.
func (p *Planner) interval(e *engine) time.Duration {
	switch {
	case e.pending != nil && e.pending.state == accepted && e.pending.reportsRequested < maxQuickReports:
		// An order that should be visible by now is checked often, so that the next order needn't wait.
		return p.settings.PollInterval
	case e.pending != nil || e.intent != nil || !e.reportRead || e.report.Accepted < e.acceptedOrders || e.reportRequested < e.notBefore:
		return p.settings.BusyReportInterval
	case !e.usable:
		return 3 * p.settings.IdleReportInterval
	}
	return p.settings.IdleReportInterval
}

// ReportRequest is an engine whose report is to be requested.
type ReportRequest struct {
	Engine  ident.EngineID
	Address string
}

// Due lists the engines whose reports are to be requested now.
func (p *Planner) Due(now clock.Mark) []ReportRequest {
	var out []ReportRequest
	for _, id := range p.ids {
		e := p.engines[id]
		if e.requestingReport || now < e.nextReport {
			continue
		}
		e.requestingReport = true
		out = append(out, ReportRequest{id, e.address})
	}
	return out
}
