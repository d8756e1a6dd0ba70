package engine

import (
	"slices"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// recordReport stores the present state, which reports show once it is ReportLag old.
func (inc *incarnation) recordReport() {
	report := protocol.Report{Phase: "colocated", Models: inc.holdings.List(), Saturated: inc.holdings.pending != nil, CallSeq: inc.holdings.callSeq, KVSize: inc.Config.Pace.Memory, ServedModels: 0}
	if inc.Config.Model {
		report.Queued, report.Active = inc.batch.Queued(), inc.batch.Active()
		report.KVInUse, _ = inc.batch.Memory()
	} else {
		report.Queued, report.Active = len(inc.waiting), inc.active
	}
	inc.queued.Store(int64(report.Queued))
	now := inc.Recorder.Now()
	inc.reports = append(inc.reports, agedReport{now, report})
	// All but the newest of those that are old enough are never shown again.
	old := 0
	for old+1 < len(inc.reports) && now.Since(inc.reports[old+1].at) >= inc.Config.ReportLag {
		old++
	}
	inc.reports = slices.Delete(inc.reports, 0, old)
}

// report is what a report shows now.
func (inc *incarnation) report() (report protocol.Report) {
	inc.do(func() {
		inc.recordReport()
		report = inc.reports[0].report
	})
	return report
}
