package noderanking

import "github.com/cresspond/cresspond/process/engines/nodehealth"

// EachCounter reports the counters of the ranking by name.
func (r *Ranking) EachCounter(report func(name string, value uint64)) {
	if !r.enabled() {
		return
	}
	if r.recorder != nil {
		report("ranking_digests_told", r.digestsSent.Load())
		report("ranking_measurements_dropped", r.recorder.Dropped())
	}
	if !r.config.Plans {
		return
	}
	state := r.published.Load()
	counts := state.counters
	report("ranking_digests_heard", counts.Digests)
	report("ranking_digests_dropped", counts.DigestsDropped)
	report("ranking_steps", counts.Steps)
	report("ranking_step_us", uint64(state.took.Microseconds()))
	report("ranking_suspected", counts.Suspected)
	report("ranking_cleared", counts.Cleared)
	report("ranking_drains", counts.Drains)
	report("ranking_releases", counts.Reopened)
	report("ranking_relapses", counts.Relapses)
	report("ranking_sounded", counts.Recovered)
	for index, count := range counts.Refused {
		if why := nodehealth.Refusal(index); why != nodehealth.Allowed {
			report("ranking_refused_"+why.Name(), count)
		}
	}
	report("ranking_acts_done", r.actions.done.Load())
	report("ranking_acts_refused", r.actions.refused.Load())
	report("ranking_acts_unknown", r.actions.unknown.Load())
	report("ranking_acts_unleased", r.actions.unleased.Load())
	drained := uint64(0)
	for _, row := range state.rows {
		if row.Stage == nodehealth.Drained {
			drained++
		}
	}
	report("ranking_drained_now", drained)
}
