package statemachine

import (
	"github.com/cresspond/cresspond/ident"
)

// Told is what a planner of pools tells the group before its orders leave.
type Announcement struct {
	// Orders is, by engine, how many orders it must show to have taken before its reports tell of these.
	Orders map[ident.EngineID]uint64 `json:"orders,omitempty"`
	// Loads is how many of the orders may fetch weights from the store.
	Loads int `json:"loads,omitempty"`
	// KeepMs is for how long a load counts, and an order may be missing from reports.
	KeepMs int64 `json:"keepMs,omitempty"`
}

// History is what the planners of pools have told: it goes on from claim to claim.
type AnnouncedOrders struct {
	// Since is when the first of it was told: of what was before nothing is known.
	Since  ident.GroupTime                   `json:"since"`
	Orders map[ident.EngineID]AnnouncedOrder `json:"orders,omitempty"`
	Loads  []AnnouncedLoads                  `json:"loads,omitempty"`
}

// ToldOrder is the newest order told of for one engine.
type AnnouncedOrder struct {
	Taken uint64          `json:"taken"`
	At    ident.GroupTime `json:"at"`
}

// ToldLoads is a number of loads told of at one moment.
type AnnouncedLoads struct {
	At    ident.GroupTime `json:"at"`
	Count int             `json:"count"`
}

// add takes in what was told, and forgets what no longer counts. What comes twice only counts for more.
func (h *AnnouncedOrders) add(now ident.GroupTime, told Announcement) *AnnouncedOrders {
	next := &AnnouncedOrders{Since: now, Orders: map[ident.EngineID]AnnouncedOrder{}}
	kept := now - ident.GroupTime(told.KeepMs)
	if h != nil {
		next.Since = h.Since
		for engine, order := range h.Orders {
			if order.At > kept {
				next.Orders[engine] = order
			}
		}
		for _, loads := range h.Loads {
			if loads.At > kept {
				next.Loads = append(next.Loads, loads)
			}
		}
	}
	for engine, taken := range told.Orders {
		next.Orders[engine] = AnnouncedOrder{Taken: max(taken, next.Orders[engine].Taken), At: now}
	}
	if told.Loads > 0 {
		next.Loads = append(next.Loads, AnnouncedLoads{At: now, Count: told.Loads})
	}
	return next
}
