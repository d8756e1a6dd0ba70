package forwarding

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// enqueue queues a request until an engine can take it, or ends it if none is expected to in time.
func (c *Core) enqueue(request *Request, env Environment, blocked blockReason) {
	if c.shuttingDown {
		c.finish(request, env, CauseShuttingDown, minRetryAfter)
		return
	}
	if wait, giveUp := c.shouldGiveUp(request, env, blocked); giveUp {
		if blocked == blockedNoModel && wait <= request.Deadline.Since(env.Now)/retryAfterDivisor {
			// The planner must count the request until the client has retried.
			c.demandState(request).expectReturn(env.Now + clock.Mark(wait))
		}
		c.finish(request, env, CauseNoCapacity, wait)
		return
	}
	if request.stage == StageQueued {
		return
	}
	if !c.mintID(request, env) {
		c.finish(request, env, CauseNoWorkerID, c.retryAfter(request, env))
		return
	}
	request.transition(StageQueued)
	request.queuedAt, request.queuedBecause = env.Now, blocked
	c.Counters.Queued++
	c.Counters.QueuedBy[blocked]++
	c.queue = append(c.queue, request)
	c.demandState(request).queued++
}

// dequeue takes a request out of the queue.
func (c *Core) dequeue(request *Request) {
	if index := slices.Index(c.queue, request); index >= 0 {
		c.queue = slices.Delete(c.queue, index, index+1)
		c.demandState(request).queued--
	}
}

// agingRanks is by how many ranks a request rises over all the time until its response deadline. It is queued for less
// than half of that.
const agingRanks = 8

// effectiveRank is the rank by which queued requests are ordered. It rises with waiting, so that no rank starves.
func effectiveRank(request *Request, now clock.Mark) float64 {
	duration := max(request.responseDeadline().Since(request.ArrivedAt), time.Millisecond)
	return float64(request.rank()) - agingRanks*float64(now.Since(request.ArrivedAt))/float64(duration)
}

// DispatchQueued dispatches all queued requests, those of the lowest effective rank first.
func (c *Core) DispatchQueued(env Environment) {
	if len(c.queue) == 0 {
		return
	}
	waiting := slices.Clone(c.queue)
	ranks := make(map[*Request]float64, len(waiting))
	for _, request := range waiting {
		ranks[request] = effectiveRank(request, env.Now)
	}
	slices.SortFunc(waiting, func(a, b *Request) int {
		if order := cmp.Compare(ranks[a], ranks[b]); order != 0 {
			return order
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	for _, request := range waiting {
		if request.stage == StageQueued {
			c.dispatch(request, env)
		}
	}
}

// QueueLength counts the queued requests.
func (c *Core) QueueLength() int { return len(c.queue) }

// queuedAhead counts the requests queued for the same pool that are dispatched earlier.
func (c *Core) queuedAhead(request *Request, env Environment) int {
	count, rank := 0, effectiveRank(request, env.Now)
	for _, other := range c.queue {
		if other != request && other.pool == request.pool && effectiveRank(other, env.Now) <= rank {
			count++
		}
	}
	return count
}

// maxWakeInterval bounds the time between two dispatches of the queue: the ends of loads and backoffs are not computed.
const maxWakeInterval = 50 * time.Millisecond

// NextWake is when queued requests must be dispatched again even if no event happens; false if none is queued.
func (c *Core) NextWake(now clock.Mark) (clock.Mark, bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	next := c.queue[0].responseDeadline()
	for _, request := range c.queue {
		next = min(next, request.responseDeadline()-clock.Mark(c.minAttemptTime(request)), request.ArrivedAt+clock.Mark(maxQueueTime(request)))
		if waitEnds := request.ArrivedAt + clock.Mark(initialQueueTime(request)); waitEnds > now {
			next = min(next, waitEnds)
		}
	}
	// Ends of loads and backoffs are not among these times, hence the upper bound.
	return max(min(next, now+clock.Mark(maxWakeInterval)), now+clock.Mark(time.Millisecond)), true
}

// maxQueueTime is how long a request may be queued: less than half of the time until its response deadline.
func maxQueueTime(request *Request) time.Duration {
	return request.responseDeadline().Since(request.ArrivedAt) * 9 / 20
}

// initialQueueTime is how long a request is queued while nothing tells when it can be served: less than the quarter of
// its target within which a rejection does no harm.
func initialQueueTime(request *Request) time.Duration {
	return request.Path.Target() / 5
}
