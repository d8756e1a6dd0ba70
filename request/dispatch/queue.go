package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/process/snowflake"
)

func (c *Core) hold(record *Record) bool {
	limits := c.world.Table.Spec.Limits
	full := c.heldCount >= limits.MostHeld || c.heldBytes+int64(record.Bytes) > limits.MostHeldBytes ||
		record.MostHeld > 0 && c.heldBy[record.Route] >= record.MostHeld
	if full && !c.giveWay(record) {
		c.refuse(record, 429, "too much is held already", c.comeBack())
		return false
	}
	// One stamp for the holding, and one for each go after the first.
	if len(record.Stamps) <= record.Goes {
		stamp, verdict := c.world.Mint()
		// Holding needs a tenure: without a stamp a replay could not be told from a fresh attempt.
		if verdict != snowflake.Minted {
			c.refuse(record, 503, "no worker id is held here, so nothing can be held", time.Second)
			return false
		}
		record.Stamps = append(record.Stamps, stamp)
	}
	record.move(Held)
	c.heldCount++
	c.heldBy[record.Route]++
	c.heldBytes += int64(record.Bytes)
	c.Counters.Held++
	return true
}

// giveWay makes room for a higher bid by refusing the lowest one held, if that one is lower.
func (c *Core) giveWay(record *Record) bool {
	if record.MostHeld > 0 && c.heldBy[record.Route] >= record.MostHeld {
		return false
	}
	var lowest *Record
	for _, held := range c.records {
		if held.stage != Held || held.seatOf != "" || c.seats[held.Session] != nil && held.Session != "" || held.Bytes < record.Bytes {
			continue
		}
		if lowest == nil || held.Worth < lowest.Worth || held.Worth == lowest.Worth && (held.Rank > lowest.Rank || held.Rank == lowest.Rank && held.ID > lowest.ID) {
			lowest = held
		}
	}
	if lowest == nil || lowest.Worth >= record.Worth {
		return false
	}
	c.refuse(lowest, 429, "a higher bid took its place", c.comeBack())
	return true
}

// comeBack says when room is likely: the longer the holding, the later.
func (c *Core) comeBack() time.Duration {
	return time.Second + time.Duration(min(c.heldCount, 500))*20*time.Millisecond
}

func (c *Core) unhold(record *Record) {
	if record.stage != Held {
		return
	}
	c.heldCount--
	c.heldBytes -= int64(record.Bytes)
	if c.heldBy[record.Route]--; c.heldBy[record.Route] == 0 {
		delete(c.heldBy, record.Route)
	}
}

// passLate refuses what waited past its deadline.
func (c *Core) passLate() {
	var late []*Record
	for _, record := range c.records {
		// One with hardly any time left would most likely run and be cut off: its refusal is at least certain.
		least := min(leastLeft, record.Deadline.Since(record.Arrived)/8)
		if record.stage == Held && record.Deadline.Since(c.world.Now) <= least {
			late = append(late, record)
		}
	}
	// A seed replays only if no effect follows a map's order.
	for _, record := range inOrder(late) {
		c.refuse(record, 503, "no room was found before the deadline", c.comeBack())
	}
}

func inOrder(records []*Record) []*Record {
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// passHopeless refuses at once what nothing can serve before its deadline: what it asks for stands nowhere,
// and the plan is not likely to load it in time. Whoever has a seat waits to be reseated.
func (c *Core) passHopeless() {
	if len(c.world.Lacks) == 0 || c.world.Table == nil {
		return
	}
	var hopeless []*Record
	for _, record := range c.records {
		if record.stage == Held && record.seatOf == "" && c.hopeless(record) {
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
	return min(longestComeBack, max(time.Second, c.world.Lacks[Wanted{record.Model, ""}], c.world.Lacks[Wanted{record.Model, record.Adapter}]))
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
