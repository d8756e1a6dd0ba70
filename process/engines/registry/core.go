package registry

import (
	"container/list"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// Core is the state of one daemon's registry; see the package comment. It is pure and belongs to one goroutine.
type Core struct {
	incarnation string
	// control says that engines send heartbeats to this daemon, so that it may detect timeouts.
	control         bool
	heartbeatPeriod time.Duration

	// lastChange is the newest change number given out; the others are the newest of one kind.
	lastChange, latestChange, latestUrgentChange, latestNonLoadChange uint64

	engines   map[ident.EngineID]*engineState
	byAddress map[string][]ident.EngineID
	// The engines ordered by their last change, by their last change or heartbeat received here, and by their last urgent
	// change.
	byChange, byHeartbeat, byUrgentChange *list.List

	// departures holds the ids that are draining or deregistered, departureOrder the same, oldest first.
	departures     map[ident.EngineID]departure
	departureOrder *list.List

	// cursors is how far each peer's changes were applied, missing what its abbreviated records showed to be missing here.
	cursors map[string]Cursor
	missing map[string]map[ident.EngineID]missingVersion

	// receivingSince is since when heartbeats could be received here without a break.
	receivingSince, lastTick clock.Mark

	view *View
	// dirty holds the engines that changed since the last view.
	dirty map[ident.EngineID]bool
}

// NewCore makes the core of one incarnation of a daemon; control says that engines send their heartbeats to it.
func NewCore(incarnation string, control bool, heartbeatPeriod time.Duration, now clock.Mark) *Core {
	return &Core{
		incarnation: incarnation, control: control, heartbeatPeriod: heartbeatPeriod,
		engines: map[ident.EngineID]*engineState{}, byAddress: map[string][]ident.EngineID{},
		byChange: list.New(), byHeartbeat: list.New(), byUrgentChange: list.New(),
		departures: map[ident.EngineID]departure{}, departureOrder: list.New(),
		cursors: map[string]Cursor{}, missing: map[string]map[ident.EngineID]missingVersion{},
		receivingSince: now, lastTick: now,
		view: &View{Engines: map[ident.EngineID]*Engine{}, Pools: map[string][]*Engine{}}, dirty: map[ident.EngineID]bool{},
	}
}

// findOrCreate gives an engine's state, or makes one of which nothing but an earlier departure is known.
func (c *Core) findOrCreate(now clock.Mark, id ident.EngineID) *engineState {
	if state := c.engines[id]; state != nil {
		return state
	}
	state := &engineState{registration: Registration{ID: id}, firstSeen: now, lastHeartbeat: now}
	departed, known := c.departures[id]
	state.draining, state.deregistered = known, departed.deregistered
	state.changeElement = c.byChange.PushBack(state)
	state.heartbeatElement = c.byHeartbeat.PushBack(state)
	state.urgentElement = c.byUrgentChange.PushBack(state)
	c.engines[id] = state
	c.recordUrgentChange(state)
	return state
}

// remove forgets an engine. Its departure stays known, so that the id does not return.
func (c *Core) remove(state *engineState) {
	c.reindexAddress(state.registration.ID, state.registration.Address, "")
	c.byChange.Remove(state.changeElement)
	c.byHeartbeat.Remove(state.heartbeatElement)
	c.byUrgentChange.Remove(state.urgentElement)
	delete(c.engines, state.registration.ID)
	c.dirty[state.registration.ID] = true
}

// reindexAddress moves an engine in the index by address; an empty address is none.
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
