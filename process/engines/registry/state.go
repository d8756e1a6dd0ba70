package registry

import (
	"container/list"

	"github.com/cresspond/cresspond/clock"
)

// engineState is one engine. Its parts carry the number of their last change, so that a peer is sent only what it does
// not have.
type engineState struct {
	registration Registration
	// registered is false for an engine of which only the draining is known; its registration then holds only the id.
	registered         bool
	registrationDigest uint64
	lastHeartbeat      clock.Mark
	firstSeen          clock.Mark
	// slowStartEnd is the end of its slow start as it was last published.
	slowStartEnd clock.Mark

	// The three flags are merged by rules of their own; see the package comment.
	draining, timedOut, deregistered bool

	plan       *Plan
	planDigest uint64
	// plannedHere says that its plan comes from the planner in this daemon, and not from a peer.
	plannedHere bool

	// The number of the last change of the registration, of the plan without its load figures, and of anything but load
	// figures.
	registrationChange, planChange, nonLoadChange uint64
	sameZoneLoad, otherZoneLoad                   loadPublication

	// The number of the last change of any kind, of that or the last heartbeat received here, and of the last urgent
	// change. The core's three lists are ordered by them.
	lastChange, lastChangeOrHeartbeat, lastUrgentChange uint64
	// lastLocalHeartbeat is the number of the last heartbeat received here.
	lastLocalHeartbeat                             uint64
	changeElement, heartbeatElement, urgentElement *list.Element
}

// loadPublication is when load figures were last published to the peers of some zones.
type loadPublication struct {
	// change is the number of the change by which they were published.
	change    uint64
	published clock.Mark
	// pending says that newer figures are held back until the interval is over.
	pending bool
}

// load gives the publication for peers of the engine's own zone, or of others.
func (s *engineState) load(sameZone bool) loadPublication {
	if sameZone {
		return s.sameZoneLoad
	}
	return s.otherZoneLoad
}

// departure is what is known of an id that is draining or deregistered; it outlives the engine's state.
type departure struct {
	// committed says that the consensus group has committed the draining.
	deregistered, committed bool
	// since is when this daemon learned of it: of the commit, once there is one.
	since clock.Mark
}
