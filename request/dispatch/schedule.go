package dispatch

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/engines/priority"
)

// sendByPriority sends the waiting records that an engine has a free slot for, the highest priority first, and queues
// the rest.
func (c *Core) sendByPriority() {
	if c.world.Table == nil {
		return
	}
	var waiting []*Record
	for _, record := range c.records {
		if record.stage == Admitted || record.stage == Queued {
			waiting = append(waiting, record)
		}
	}
	// At equal priority the tenant that was served least goes first; that is counted as each is sent, so the order is worked
	// out anew.
	for len(waiting) > 0 {
		slices.SortFunc(waiting, c.compareByPriority)
		sent := false
		for position, record := range waiting {
			if c.trySend(record) {
				waiting = slices.Delete(waiting, position, position+1)
				sent = true
				break
			}
		}
		if !sent {
			break
		}
	}
	for _, record := range waiting {
		if record.stage == Admitted && c.records[record.ID] != nil {
			c.enqueue(record)
		}
	}
}

// compareByPriority puts the higher priority in front, then the earlier arrival.
func (c *Core) compareByPriority(a, b *Record) int {
	return cmp.Or(c.servedCounts.Compare(c.priorityOf(a), c.priorityOf(b)), cmp.Compare(a.ID, b.ID))
}

func (c *Core) priorityOf(r *Record) priority.Key {
	assigned := r.Session != "" && (c.assignments[r.Session] != nil || r.assigned != "")
	return priority.Key{Assigned: assigned, Value: r.Value, Rank: r.Rank, Tenant: r.Tenant}
}

// trySend sends a record if an engine has a free slot for it now. It returns true where the record has left the queue.
func (c *Core) trySend(record *Record) bool {
	if c.world.Now < record.notBefore {
		return false
	}
	if !c.world.Table.Allows(record.Route, record.Model, record.Adapter) {
		// A newer configuration removed the route while the record waited.
		c.refuse(record, 403, "the configuration in force no longer allows this", 0)
		return true
	}
	if !c.findAssignment(record) {
		return false
	}
	chosen, ok := c.chooseEngine(record)
	if !ok {
		return false
	}
	if record.needsToken {
		if !c.Budget.Retry(c.world.Now) {
			record.notBefore = c.world.Now + clock.Mark(refusalBackoff)
			return false
		}
		record.needsToken = false
	}
	c.dequeue(record)
	record.move(Attempting)
	record.Engine = chosen.ID
	record.Attempts++
	if record.Attempts == 1 && !record.countedAsFirst {
		// An attempt that was withdrawn and is made again is still the first one.
		record.countedAsFirst = true
		c.Budget.First()
	}
	c.Counters.Sent++
	c.countRunning(chosen.ID, 1)
	c.countServed(record.Tenant)
	if record.Session != "" {
		c.assign(record, chosen.ID)
	}
	if record.Prefix != "" && len(c.prefixes) < maxPrefixes {
		c.prefixes[record.Model+"\x00"+record.Prefix] = chosen.ID
	}
	c.effects.Sends = append(c.effects.Sends, Send{ID: record.ID, Engine: chosen.ID, Address: chosen.Address, Zone: chosen.Zone,
		Stamped: len(record.Stamps) > 0, Deadline: record.Deadline, Assigned: record.assigned == chosen.ID,
		Tenant: record.Tenant, Value: record.Value, Rank: record.Rank})
	return true
}

// countServed counts that a tenant was served, among those whose records wait.
func (c *Core) countServed(tenant string) {
	c.servedCounts.Serve(tenant, func(yield func(string) bool) {
		for _, record := range c.records {
			if (record.stage == Queued || record.stage == Admitted) && !yield(record.Tenant) {
				return
			}
		}
	})
}
