package dispatch

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/request/bid"
)

// passBids lets waiting records bid, the highest first, and sends those for whom there is room.
func (c *Core) passBids() {
	if c.world.Table == nil {
		return
	}
	var waiting []*Record
	for _, record := range c.records {
		if record.stage == LetIn || record.stage == Held {
			waiting = append(waiting, record)
		}
	}
	// Among equal bids the house that was served least goes first; its turn is counted as each is sent.
	for len(waiting) > 0 {
		slices.SortFunc(waiting, c.compareBids)
		sentHouse := false
		for place, record := range waiting {
			if c.try(record) {
				waiting = slices.Delete(waiting, place, place+1)
				sentHouse = true
				break
			}
		}
		if !sentHouse {
			break
		}
	}
	for _, record := range waiting {
		if record.stage == LetIn && c.records[record.ID] != nil {
			c.hold(record)
		}
	}
}

// compareBids puts the record that goes first in front.
func (c *Core) compareBids(a, b *Record) int {
	return cmp.Or(c.turns.Compare(c.bidOf(a), c.bidOf(b)), cmp.Compare(a.ID, b.ID))
}

func (c *Core) bidOf(r *Record) bid.Bid {
	seated := r.Session != "" && (c.seats[r.Session] != nil || r.seatOf != "")
	return bid.Bid{Seated: seated, Worth: r.Worth, Rank: r.Rank, House: r.House}
}

// try sends a record if there is room for it now.
func (c *Core) try(record *Record) bool {
	if c.world.Now < record.notBefore {
		return false
	}
	if !c.world.Table.Allows(record.Route, record.Model, record.Adapter) {
		// A newer spec took the route away while the record waited.
		c.refuse(record, 403, "the spec in force no longer allows this", 0)
		return true
	}
	if !c.findSeat(record) {
		return false
	}
	picked, ok := c.pick(record)
	if !ok {
		return false
	}
	if record.needsToken {
		if !c.Budget.Retry(c.world.Now) {
			record.notBefore = c.world.Now + clock.Mark(refusalRest)
			return false
		}
		record.needsToken = false
	}
	c.unhold(record)
	record.move(Going)
	record.Engine = picked.ID
	record.Goes++
	if record.Goes == 1 && !record.counted {
		// A go that was held back and comes again is still the first one.
		record.counted = true
		c.Budget.First()
	}
	c.Counters.Sent++
	c.run(picked.ID, 1)
	c.serveTurn(record.House)
	if record.Session != "" {
		c.takeSeat(record, picked.ID)
	}
	if record.Prefix != "" && len(c.prefixes) < mostPrefixes {
		c.prefixes[record.Model+"\x00"+record.Prefix] = picked.ID
	}
	c.out.Sends = append(c.out.Sends, Send{ID: record.ID, Engine: picked.ID, Address: picked.Address, Zone: picked.Zone,
		Stamped: len(record.Stamps) > 0, Deadline: record.Deadline, Seated: record.seatOf == picked.ID,
		House: record.House, Worth: record.Worth, Rank: record.Rank})
	return true
}

// serveTurn counts a house's turn among those whose records wait.
func (c *Core) serveTurn(house string) {
	c.turns.Serve(house, func(yield func(string) bool) {
		for _, record := range c.records {
			if (record.stage == Held || record.stage == LetIn) && !yield(record.House) {
				return
			}
		}
	})
}
