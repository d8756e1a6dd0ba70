package statemachine

import "github.com/cresspond/cresspond/ident"

// Announcement is what a planner of pools announces to the group before its orders leave, so that its successor knows of
// orders which no engine has reported yet.
type Announcement struct {
	// Orders is, by engine, how many orders its report must show as accepted before it reflects these.
	Orders map[ident.EngineID]uint64 `json:"orders,omitempty"`
	// Loads is how many of the orders may fetch weights from the store.
	Loads int `json:"loads,omitempty"`
	// KeepMs is for how long a load counts, and an order may be missing from reports.
	KeepMs int64 `json:"keepMs,omitempty"`
}

// AnnouncedOrders is what the planners of pools announced. It passes from one lease to the next.
type AnnouncedOrders struct {
	// Since is when the first of it was announced; nothing is known of what was before.
	Since  ident.GroupTime                   `json:"since"`
	Orders map[ident.EngineID]AnnouncedOrder `json:"orders,omitempty"`
	Loads  []AnnouncedLoads                  `json:"loads,omitempty"`
}

// AnnouncedOrder is the newest announced order for one engine.
type AnnouncedOrder struct {
	// Accepted is how many orders the engine's report must show as accepted.
	Accepted uint64          `json:"taken"`
	At       ident.GroupTime `json:"at"`
}

// AnnouncedLoads is a number of loads announced at one moment.
type AnnouncedLoads struct {
	At    ident.GroupTime `json:"at"`
	Count int             `json:"count"`
}

// add gives the orders with an announcement added, and without those that no longer count. The receiver, which may be
// nil, stays as it is. A retried announcement makes the planner count more loads, never fewer.
func (o *AnnouncedOrders) add(now ident.GroupTime, announcement Announcement) *AnnouncedOrders {
	next := &AnnouncedOrders{Since: now, Orders: map[ident.EngineID]AnnouncedOrder{}}
	horizon := now - ident.GroupTime(announcement.KeepMs)
	if o != nil {
		next.Since = o.Since
		for engine, order := range o.Orders {
			if order.At > horizon {
				next.Orders[engine] = order
			}
		}
		for _, loads := range o.Loads {
			if loads.At > horizon {
				next.Loads = append(next.Loads, loads)
			}
		}
	}
	for engine, accepted := range announcement.Orders {
		next.Orders[engine] = AnnouncedOrder{Accepted: max(accepted, next.Orders[engine].Accepted), At: now}
	}
	if announcement.Loads > 0 {
		next.Loads = append(next.Loads, AnnouncedLoads{At: now, Count: announcement.Loads})
	}
	return next
}
