package engine

import (
	"slices"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// recordReport keeps what a report will show once it is old enough.
func (l *incarnation) recordReport() {
	report := protocol.Report{Phase: "colocated", Models: l.holdings.List(), Saturated: l.holdings.pending != nil, CallSeq: l.holdings.callSeq, KVSize: l.Config.Pace.Memory, ServedModels: 0}
	if l.Config.Model {
		report.Queued, report.Active = l.batch.Queued(), l.batch.Active()
		report.KVInUse, _ = l.batch.Memory()
	} else {
		report.Queued, report.Active = len(l.waiting), l.active
	}
	l.queued.Store(int64(report.Queued))
	now := l.Recorder.Now()
	l.reports = append(l.reports, agedReport{now, report})
	// All but the newest of those old enough are never shown again.
	old := 0
	for old+1 < len(l.reports) && now.Since(l.reports[old+1].at) >= l.Config.ReportLag {
		old++
	}
	l.reports = slices.Delete(l.reports, 0, old)
}

// report gives what a report shows now.
func (l *incarnation) report() (report protocol.Report) {
	l.do(func() {
		l.recordReport()
		report = l.reports[0].report
	})
	return report
}
