// Package budget limits retries to a share of first attempts.
package budget

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cresspond/cresspond/clock"
)

// Budget is a token bucket that first attempts fill and retries drain. Beside it a slow limiter lets some retries through,
// so that a record that never ran does not wait for ever where no first attempts come. It belongs to one actor.
type Budget struct {
	ratio, capacity, tokens float64
	trickle                 *rate.Limiter
	FirstAttempts, Retries  uint64
	Denied                  uint64
}

// tricklePerSecond is how many retries a second the trickle allows.
const tricklePerSecond = 0.2

// New makes a budget with a few tokens, so that an idle daemon may retry at all. ratio is tokens per first attempt.
func New(ratio float64) *Budget {
	return &Budget{ratio: ratio, capacity: 10, tokens: 2, trickle: rate.NewLimiter(tricklePerSecond, 1)}
}

// SetRatio takes over the ratio of a new configuration; zero switches retries off.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// First counts a first attempt.
func (b *Budget) First() {
	b.FirstAttempts++
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// Retry takes a token for one retry; false means that the budget is spent.
func (b *Budget) Retry(now clock.Mark) bool {
	switch {
	case b.ratio == 0:
		// A ratio of zero switches retries off, whatever is left in the bucket.
	case b.tokens >= 1:
		b.tokens--
		b.Retries++
		return true
	case b.trickle.AllowN(time.Unix(0, int64(now)), 1):
		b.Retries++
		return true
	}
	b.Denied++
	return false
}
