package registry

import (
	"container/list"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Core is what one daemon knows of the engines that register themselves. It decides from what it is told and
// the moments given along alone.
//
// What two daemons know of an engine is joined so that order does not matter: of two words the higher call-seq
// counts, silence holds up to a call-seq, and leaving and being gone never end.
type Core struct {
	incarnation     string
	control         bool
	heartbeatPeriod time.Duration

	// changes counts what happened here; newest is the number of the last change that all are told of.
	// urgent is the newest that must not wait for others.
	// solid is the newest that tells of anything but loads.
	lastChange, latestChange, latestUrgentChange, latestNonLoadChange uint64
	engines                                                           map[ident.EngineID]*engineState
	byAddress                                                         map[string][]ident.EngineID
	// byChange lists the engines by their last change, byBeat by that or their last beat here, byUrgency by the
	// last change that must not wait.
	byChange, byHeartbeat, byUrgentChange *list.List

	departures     map[ident.EngineID]departure
	departureOrder *list.List

	cursors map[string]Cursor
	missing map[string]map[ident.EngineID]missingVersion

	// listening is since when beats could be heard here without a break.
	receivingSince, lastTick clock.Mark

	view  *View
	dirty map[ident.EngineID]bool
}

// NewCore makes the core of one life of a daemon; control says that engines beat to it.
func NewCore(life string, control bool, period time.Duration, now clock.Mark) *Core {
	return &Core{
		incarnation: life, control: control, heartbeatPeriod: period, engines: map[ident.EngineID]*engineState{}, byAddress: map[string][]ident.EngineID{},
		byChange: list.New(), byHeartbeat: list.New(), byUrgentChange: list.New(), departures: map[ident.EngineID]departure{}, departureOrder: list.New(),
		cursors: map[string]Cursor{}, missing: map[string]map[ident.EngineID]missingVersion{}, receivingSince: now, lastTick: now,
		view: &View{Engines: map[ident.EngineID]*Engine{}, Pools: map[string][]*Engine{}}, dirty: map[ident.EngineID]bool{},
	}
}

// entry finds an engine, or makes one of which nothing is known yet.
func (c *Core) findOrCreate(now clock.Mark, id ident.EngineID) *engineState {
	if state := c.engines[id]; state != nil {
		return state
	}
	state := &engineState{registration: Registration{ID: id}, firstSeen: now, lastHeartbeat: now}
	departed, left := c.departures[id]
	state.draining, state.deregistered = left, departed.deregistered
	state.changeElement, state.heartbeatElement, state.urgentElement = c.byChange.PushBack(state), c.byHeartbeat.PushBack(state), c.byUrgentChange.PushBack(state)
	c.engines[id] = state
	c.recordUrgentChange(state)
	return state
}

func (c *Core) reindexAddress(id ident.EngineID, from, to string) {
	if from != "" {
		c.byAddress[from] = slices.DeleteFunc(c.byAddress[from], func(other ident.EngineID) bool { return other == id })
		if len(c.byAddress[from]) == 0 {
			delete(c.byAddress, from)
		}
	}
	if to != "" {
		c.byAddress[to] = append(c.byAddress[to], id)
	}
}

func (c *Core) remove(state *engineState) {
	c.reindexAddress(state.registration.ID, state.registration.Address, "")
	c.byChange.Remove(state.changeElement)
	c.byHeartbeat.Remove(state.heartbeatElement)
	c.byUrgentChange.Remove(state.urgentElement)
	delete(c.engines, state.registration.ID)
	c.dirty[state.registration.ID] = true
}
