package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// decaying is a sum with exponential decay.
type decaying struct {
	sum float64
	at  clock.Mark
}

func (f *decaying) value(now clock.Mark, half time.Duration) float64 {
	return f.sum * math.Exp2(-float64(now.Since(f.at))/float64(half))
}

func (f *decaying) add(now clock.Mark, half time.Duration, more float64) {
	f.sum, f.at = f.value(now, half)+more, now
}

// baseline is what was observed lately of the better engines of a pool.
type baseline struct {
	at           clock.Mark
	failed, late ratio
}

// ratio is a number of events out of all attempts.
type ratio struct{ events, attempts float64 }

// Observation is what one daemon reported.
type Observation struct {
	Zone    ident.ZoneID
	Digests []Digest
}

const (
	// Failures of more than localFaultRate of a daemon's attempts, at localFaultEngines engines or more, are attributed to
	// the daemon itself or its links.
	localFaultRate    = 0.5
	localFaultEngines = 3
)

// Observe takes what a daemon observed. busy says whether an engine is saturated by its own report, so that it may refuse
// requests.
func (d *Detector) Observe(now clock.Mark, observation Observation, busy func(ident.EngineID) bool) {
	attempts, wrong, engines := 0, 0, 0
	for _, digest := range observation.Digests {
		attempts += digest.Attempts
		if failed := digest.Failures + digest.Overdue; failed > 0 {
			wrong += failed
			engines++
		}
	}
	if engines >= localFaultEngines && float64(wrong) > localFaultRate*float64(attempts) {
		// A partitioned daemon sees all engines fail.
		d.Counters.DigestsDropped++
		return
	}
	for _, digest := range observation.Digests {
		engine := d.engines[digest.Engine]
		if engine == nil || digest.Attempts <= 0 {
			continue
		}
		failed, late := digest.Failures, 0
		if busy(digest.Engine) {
			// A saturated engine may refuse, and be late, without failing.
			late = digest.Overdue
		} else {
			failed += digest.Refusals + digest.Overdue
		}
		failed = min(failed, digest.Attempts)
		late = min(late, digest.Attempts-failed)
		d.Counters.Attempts += uint64(digest.Attempts)
		d.Counters.Failures += uint64(failed)
		sum := d.poolBaseline(now, engine.pool)
		d.updateScores(now, engine.in(""), digest.Attempts, failed, late, sum)
		if observation.Zone != "" {
			d.updateScores(now, engine.in(observation.Zone), digest.Attempts, failed, late, sum)
		}
	}
}

// usualRate is the rate of events that is usual in a pool, with a margin for chance.
func (d *Detector) usualRate(observed ratio) float64 {
	if observed.attempts < 1 {
		return d.settings.NoiseRate
	}
	return min(0.5, d.settings.NoiseRate+2*observed.events/observed.attempts)
}

// baselineFraction is the fraction of a pool's engines, the best ones, that make the baseline: in a mean over all, failing
// engines would hide each other.
const baselineFraction = 0.6

// poolBaseline adds up what was observed lately of the pool's better engines, once for each moment. Where all engines fail,
// or all are late, these do too, and none is an outlier.
func (d *Detector) poolBaseline(now clock.Mark, pool string) baseline {
	if sum, known := d.baselines[pool]; known && sum.at == now {
		return sum
	}
	var failures, late []ratio
	for _, id := range d.pools[pool] {
		if e := d.engines[id]; e != nil && e.zones[""] != nil {
			one := e.zones[""]
			if all := one.attempts.value(now, d.settings.HalfLife); all >= 0.5 {
				failures = append(failures, ratio{one.failed.value(now, d.settings.HalfLife), all})
				late = append(late, ratio{one.lateCount.value(now, d.settings.HalfLife), all})
			}
		}
	}
	sum := baseline{at: now, failed: sumOfLowest(failures, baselineFraction), late: sumOfLowest(late, baselineFraction)}
	d.baselines[pool] = sum
	return sum
}

// sumOfLowest adds up the lowest ratios, a fraction of them and at least one.
func sumOfLowest(ratios []ratio, fraction float64) (sum ratio) {
	slices.SortFunc(ratios, func(a, b ratio) int { return cmp.Compare(a.events/a.attempts, b.events/b.attempts) })
	for _, one := range ratios[:max(min(1, len(ratios)), int(fraction*float64(len(ratios))))] {
		sum.events += one.events
		sum.attempts += one.attempts
	}
	return sum
}

// updateScores moves the scores of a stage by the attempts that failed, were late, or succeeded.
func (d *Detector) updateScores(now clock.Mark, state *stageState, attempts, failed, late int, pool baseline) {
	state.failed.add(now, d.settings.HalfLife, float64(failed))
	state.lateCount.add(now, d.settings.HalfLife, float64(late))
	state.attempts.add(now, d.settings.HalfLife, float64(attempts))
	d.addToScore(&state.score, failed, attempts-failed, d.usualRate(pool.failed), d.settings.AlarmThreshold)
	d.addToScore(&state.lateScore, late, attempts-late, d.usualRate(pool.late), d.settings.LateAlarmThreshold)
	succeeded := attempts - failed
	if state.stage == Trial {
		if failed > 0 {
			state.passes = -1
		} else if state.passes >= 0 {
			state.passes += succeeded
		}
	}
}

// addToScore is one step of a cumulative sum. The sum is bounded above too, or an engine that recovered would need as long
// as it was failing.
func (d *Detector) addToScore(score *float64, events, others int, usual, alarm float64) {
	failing := min(0.95, max(d.settings.FailingRate, 1.8*usual))
	*score += float64(events)*math.Log(failing/usual) + float64(others)*math.Log((1-failing)/(1-usual))
	*score = min(max(0, *score), 2*alarm)
}
