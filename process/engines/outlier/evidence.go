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
type poolSum struct {
	at          clock.Mark
	wrong, late share
}

// share is a part of all attempts.
type share struct{ part, all float64 }

// Observation is what one daemon reported.
type Observation struct {
	Zone    ident.ZoneID
	Digests []Digest
}

const (
	// ownTrouble is the share of a daemon's attempts, and ownEngines the number of engines, from which on failures
	// are put down to the daemon itself or its links.
	ownTrouble = 0.5
	ownEngines = 3
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
	if engines >= ownEngines && float64(wrong) > ownTrouble*float64(attempts) {
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
		j.Counters.Wrong += uint64(bad)
		sum := j.sum(now, e.pool)
		j.weigh(now, e.in(""), digest.Attempts, bad, late, sum)
		if observation.Zone != "" {
			j.weigh(now, e.in(observation.Zone), digest.Attempts, bad, late, sum)
		}
	}
}

// usual is the share that goes wrong of so many, with room for chance.
func (j *Detector) usual(seen share) float64 {
	if seen.all < 1 {
		return j.settings.Noise
	}
	return min(0.5, j.settings.Noise+2*seen.part/seen.all)
}

// betterShare is the share of a pool's engines, the best ones, that say what is usual: in a mean over all, those that are
// failing hide each other.
const betterShare = 0.6

// sum adds up what was seen lately of the pool's better engines, once for each moment. Where all fail, or all are
// late, these do too, and none stands out.
func (j *Detector) sum(now clock.Mark, pool string) poolSum {
	if sum, known := j.sums[pool]; known && sum.at == now {
		return sum
	}
	var wrongs, lates []share
	for _, id := range j.pools[pool] {
		if e := j.engines[id]; e != nil && e.zones[""] != nil {
			one := e.zones[""]
			if all := one.all.value(now, j.settings.Half); all >= 0.5 {
				wrongs = append(wrongs, share{one.wrong.value(now, j.settings.Half), all})
				lates = append(lates, share{one.lates.value(now, j.settings.Half), all})
			}
		}
	}
	sum := poolSum{at: now, wrong: sumOfBest(wrongs, betterShare), late: sumOfBest(lates, betterShare)}
	j.sums[pool] = sum
	return sum
}

// sumOfBest adds up the shares of so many of the engines, the best first.
func sumOfBest(shares []share, most float64) (sum share) {
	slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(a.part/a.all, b.part/b.all) })
	for _, one := range shares[:max(min(1, len(shares)), int(most*float64(len(shares))))] {
		sum.part += one.part
		sum.all += one.all
	}
	return sum
}

// weigh moves a standing's scores by what went wrong and what went well.
func (j *Detector) weigh(now clock.Mark, s *standing, all, bad, late int, pool poolSum) {
	s.wrong.add(now, j.settings.Half, float64(bad))
	s.lates.add(now, j.settings.Half, float64(late))
	s.all.add(now, j.settings.Half, float64(all))
	j.count(&s.score, bad, all-bad, j.usual(pool.wrong), j.settings.Alarm)
	j.count(&s.late, late, all-late, j.usual(pool.late), j.settings.LateAlarm)
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
func (j *Detector) count(score *float64, bad, well int, usual, alarm float64) {
	failing := min(0.95, max(j.settings.Sick, 1.8*usual))
	*score += float64(bad)*math.Log(failing/usual) + float64(well)*math.Log((1-failing)/(1-usual))
	*score = min(max(0, *score), 2*alarm)
}
