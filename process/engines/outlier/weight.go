package outlier

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Weight is the share of its usual requests that an engine is to get from callers' daemons in a zone; of several
// that fit the least counts. An empty zone is all.
type Weight struct {
	Zone     ident.ZoneID
	Fraction float64
}

// WeightFor is the share for daemons of a zone.
func WeightFor(weights []Weight, zone ident.ZoneID) float64 {
	share := 1.0
	for _, one := range weights {
		if one.Zone == "" || one.Zone == zone {
			share = min(share, one.Fraction)
		}
	}
	return share
}

// share is the share of its usual requests that an engine gets.
func (j *Detector) fraction(now clock.Mark, s *stageState) float64 {
	switch s.stage {
	case Ejected:
		return 0
	case Throttled:
		return s.throttledFraction
	case Trial:
		return j.settings.TrialWeight
	case SlowStart:
		steps := int(now.Since(s.since)/j.settings.SlowStartStep) + 1
		return min(1, j.settings.TrialWeight*float64(int(1)<<min(steps, 30)))
	}
	return 1
}

// Weights gives an engine's weights below one, by zone; none means healthy everywhere.
func (j *Detector) Weights(now clock.Mark, id ident.EngineID) []Weight {
	e := j.engines[id]
	if e == nil {
		return nil
	}
	var out []Weight
	for _, zone := range slices.Sorted(maps.Keys(e.zones)) {
		if share := j.fraction(now, e.zones[zone]); share < 1 {
			out = append(out, Weight{zone, share})
		}
	}
	return out
}

// Lost says whether what an engine holds had better stand elsewhere too: nearly all goes wrong there, or it was ejected
// again soon after it came back. For less a load, and what makes way for it, costs more than it saves.
func (j *Detector) NeedsReplacement(now clock.Mark, id ident.EngineID) bool {
	const nearlyAll = 0.7
	e := j.engines[id]
	if e == nil || e.zones[""] == nil {
		return false
	}
	s := e.zones[""]
	if s.stage != Ejected && s.stage != Trial {
		return false
	}
	return s.ejectionTime > j.settings.BaseEjectionTime || s.failed.value(now, j.settings.HalfLife) >= nearlyAll*s.attempts.value(now, j.settings.HalfLife)
}

// Stage is where an engine stands with the daemons of a zone.
func (j *Detector) Stage(id ident.EngineID, zone ident.ZoneID) Stage {
	if e := j.engines[id]; e != nil && e.zones[zone] != nil {
		return e.zones[zone].stage
	}
	return Healthy
}
