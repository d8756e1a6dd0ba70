package dispatch

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/priority"
)

// passBids lets waiting records bid, the highest first, and sends those for whom there is room.
func (c *Core) passBids() {
	if c.world.Table == nil {
		return
	}
	var waiting []*Record
	for _, record := range c.records {
		if record.stage == Admitted || record.stage == Queued {
			waiting = append(waiting, record)
		}
	}
	// Among equal bids the tenant that was served least goes first; its turn is counted as each is sent.
	for len(waiting) > 0 {
		slices.SortFunc(waiting, c.compareBids)
		sentHouse := false
		for place, record := range waiting {
			if c.tryToSend(record) {
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
		if record.stage == Admitted && c.records[record.ID] != nil {
			c.enqueue(record)
		}
	}
}

// compareBids puts the record that goes first in front.
func (c *Core) compareBids(a, b *Record) int {
	return cmp.Or(c.turns.Compare(c.bidOf(a), c.bidOf(b)), cmp.Compare(a.ID, b.ID))
}

func (c *Core) bidOf(r *Record) priority.Key {
	assigned := r.Session != "" && (c.assignments[r.Session] != nil || r.assigned != "")
	return priority.Key{Assigned: assigned, Value: r.Worth, Rank: r.Rank, Tenant: r.Tenant}
}

// tryToSend sends a record if there is room for it now.
func (c *Core) tryToSend(record *Record) bool {
	if c.world.Now < record.notBefore {
		return false
	}
	if !c.world.Table.Allows(record.Route, record.Model, record.Adapter) {
		// A newer spec took the route away while the record waited.
		c.refuse(record, 403, "the spec in force no longer allows this", 0)
		return true
	}
	if !c.findAssignment(record) {
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
	c.dequeue(record)
	record.move(Attempting)
	record.Engine = picked.ID
	record.Attempts++
	if record.Attempts == 1 && !record.counted {
		// An attempt that was withdrawn and is made again is still the first one.
		record.counted = true
		c.Budget.First()
	}
	c.Counters.Sent++
	c.run(picked.ID, 1)
	c.countTurn(record.Tenant)
	if record.Session != "" {
		c.assign(record, picked.ID)
	}
	if record.Prefix != "" && len(c.prefixes) < maxPrefixes {
		c.prefixes[record.Model+"\x00"+record.Prefix] = picked.ID
	}
	c.out.Sends = append(c.out.Sends, Send{ID: record.ID, Engine: picked.ID, Address: picked.Address, Zone: picked.Zone,
		Stamped: len(record.Stamps) > 0, Deadline: record.Deadline, Assigned: record.assigned == picked.ID,
		Tenant: record.Tenant, Worth: record.Worth, Rank: record.Rank})
	return true
}

// countTurn counts a tenant's turn among those whose records wait.
func (c *Core) countTurn(tenant string) {
	c.turns.Serve(tenant, func(yield func(string) bool) {
		for _, record := range c.records {
			if (record.stage == Queued || record.stage == Admitted) && !yield(record.Tenant) {
				return
			}
		}
	})
}
