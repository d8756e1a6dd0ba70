package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// window counts one pool's first sends and further ones over a sliding span, and bounds the latter.
type retryBudget struct {
	firstSends, retries []clock.Mark
}

// prune forgets what is older than the span.
func prune(times []clock.Mark, now clock.Mark, duration time.Duration) []clock.Mark {
	expired := 0
	for expired < len(times) && now.Since(times[expired]) > duration {
		expired++
	}
	if expired == 0 {
		return times
	}
	return append(times[:0], times[expired:]...)
}

// first notes a first send, once it has ended; they end in another order than they were sent in.
func (b *retryBudget) recordFirstSend(sent, now clock.Mark, duration time.Duration) {
	index, _ := slices.BinarySearch(b.firstSends, sent)
	b.firstSends = prune(slices.Insert(b.firstSends, index, sent), now, duration)
}

// allows says whether one more may go now: in every span that ends now or later the share holds, since
// those that are counted leave the window no sooner than the first sends beside them.
func (b *retryBudget) allowsRetry(now clock.Mark, settings Settings, edges int) bool {
	b.firstSends, b.retries = prune(b.firstSends, now, settings.RetryWindow), prune(b.retries, now, settings.RetryWindow)
	slack := settings.RetrySlack / float64(max(edges, 1))
	return float64(len(b.retries)+1) <= settings.RetryUtilization*(settings.RetryRatio*float64(len(b.firstSends))+slack)
}

// again notes a further send.
func (b *retryBudget) recordRetry(now clock.Mark) { b.retries = append(b.retries, now) }

func (c *Core) retryBudget(pool string) *retryBudget {
	if c.retryBudgets[pool] == nil {
		c.retryBudgets[pool] = &retryBudget{}
	}
	return c.retryBudgets[pool]
}
