package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// enqueue queues a record; false means that it was refused instead.
func (c *Core) enqueue(record *Record) bool {
	limits := c.world.Table.Configuration.Limits
	full := c.queuedCount >= limits.MaxPending || c.queuedBytes+int64(record.Bytes) > limits.MaxPendingBytes ||
		record.MaxQueued > 0 && c.queuedByRoute[record.Route] >= record.MaxQueued
	if full && !c.evictLowerPriority(record) {
		c.refuse(record, 429, "too much is held already", c.retryAfter())
		return false
	}
	// One stamp for the queueing, and one for each attempt after the first.
	if len(record.Stamps) <= record.Attempts {
		stamp, answer := c.world.Mint()
		// Queueing needs a worker-id lease: without a stamp a replay could not be distinguished from a fresh attempt.
		if answer != snowflake.Generated {
			c.refuse(record, 503, "no worker id is held here, so nothing can be held", time.Second)
			return false
		}
		record.Stamps = append(record.Stamps, stamp)
	}
	record.move(Queued)
	c.queuedCount++
	c.queuedByRoute[record.Route]++
	c.queuedBytes += int64(record.Bytes)
	c.Counters.Queued++
	return true
}

// evictLowerPriority refuses the queued record of the lowest priority, if it is lower than that of the new one.
func (c *Core) evictLowerPriority(record *Record) bool {
	if record.MaxQueued > 0 && c.queuedByRoute[record.Route] >= record.MaxQueued {
		return false
	}
	var lowest *Record
	for _, queued := range c.records {
		if queued.stage != Queued || queued.assigned != "" || c.assignments[queued.Session] != nil && queued.Session != "" || queued.Bytes < record.Bytes {
			continue
		}
		if lowest == nil || queued.Value < lowest.Value || queued.Value == lowest.Value && (queued.Rank > lowest.Rank || queued.Rank == lowest.Rank && queued.ID > lowest.ID) {
			lowest = queued
		}
	}
	if lowest == nil || lowest.Value >= record.Value {
		return false
	}
	c.refuse(lowest, 429, "a higher bid took its place", c.retryAfter())
	return true
}

// retryAfter estimates when a slot is likely to be free: the longer the queue, the later.
func (c *Core) retryAfter() time.Duration {
	return time.Second + time.Duration(min(c.queuedCount, 500))*20*time.Millisecond
}

// dequeue takes a record out of the queue's counts.
func (c *Core) dequeue(record *Record) {
	if record.stage != Queued {
		return
	}
	c.queuedCount--
	c.queuedBytes -= int64(record.Bytes)
	if c.queuedByRoute[record.Route]--; c.queuedByRoute[record.Route] == 0 {
		delete(c.queuedByRoute, record.Route)
	}
}

// refuseLate refuses the queued records whose deadline is too near.
func (c *Core) refuseLate() {
	var late []*Record
	for _, record := range c.records {
		// One with hardly any time left would most likely run and be broken off: a refusal is at least certain.
		least := min(minTimeLeft, record.Deadline.Since(record.Arrived)/8)
		if record.stage == Queued && record.Deadline.Since(c.world.Now) <= least {
			late = append(late, record)
		}
	}
	// A seed replays only if no effect follows a map's order.
	for _, record := range sortedByID(late) {
		c.refuse(record, 503, "no room was found before the deadline", c.retryAfter())
	}
}

// sortedByID puts records into a fixed order.
func sortedByID(records []*Record) []*Record {
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// refuseUnplaceable refuses at once what no engine can serve before its deadline: its model is loaded nowhere, and the
// planner is not likely to load it in time. A session with an assignment waits to be reassigned.
func (c *Core) refuseUnplaceable() {
	if len(c.world.UnplacedWaits) == 0 || c.world.Table == nil {
		return
	}
	var unplaceable []*Record
	for _, record := range c.records {
		if record.stage == Queued && record.assigned == "" && c.unplaceable(record) {
			unplaceable = append(unplaceable, record)
		}
	}
	for _, record := range sortedByID(unplaceable) {
		c.refuse(record, 503, "what it asks for is not likely to be loaded before the deadline", c.unplacedWait(record))
		c.Counters.Unplaceable++
	}
}

// unplacedWait estimates for how long a record's model will not be loaded.
func (c *Core) unplacedWait(record *Record) time.Duration {
	return min(maxRetryAfter, max(time.Second, c.world.UnplacedWaits[Wanted{record.Model, ""}], c.world.UnplacedWaits[Wanted{record.Model, record.Adapter}]))
}

// unplaceable says whether no engine can serve a record before its deadline.
func (c *Core) unplaceable(record *Record) bool {
	left := record.Deadline.Since(c.world.Now)
	if c.world.UnplacedWaits[Wanted{record.Model, ""}] <= left && c.world.UnplacedWaits[Wanted{record.Model, record.Adapter}] <= left {
		return false
	}
	for _, engine := range c.world.Engines.Engines {
		if c.canServe(engine, record) {
			return false
		}
	}
	return true
}
