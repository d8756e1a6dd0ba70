package registry

import (
	"container/list"

	"github.com/cresspond/cresspond/clock"
)

// entry is one engine. Its parts carry the number of their last change, so that a peer is sent only what it lacks.
type engineState struct {
	registration Registration
	// worded is false for an engine of which only its leaving is known.
	registered                     bool
	registrationDigest             uint64
	lastHeartbeat, firstSeen       clock.Mark
	draining                       bool
	timedOut, deregistered         bool
	plan                           *Plan
	planDigest                     uint64
	registrationChange, planChange uint64
	// loadAt is when the plan's loads changed last, loadTold the moment when others were told. What came since
	// is held until it is time to tell again. farAt and farTold are the same for those of another zone, and
	// solid is the last change of anything but loads.
	sameZoneLoadChange, otherZoneLoadChange, nonLoadChange uint64
	sameZoneLoadPublished, otherZoneLoadPublished          clock.Mark
	sameZoneLoadPending, otherZoneLoadPending              bool
	// planned says that its plan is of the planner here.
	plannedHere bool
	// changed, beaten and urgent number its last change, that or its last beat here, and the last that must not wait;
	// heardAt its last beat here alone.
	lastChange, lastChangeOrHeartbeat, lastUrgentChange uint64
	lastLocalHeartbeat                                  uint64
	changeElement, heartbeatElement, urgentElement      *list.Element
	// coldTo is the end of its slow start, as all were last told.
	slowStartEnd clock.Mark
}

// departure is what is known of an id that left.
type departure struct {
	deregistered, committed bool
	since                   clock.Mark
}

// loadsAt is when those of the engine's zone, or of others, were last told of its loads.
func (e *engineState) loadChange(near bool) uint64 {
	if near {
		return e.sameZoneLoadChange
	}
	return e.otherZoneLoadChange
}
