package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

func (c *Core) enqueue(record *Record) bool {
	limits := c.world.Table.Configuration.Limits
	full := c.queuedCount >= limits.MaxPending || c.queuedBytes+int64(record.Bytes) > limits.MaxPendingBytes ||
		record.MaxQueued > 0 && c.queuedByRoute[record.Route] >= record.MaxQueued
	if full && !c.giveWay(record) {
		c.refuse(record, 429, "too much is held already", c.retryAfter())
		return false
	}
	// One stamp for the queueing, and one for each attempt after the first.
	if len(record.Stamps) <= record.Attempts {
		stamp, answer := c.world.Mint()
		// Queueing needs a lease on a worker id: without a stamp a replay could not be told from a fresh attempt.
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

// giveWay makes room for a higher bid by refusing the lowest one queued, if that one is lower.
func (c *Core) giveWay(record *Record) bool {
	if record.MaxQueued > 0 && c.queuedByRoute[record.Route] >= record.MaxQueued {
		return false
	}
	var lowest *Record
	for _, queued := range c.records {
		if queued.stage != Queued || queued.assigned != "" || c.assignments[queued.Session] != nil && queued.Session != "" || queued.Bytes < record.Bytes {
			continue
		}
		if lowest == nil || queued.Worth < lowest.Worth || queued.Worth == lowest.Worth && (queued.Rank > lowest.Rank || queued.Rank == lowest.Rank && queued.ID > lowest.ID) {
			lowest = queued
		}
	}
	if lowest == nil || lowest.Worth >= record.Worth {
		return false
	}
	c.refuse(lowest, 429, "a higher bid took its place", c.retryAfter())
	return true
}

// retryAfter says when room is likely: the longer the queue, the later.
func (c *Core) retryAfter() time.Duration {
	return time.Second + time.Duration(min(c.queuedCount, 500))*20*time.Millisecond
}

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

// passLate refuses what waited past its deadline.
func (c *Core) passLate() {
	var late []*Record
	for _, record := range c.records {
		// One with hardly any time left would most likely run and be cut off: its refusal is at least certain.
		least := min(leastLeft, record.Deadline.Since(record.Arrived)/8)
		if record.stage == Queued && record.Deadline.Since(c.world.Now) <= least {
			late = append(late, record)
		}
	}
	// A seed replays only if no effect follows a map's order.
	for _, record := range inOrder(late) {
		c.refuse(record, 503, "no room was found before the deadline", c.retryAfter())
	}
}

func inOrder(records []*Record) []*Record {
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// passHopeless refuses at once what nothing can serve before its deadline: what it asks for stands nowhere,
// and the plan is not likely to load it in time. A session with an assignment waits to be reassigned.
func (c *Core) passHopeless() {
	if len(c.world.Lacks) == 0 || c.world.Table == nil {
		return
	}
	var hopeless []*Record
	for _, record := range c.records {
		if record.stage == Queued && record.assigned == "" && c.hopeless(record) {
			hopeless = append(hopeless, record)
		}
	}
	for _, record := range inOrder(hopeless) {
		c.refuse(record, 503, "what it asks for is not likely to be loaded before the deadline", c.waitFor(record))
		c.Counters.Hopeless++
	}
}

// waitFor is how long what a record asks for is likely to be lacking.
func (c *Core) waitFor(record *Record) time.Duration {
	return min(maxRetryAfter, max(time.Second, c.world.Lacks[Wanted{record.Model, ""}], c.world.Lacks[Wanted{record.Model, record.Adapter}]))
}

func (c *Core) hopeless(record *Record) bool {
	left := record.Deadline.Since(c.world.Now)
	if c.world.Lacks[Wanted{record.Model, ""}] <= left && c.world.Lacks[Wanted{record.Model, record.Adapter}] <= left {
		return false
	}
	for _, engine := range c.world.Engines.Engines {
		if c.fit(engine, record) {
			return false
		}
	}
	return true
}
