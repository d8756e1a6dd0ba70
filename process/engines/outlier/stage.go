package outlier

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Stage is how an engine is treated by the daemons of a zone, or by all.
type Stage uint8

const (
	// Healthy engines get their usual requests.
	Healthy Stage = iota
	// Ejected engines get only what no other engine can take.
	Ejected
	// Trial engines get a small fraction, until enough attempts have succeeded.
	Trial
	// SlowStart engines get a fraction that doubles with each step, so that no burst meets cold caches.
	SlowStart
	// Throttled engines are late and no more than that. Their fraction is halved with each alarm and doubles again while there
	// is none: a slow engine gets what it can do, and one that was only overloaded recovers soon.
	Throttled
)

func (s Stage) String() string {
	return [...]string{"sound", "ejected", "trial", "ramp", "slowed"}[s]
}

// transitions lists the stages that may follow each.
var transitions = map[Stage][]Stage{Healthy: {Ejected, Throttled}, Ejected: {Trial}, Trial: {Ejected, SlowStart}, SlowStart: {Ejected, Throttled, Healthy}, Throttled: {Ejected, Throttled, Healthy}}

// stageState is an engine as one zone's daemons observe it, or those of all.
type stageState struct {
	stage Stage
	since clock.Mark
	// score is Page's cumulative sum: the logarithm of how much likelier what was observed since it was last zero is with a
	// failing engine than with a healthy one.
	score float64
	// lateScore is the same for what came too late at a saturated engine.
	lateScore    float64
	ejectionTime time.Duration
	// throttledFraction is the fraction of requests of a throttled engine.
	throttledFraction float64
	// passes counts what succeeded on trial; -1 is a trial that failed.
	passes int
	// What was observed lately.
	failed, lateCount, attempts decaying
}

// moveTo changes a stage; nothing else does.
func (s *stageState) moveTo(to Stage, now clock.Mark) {
	if !slices.Contains(transitions[s.stage], to) {
		panic("broken invariant: an engine may not go from " + s.stage.String() + " to " + to.String())
	}
	s.stage, s.since, s.passes = to, now, 0
}

// engineState is one engine; the empty zone stands for the daemons of all zones together.
type engineState struct {
	pool  string
	zones map[ident.ZoneID]*stageState
}

func (e *engineState) in(zone ident.ZoneID) *stageState {
	one := e.zones[zone]
	if one == nil {
		one = &stageState{}
		e.zones[zone] = one
	}
	return one
}

func (e *engineState) ejected() bool {
	for _, one := range e.zones {
		if one.stage == Ejected || one.stage == Trial || one.stage == Throttled {
			return true
		}
	}
	return false
}
