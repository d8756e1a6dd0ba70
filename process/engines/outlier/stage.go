package outlier

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Stage is where an engine stands with the daemons of a zone, or with all.
type Stage uint8

const (
	// Healthy: it gets what is its due.
	Healthy Stage = iota
	// Ejected: it gets only what no other can take.
	Ejected
	// Trial: it gets a small share, until enough has gone well.
	Trial
	// Ramp: its share doubles with each step, so that no burst meets cold caches and an engine barely well.
	SlowStart
	// Slowed: it is late and no more than that. Its share is halved with each alarm and doubles again while there is
	// none: where it is slow it gets what it can do, and where it only had too much no harm is done.
	Throttled
)

func (s Stage) String() string {
	return [...]string{"sound", "ejected", "trial", "ramp", "slowed"}[s]
}

// transitions lists the transitions from each stage to the next.
var transitions = map[Stage][]Stage{Healthy: {Ejected, Throttled}, Ejected: {Trial}, Trial: {Ejected, SlowStart}, SlowStart: {Ejected, Throttled, Healthy}, Throttled: {Ejected, Throttled, Healthy}}

// standing is an engine seen from one zone, or from all.
type stageState struct {
	stage Stage
	since clock.Mark
	// score is Page's cumulative sum: the logarithm of how much likelier what was seen since it was last zero is
	// with a failing engine than with a healthy one.
	score float64
	// late is the same of what came too late at an engine that has much to do.
	lateScore    float64
	ejectionTime time.Duration
	// cut is the share of a slowed one.
	throttledFraction float64
	// passes counts what went well on trial.
	passes int
	// wrong, lates and all are what was seen lately.
	failed, lateCount, attempts decaying
}

// move is the one function that changes a stage.
func (s *stageState) moveTo(to Stage, now clock.Mark) {
	if !slices.Contains(transitions[s.stage], to) {
		panic("broken invariant: an engine may not go from " + s.stage.String() + " to " + to.String())
	}
	s.stage, s.since, s.passes = to, now, 0
}

// observed is one engine; the standing of the empty zone is with all.
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
