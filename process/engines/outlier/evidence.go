package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// decaying is a number of which what was added before counts less.
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

// poolSum is what was seen lately of the better engines of a pool.
type baseline struct {
	at          clock.Mark
	wrong, late ratio
}

// share is a part of all attempts.
type ratio struct{ part, all float64 }

// Observation is what one daemon reported.
type Observation struct {
	Zone    ident.ZoneID
	Digests []Digest
}

const (
	// ownTrouble is the share of a daemon's attempts, and ownEngines the number of engines, from which on failures
	// are put down to the daemon itself or its links.
	localFaultRate    = 0.5
	localFaultEngines = 3
)

// Observe takes up what a daemon saw. busy says whether an engine is full by its own report, so that it may turn
// requests away.
func (j *Detector) Observe(now clock.Mark, observation Observation, busy func(ident.EngineID) bool) {
	attempts, wrong, engines := 0, 0, 0
	for _, digest := range observation.Digests {
		attempts += digest.Attempts
		if bad := digest.Failures + digest.Overdue; bad > 0 {
			wrong += bad
			engines++
		}
	}
	if engines >= localFaultEngines && float64(wrong) > localFaultRate*float64(attempts) {
		// A daemon that is cut off sees all engines fail.
		j.Counters.DigestsDropped++
		return
	}
	for _, digest := range observation.Digests {
		e := j.engines[digest.Engine]
		if e == nil || digest.Attempts <= 0 {
			continue
		}
		bad, late := digest.Failures, 0
		if busy(digest.Engine) {
			// Who has much to do may turn away, and be late, without failing.
			late = digest.Overdue
		} else {
			bad += digest.Refusals + digest.Overdue
		}
		bad = min(bad, digest.Attempts)
		late = min(late, digest.Attempts-bad)
		j.Counters.Attempts += uint64(digest.Attempts)
		j.Counters.Failures += uint64(bad)
		sum := j.poolBaseline(now, e.pool)
		j.updateScores(now, e.in(""), digest.Attempts, bad, late, sum)
		if observation.Zone != "" {
			j.updateScores(now, e.in(observation.Zone), digest.Attempts, bad, late, sum)
		}
	}
}

// usual is the share that goes wrong of so many, with room for chance.
func (j *Detector) usualRate(seen ratio) float64 {
	if seen.all < 1 {
		return j.settings.NoiseRate
	}
	return min(0.5, j.settings.NoiseRate+2*seen.part/seen.all)
}

// betterShare is the share of a pool's engines, the best ones, that say what is usual: in a mean over all, those that are
// failing hide each other.
const baselineFraction = 0.6

// sum adds up what was seen lately of the pool's better engines, once for each moment. Where all fail, or all are
// late, these do too, and none stands out.
func (j *Detector) poolBaseline(now clock.Mark, pool string) baseline {
	if sum, known := j.baselines[pool]; known && sum.at == now {
		return sum
	}
	var wrongs, lates []ratio
	for _, id := range j.pools[pool] {
		if e := j.engines[id]; e != nil && e.zones[""] != nil {
			one := e.zones[""]
			if all := one.attempts.value(now, j.settings.HalfLife); all >= 0.5 {
				wrongs = append(wrongs, ratio{one.failed.value(now, j.settings.HalfLife), all})
				lates = append(lates, ratio{one.lateCount.value(now, j.settings.HalfLife), all})
			}
		}
	}
	sum := baseline{at: now, wrong: sumOfLowest(wrongs, baselineFraction), late: sumOfLowest(lates, baselineFraction)}
	j.baselines[pool] = sum
	return sum
}

// sumOfBest adds up the shares of so many of the engines, the best first.
func sumOfLowest(shares []ratio, most float64) (sum ratio) {
	slices.SortFunc(shares, func(a, b ratio) int { return cmp.Compare(a.part/a.all, b.part/b.all) })
	for _, one := range shares[:max(min(1, len(shares)), int(most*float64(len(shares))))] {
		sum.part += one.part
		sum.all += one.all
	}
	return sum
}

// weigh moves a standing's scores by what went wrong and what went well.
func (j *Detector) updateScores(now clock.Mark, s *stageState, all, bad, late int, pool baseline) {
	s.failed.add(now, j.settings.HalfLife, float64(bad))
	s.lateCount.add(now, j.settings.HalfLife, float64(late))
	s.attempts.add(now, j.settings.HalfLife, float64(all))
	j.addToScore(&s.score, bad, all-bad, j.usualRate(pool.wrong), j.settings.AlarmThreshold)
	j.addToScore(&s.lateScore, late, all-late, j.usualRate(pool.late), j.settings.LateAlarmThreshold)
	well := all - bad
	if s.stage == Trial {
		if bad > 0 {
			s.passes = -1
		} else if s.passes >= 0 {
			s.passes += well
		}
	}
}

// count is one step of a cumulative sum. It is bounded above too, or what has recovered would need as long as it
// was failing.
func (j *Detector) addToScore(score *float64, bad, well int, usual, alarm float64) {
	failing := min(0.95, max(j.settings.FailingRate, 1.8*usual))
	*score += float64(bad)*math.Log(failing/usual) + float64(well)*math.Log((1-failing)/(1-usual))
	*score = min(max(0, *score), 2*alarm)
}
