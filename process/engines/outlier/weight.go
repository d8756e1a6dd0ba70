package outlier

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Weight is the fraction of its usual requests that an engine is to get from daemons in a zone; of several that match the
// lowest counts. An empty zone matches all.
type Weight struct {
	Zone     ident.ZoneID
	Fraction float64
}

// WeightFor is the fraction for daemons of a zone; 1 if no weight matches.
func WeightFor(weights []Weight, zone ident.ZoneID) float64 {
	fraction := 1.0
	for _, one := range weights {
		if one.Zone == "" || one.Zone == zone {
			fraction = min(fraction, one.Fraction)
		}
	}
	return fraction
}

// fraction is the fraction of its usual requests that an engine gets in its stage.
func (d *Detector) fraction(now clock.Mark, state *stageState) float64 {
	switch state.stage {
	case Ejected:
		return 0
	case Throttled:
		return state.throttledFraction
	case Trial:
		return d.settings.TrialWeight
	case SlowStart:
		steps := int(now.Since(state.since)/d.settings.SlowStartStep) + 1
		return min(1, d.settings.TrialWeight*float64(int(1)<<min(steps, 30)))
	}
	return 1
}

// Weights gives an engine's weights below 1, ordered by zone; none means healthy everywhere.
func (d *Detector) Weights(now clock.Mark, id ident.EngineID) []Weight {
	engine := d.engines[id]
	if engine == nil {
		return nil
	}
	var out []Weight
	for _, zone := range slices.Sorted(maps.Keys(engine.zones)) {
		if fraction := d.fraction(now, engine.zones[zone]); fraction < 1 {
			out = append(out, Weight{zone, fraction})
		}
	}
	return out
}

// NeedsReplacement reports whether the models of an engine should be loaded elsewhere too: nearly all attempts fail there, or
// it was ejected again soon after it came back. For less, a load and the unload that makes way for it cost more than they
// save.
func (d *Detector) NeedsReplacement(now clock.Mark, id ident.EngineID) bool {
	const nearlyAll = 0.7
	engine := d.engines[id]
	if engine == nil || engine.zones[""] == nil {
		return false
	}
	state := engine.zones[""]
	if state.stage != Ejected && state.stage != Trial {
		return false
	}
	return state.ejectionTime > d.settings.BaseEjectionTime || state.failed.value(now, d.settings.HalfLife) >= nearlyAll*state.attempts.value(now, d.settings.HalfLife)
}

// Stage is an engine's stage for the daemons of a zone; the empty zone stands for all.
func (d *Detector) Stage(id ident.EngineID, zone ident.ZoneID) Stage {
	if engine := d.engines[id]; engine != nil && engine.zones[zone] != nil {
		return engine.zones[zone].stage
	}
	return Healthy
}
