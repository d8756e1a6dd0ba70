package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// retryBudget bounds one pool's retries to a share of its first sends in a sliding window. Both are kept as ascending
// times.
type retryBudget struct {
	firstSends, retries []clock.Mark
}

// prune drops the times that have left the window.
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

// recordFirstSend counts a first send when its attempt has ended; attempts end in another order than they were sent in.
func (b *retryBudget) recordFirstSend(sent, now clock.Mark, duration time.Duration) {
	index, _ := slices.BinarySearch(b.firstSends, sent)
	b.firstSends = prune(slices.Insert(b.firstSends, index, sent), now, duration)
}

// allowsRetry reports whether one more retry may be sent now. The share then holds in every window that ends now or
// later, since retries leave the window no sooner than the first sends beside them. RetrySlack is divided among the
// routers.
func (b *retryBudget) allowsRetry(now clock.Mark, settings Settings, routers int) bool {
	b.firstSends, b.retries = prune(b.firstSends, now, settings.RetryWindow), prune(b.retries, now, settings.RetryWindow)
	slack := settings.RetrySlack / float64(max(routers, 1))
	return float64(len(b.retries)+1) <= settings.RetryUtilization*(settings.RetryRatio*float64(len(b.firstSends))+slack)
}

// recordRetry counts a retry as it is sent.
func (b *retryBudget) recordRetry(now clock.Mark) { b.retries = append(b.retries, now) }

// retryBudget gives a pool's budget.
func (c *Core) retryBudget(pool string) *retryBudget {
	if c.retryBudgets[pool] == nil {
		c.retryBudgets[pool] = &retryBudget{}
	}
	return c.retryBudgets[pool]
}
