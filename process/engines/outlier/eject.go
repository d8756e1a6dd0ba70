package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// candidate is an engine that stands out for the daemons of a zone.
type candidate struct {
	engine *engineState
	id     ident.EngineID
	zone   ident.ZoneID
	score  float64
}

func (j *Detector) stepPool(now clock.Mark, ids []ident.EngineID) {
	out := 0
	var alarmed []candidate
	for _, id := range ids {
		e := j.engines[id]
		if e == nil {
			continue
		}
		for _, zone := range slices.Sorted(maps.Keys(e.zones)) {
			if one := e.zones[zone]; j.advance(now, one) {
				alarmed = append(alarmed, candidate{e, id, zone, one.score})
			}
		}
		if e.ejected() {
			out++
		}
	}
	// The worst first, since not all may go.
	slices.SortFunc(alarmed, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id), cmp.Compare(a.zone, b.zone))
	})
	most := j.mostEjected(len(ids))
	for _, one := range alarmed {
		if !one.engine.ejected() && out >= most {
			j.Counters.Suppressed++
			continue
		}
		if !one.engine.ejected() {
			out++
		}
		if s := one.engine.zones[one.zone]; s.score < j.settings.AlarmThreshold && s.lateScore >= j.settings.LateAlarmThreshold && s.stage != Trial {
			j.throttle(now, one)
		} else {
			j.eject(now, one)
		}
	}
}

// mostEjected is how many of a pool may be ejected or on trial at once: never all.
func (j *Detector) mostEjected(engines int) int {
	return min(engines-1, max(1, int(j.settings.MaxEjectedFraction*float64(engines))))
}

// advance moves a standing that time or its trial moves; it says whether it is to be ejected.
func (j *Detector) advance(now clock.Mark, s *stageState) (alarmed bool) {
	switch s.stage {
	case Ejected:
		if now.Since(s.since) >= s.ejectionTime {
			s.moveTo(Trial, now)
		}
	case Trial:
		switch {
		case s.passes < 0:
			return true
		case s.passes >= j.settings.TrialPasses, now.Since(s.since) >= j.settings.MaxTrialTime:
			s.moveTo(SlowStart, now)
			// Half of the way to the alarm: one that is only well at times needs less to fall out again.
			s.score, s.lateScore = j.settings.AlarmThreshold/2, 0
		}
	case SlowStart:
		if s.score >= j.settings.AlarmThreshold || s.lateScore >= j.settings.LateAlarmThreshold {
			return true
		}
		if share := j.fraction(now, s); share >= 1 {
			s.moveTo(Healthy, now)
			j.Counters.Returns++
		}
	case Throttled:
		if s.score >= j.settings.AlarmThreshold || s.lateScore >= j.settings.LateAlarmThreshold {
			return true
		}
		if now.Since(s.since) >= throttleStep {
			s.since = now
			if s.throttledFraction *= 2; s.throttledFraction >= 1 {
				s.moveTo(Healthy, now)
				j.Counters.Returns++
			}
		}
	case Healthy:
		return s.score >= j.settings.AlarmThreshold || s.lateScore >= j.settings.LateAlarmThreshold
	}
	return false
}

const (
	// slowedStep is how long a slowed engine must be in time for its share to double, leastCut its least share.
	throttleStep         = 2 * time.Second
	minThrottledFraction = 0.125
)

// slow halves an engine's share.
func (j *Detector) throttle(now clock.Mark, one candidate) {
	s := one.engine.in(one.zone)
	if s.stage != Throttled {
		s.throttledFraction = j.fraction(now, s)
	}
	s.throttledFraction = max(minThrottledFraction, s.throttledFraction/2)
	s.moveTo(Throttled, now)
	for _, other := range one.engine.zones {
		other.lateScore = 0
	}
	j.Counters.Throttled++
}

// eject puts an engine out for those that see it fail: for the daemons of some zones where others get on with it.
func (j *Detector) eject(now clock.Mark, one candidate) {
	zones := []ident.ZoneID{one.zone}
	if one.zone == "" && one.engine.zones[""].stage == Healthy {
		zones = j.affectedZones(now, one.engine)
	}
	for _, zone := range zones {
		s := one.engine.in(zone)
		if s.stage == Ejected {
			continue
		}
		if s.stage == Healthy && now.Since(s.since) >= j.settings.BackoffDecayPeriod {
			s.ejectionTime /= 2
		}
		if s.ejectionTime >= j.settings.BaseEjectionTime {
			j.Counters.Relapses++
			s.ejectionTime = min(2*s.ejectionTime, j.settings.MaxEjectionTime)
		} else {
			s.ejectionTime = j.settings.BaseEjectionTime
		}
		j.Counters.Ejections++
		s.moveTo(Ejected, now)
		s.score, s.lateScore = 0, 0
	}
	// What was seen is in the score of its zone and in that of all, and must not be held against it twice.
	for _, s := range one.engine.zones {
		s.score, s.lateScore = 0, 0
	}
}

// affectedZones lists the zones whose daemons see an engine fail, if those of another get on with it; else all.
func (j *Detector) affectedZones(now clock.Mark, e *engineState) []ident.ZoneID {
	const enough = 3
	var affected []ident.ZoneID
	well := false
	for _, zone := range slices.Sorted(maps.Keys(e.zones)) {
		if zone == "" {
			continue
		}
		all, wrong := e.zones[zone].attempts.value(now, j.settings.HalfLife), e.zones[zone].failed.value(now, j.settings.HalfLife)
		switch {
		case wrong > 0 && wrong/all > j.settings.FailingRate/2:
			affected = append(affected, zone)
		case all >= enough:
			well = true
		}
	}
	if !well || len(affected) == 0 {
		return []ident.ZoneID{""}
	}
	return affected
}
