package quota

import (
	"math"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// bucket is a token bucket that may be overdrawn. rate.Limiter of golang.org/x/time isn't used: it can be overdrawn
// only by reservations of at most its burst, and takes out whole tokens only.
type bucket struct {
	limit     Limit
	level     float64
	capacity  float64
	lowest    float64
	updatedAt clock.Mark
}

// configure puts a limit in force: its rate and its capacity at once, the level capped.
func (b *bucket) configure(limit Limit, settings Settings) {
	b.limit = limit
	b.capacity = settings.capacity(limit)
	b.lowest = settings.lowestLevel(limit)
	b.charge(0)
}

// accrue adds the tokens since the last call, less what is reserved in that time.
func (b *bucket) accrue(reserved float64, now clock.Mark) {
	elapsed := now.Since(b.updatedAt)
	b.updatedAt = now
	b.charge(reserved - b.limit.RatePerSecond*elapsed.Seconds())
}

// charge takes an amount out, or adds a negative one, within the bucket's bounds.
func (b *bucket) charge(amount float64) {
	b.level = min(b.capacity, max(b.lowest, b.level-amount))
}

// grant takes out tokens for those that wait, and prefetched ones from at most half of what is then left, so that one
// daemon doesn't take the last tokens ahead of need.
func (b *bucket) grant(waiting, prefetch int) int {
	available := max(0, int(math.Floor(b.level)))
	count := min(waiting, available)
	count += min(prefetch, (available-count)/2)
	b.level -= float64(count)
	return count
}

// accrualTime is how long it takes until a number of tokens has accrued.
func (b *bucket) accrualTime(tokens float64) time.Duration {
	return time.Duration(tokens / b.limit.RatePerSecond * float64(time.Second))
}
