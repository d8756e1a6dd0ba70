package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// candidate is an engine whose score is above a threshold for the daemons of a zone.
type candidate struct {
	engine *engineState
	id     ident.EngineID
	zone   ident.ZoneID
	score  float64
}

func (d *Detector) stepPool(now clock.Mark, ids []ident.EngineID) {
	ejected := 0
	var alarmed []candidate
	for _, id := range ids {
		engine := d.engines[id]
		if engine == nil {
			continue
		}
		for _, zone := range slices.Sorted(maps.Keys(engine.zones)) {
			if one := engine.zones[zone]; d.advance(now, one) {
				alarmed = append(alarmed, candidate{engine, id, zone, one.score})
			}
		}
		if engine.ejected() {
			ejected++
		}
	}
	// The worst go first, since the limit may not allow all.
	slices.SortFunc(alarmed, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id), cmp.Compare(a.zone, b.zone))
	})
	limit := d.mostEjected(len(ids))
	for _, one := range alarmed {
		if !one.engine.ejected() && ejected >= limit {
			d.Counters.Suppressed++
			continue
		}
		if !one.engine.ejected() {
			ejected++
		}
		if state := one.engine.zones[one.zone]; state.score < d.settings.AlarmThreshold && state.lateScore >= d.settings.LateAlarmThreshold && state.stage != Trial {
			d.throttle(now, one)
		} else {
			d.eject(now, one)
		}
	}
}

// mostEjected is how many engines of a pool may be ejected or on trial at once: never all.
func (d *Detector) mostEjected(engines int) int {
	return min(engines-1, max(1, int(d.settings.MaxEjectedFraction*float64(engines))))
}

// advance makes the transitions that are due by time or by a trial; alarmed says that the engine is to be ejected or
// throttled.
func (d *Detector) advance(now clock.Mark, state *stageState) (alarmed bool) {
	switch state.stage {
	case Ejected:
		if now.Since(state.since) >= state.ejectionTime {
			state.moveTo(Trial, now)
		}
	case Trial:
		switch {
		case state.passes < 0:
			return true
		case state.passes >= d.settings.TrialPasses, now.Since(state.since) >= d.settings.MaxTrialTime:
			state.moveTo(SlowStart, now)
			// It starts half-way to the threshold: an engine that is healthy only at times is ejected again sooner.
			state.score, state.lateScore = d.settings.AlarmThreshold/2, 0
		}
	case SlowStart:
		if state.score >= d.settings.AlarmThreshold || state.lateScore >= d.settings.LateAlarmThreshold {
			return true
		}
		if share := d.fraction(now, state); share >= 1 {
			state.moveTo(Healthy, now)
			d.Counters.Returns++
		}
	case Throttled:
		if state.score >= d.settings.AlarmThreshold || state.lateScore >= d.settings.LateAlarmThreshold {
			return true
		}
		if now.Since(state.since) >= throttleStep {
			state.since = now
			if state.throttledFraction *= 2; state.throttledFraction >= 1 {
				state.moveTo(Healthy, now)
				d.Counters.Returns++
			}
		}
	case Healthy:
		return state.score >= d.settings.AlarmThreshold || state.lateScore >= d.settings.LateAlarmThreshold
	}
	return false
}

const (
	// throttleStep is how long a throttled engine must be in time for its fraction to double, minThrottledFraction the least
	// fraction.
	throttleStep         = 2 * time.Second
	minThrottledFraction = 0.125
)

// throttle halves an engine's fraction of requests.
func (d *Detector) throttle(now clock.Mark, one candidate) {
	state := one.engine.in(one.zone)
	if state.stage != Throttled {
		state.throttledFraction = d.fraction(now, state)
	}
	state.throttledFraction = max(minThrottledFraction, state.throttledFraction/2)
	state.moveTo(Throttled, now)
	for _, other := range one.engine.zones {
		other.lateScore = 0
	}
	d.Counters.Throttled++
}

// eject ejects an engine for the daemons that see it fail: for those of some zones only, where it serves the others.
func (d *Detector) eject(now clock.Mark, one candidate) {
	zones := []ident.ZoneID{one.zone}
	if one.zone == "" && one.engine.zones[""].stage == Healthy {
		zones = d.affectedZones(now, one.engine)
	}
	for _, zone := range zones {
		state := one.engine.in(zone)
		if state.stage == Ejected {
			continue
		}
		if state.stage == Healthy && now.Since(state.since) >= d.settings.BackoffDecayPeriod {
			state.ejectionTime /= 2
		}
		if state.ejectionTime >= d.settings.BaseEjectionTime {
			d.Counters.Relapses++
			state.ejectionTime = min(2*state.ejectionTime, d.settings.MaxEjectionTime)
		} else {
			state.ejectionTime = d.settings.BaseEjectionTime
		}
		d.Counters.Ejections++
		state.moveTo(Ejected, now)
		state.score, state.lateScore = 0, 0
	}
	// What was observed is in the score of its zone and in that of all zones, and must not count twice.
	for _, state := range one.engine.zones {
		state.score, state.lateScore = 0, 0
	}
}

// affectedZones lists the zones whose daemons see an engine fail, if it serves those of another zone; else the empty zone,
// which is all.
func (d *Detector) affectedZones(now clock.Mark, engine *engineState) []ident.ZoneID {
	const enough = 3
	var affected []ident.ZoneID
	healthyElsewhere := false
	for _, zone := range slices.Sorted(maps.Keys(engine.zones)) {
		if zone == "" {
			continue
		}
		all, wrong := engine.zones[zone].attempts.value(now, d.settings.HalfLife), engine.zones[zone].failed.value(now, d.settings.HalfLife)
		switch {
		case wrong > 0 && wrong/all > d.settings.FailingRate/2:
			affected = append(affected, zone)
		case all >= enough:
			healthyElsewhere = true
		}
	}
	if !healthyElsewhere || len(affected) == 0 {
		return []ident.ZoneID{""}
	}
	return affected
}
