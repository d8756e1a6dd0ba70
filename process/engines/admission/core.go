package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/engines/priority"
)

const (
	// learningPeriod is how long a new owner goes by the engine's own report as well, for it doesn't know what was granted
	// before it.
	learningPeriod = 2 * time.Second
	// maxSlotDuration bounds how long a slot stays granted that nobody releases.
	maxSlotDuration = 90 * time.Second
	// maxTenants bounds the tenants that are counted for one engine; past that the counts begin anew.
	maxTenants = 1000
)

// Request is one daemon's request for a slot of an engine.
type Request struct {
	// ID is unique among all requests of the fleet; the slot is released by it.
	ID     string
	Node   ident.NodeID
	Engine ident.EngineID
	priority.Key
	// Deadline is when the requesting daemon stops waiting.
	Deadline clock.Mark
}

// View is what the core looks at in one step.
type View struct {
	Now clock.Mark
	// Capacity is how many attempts an engine may run at once now, Busy how many it last reported.
	Capacity, Busy func(ident.EngineID) int
	// ReportRequested is when the engine's newest report was requested.
	ReportRequested func(ident.EngineID) clock.Mark
	// Alive reports whether a daemon still sends heartbeats.
	Alive func(ident.NodeID) bool
}

// Decision answers the request with the same id.
type Decision struct {
	ID      string
	Granted bool
}

// grant is one slot that is granted.
type grant struct {
	node  ident.NodeID
	since clock.Mark
}

// engineSlots is one engine's slots.
type engineSlots struct {
	// granted holds the slots by the ids of their requests.
	granted map[string]grant
	waiting []Request
	// firstSeen is when this owner first got a request for the engine.
	firstSeen clock.Mark
	served    priority.ServedCounts
	// refusedAt is when the engine last refused an attempt that had a slot.
	refusedAt clock.Mark
}

// Core is the owner's state. It is pure and belongs to one goroutine.
type Core struct {
	engines map[ident.EngineID]*engineSlots
	// Granted and Denied count decisions.
	Granted, Denied uint64
}

// NewCore makes a core that has granted nothing.
func NewCore() *Core { return &Core{engines: map[ident.EngineID]*engineSlots{}} }

func (c *Core) slotsOf(now clock.Mark, id ident.EngineID) *engineSlots {
	slots := c.engines[id]
	if slots == nil {
		slots = &engineSlots{granted: map[string]grant{}, firstSeen: now, served: priority.ServedCounts{}}
		c.engines[id] = slots
	}
	return slots
}

// Acquire takes a request for a slot. Its decision is among those returned now, or by a later call.
func (c *Core) Acquire(view View, request Request) []Decision {
	slots := c.slotsOf(view.Now, request.Engine)
	slots.waiting = append(slots.waiting, request)
	return c.serve(view, request.Engine, slots)
}

// Release takes back the slot of a request, or withdraws the request if it waits; refused says that the engine refused
// the attempt. It returns decisions on other requests.
func (c *Core) Release(view View, engine ident.EngineID, id string, refused bool) []Decision {
	slots := c.slotsOf(view.Now, engine)
	if refused {
		slots.refusedAt = view.Now
	}
	delete(slots.granted, id)
	slots.waiting = slices.DeleteFunc(slots.waiting, func(request Request) bool { return request.ID == id })
	return c.serve(view, engine, slots)
}

// Tick lets time pass: it takes back the slots of daemons that are gone, and denies requests past their deadlines.
func (c *Core) Tick(view View) []Decision {
	var out []Decision
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		slots := c.engines[id]
		maps.DeleteFunc(slots.granted, func(_ string, slot grant) bool {
			return !view.Alive(slot.node) || view.Now.Since(slot.since) > maxSlotDuration
		})
		out = append(out, c.serve(view, id, slots)...)
	}
	return out
}

// serve denies the requests past their deadlines, and grants free slots to the others by priority.
func (c *Core) serve(view View, id ident.EngineID, slots *engineSlots) []Decision {
	out := c.denyLate(view.Now, slots)
	for free := slots.free(view, id); free > 0 && len(slots.waiting) > 0; free-- {
		slices.SortStableFunc(slots.waiting, func(a, b Request) int { return slots.served.Compare(a.Key, b.Key) })
		first := slots.waiting[0]
		slots.waiting = slots.waiting[1:]
		slots.granted[first.ID] = grant{first.Node, view.Now}
		slots.recordServed(first.Tenant)
		c.Granted++
		out = append(out, Decision{ID: first.ID, Granted: true})
	}
	return out
}

func (c *Core) denyLate(now clock.Mark, slots *engineSlots) (out []Decision) {
	slots.waiting = slices.DeleteFunc(slots.waiting, func(request Request) bool {
		late := now >= request.Deadline
		if late {
			c.Denied++
			out = append(out, Decision{ID: request.ID})
		}
		return late
	})
	return out
}

// free is how many slots may be granted now.
func (s *engineSlots) free(view View, id ident.EngineID) int {
	// An engine that refused has less capacity than was assumed: nothing more is sent before a later report.
	if s.refusedAt > 0 && discovery.StillRefuses(s.refusedAt, view.ReportRequested(id), view.Now) {
		return 0
	}
	free := view.Capacity(id) - len(s.granted)
	if view.Now.Since(s.firstSeen) < learningPeriod {
		free = min(free, view.Capacity(id)-view.Busy(id))
	}
	return free
}

// recordServed counts that a tenant was served.
func (s *engineSlots) recordServed(tenant string) {
	if len(s.served) > maxTenants {
		clear(s.served)
	}
	s.served.Serve(tenant, func(yield func(string) bool) {
		for _, request := range s.waiting {
			if !yield(request.Tenant) {
				return
			}
		}
	})
}
