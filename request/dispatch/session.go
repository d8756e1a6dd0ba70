package dispatch

import (
	"github.com/cresspond/cresspond/process/ident"
)

// findSeat makes sure that the session's seat, if it has one anywhere, is known.
func (c *Core) findSeat(record *Record) bool {
	if record.Session == "" {
		return true
	}
	replaces := ident.EngineID("")
	if seat := c.seats[record.Session]; seat != nil && !record.seatAsked {
		record.seatOf = seat.Engine
		known := c.world.Engines.Engines[seat.Engine]
		if !c.world.ShareSeats || known != nil && c.fit(known, record) {
			record.seatKnown = true
			return true
		}
		// The seat is lost; but another daemon may have given the session a new one since, so its home is asked.
		record.seatKnown, replaces = false, seat.Engine
	}
	if !record.seatKnown && !record.seatAsked {
		// The home hears at once which engine would be taken, so that asking and taking are one act.
		if wished, ok := c.pick(record); ok {
			record.seatAsked = true
			c.out.AskSeats = append(c.out.AskSeats, AskSeat{ID: record.ID, Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: wished.ID, Replaces: replaces})
		}
	}
	return record.seatKnown
}

func (c *Core) takeSeat(record *Record, engine ident.EngineID) {
	seat := c.seats[record.Session]
	if seat == nil {
		seat = &Seat{Engine: engine}
		c.seats[record.Session] = seat
	}
	if seat.Engine != engine || record.seatOf != engine {
		replaces := record.seatOf
		if replaces != "" && replaces != engine {
			c.Counters.Reseated++
		}
		seat.Engine = engine
		if c.world.ShareSeats {
			c.out.AskSeats = append(c.out.AskSeats, AskSeat{Session: record.Session, Model: record.Model, Adapter: record.Adapter, Engine: engine, Replaces: replaces})
		}
	}
	seat.Model, seat.Adapter, seat.Used = record.Model, record.Adapter, c.world.Now
	seat.Running++
}
