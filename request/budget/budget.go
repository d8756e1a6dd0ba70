// Package budget keeps retries a modest share of first attempts.
package budget

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cresspond/cresspond/clock"
)

// Budget is a token bucket that first attempts fill and retries empty, with a trickle beside it, so that a
// record that never ran is not kept waiting for good where no first attempts come. It belongs to one actor.
type Budget struct {
	share, most, tokens    float64
	trickle                *rate.Limiter
	FirstAttempts, Retries uint64
	Denied                 uint64
}

// tricklePerSecond is how many retries a second the trickle allows.
const tricklePerSecond = 0.2

// New makes a budget; a few tokens are there at first, so that a quiet daemon may retry at all.
func New(share float64) *Budget {
	return &Budget{share: share, most: 10, tokens: 2, trickle: rate.NewLimiter(tricklePerSecond, 1)}
}

// SetShare takes up the share of a new spec.
func (b *Budget) SetShare(share float64) { b.share = share }

// First notes a first attempt.
func (b *Budget) First() {
	b.FirstAttempts++
	b.tokens = min(b.most, b.tokens+b.share)
}

// Retry asks for one retry.
func (b *Budget) Retry(now clock.Mark) bool {
	switch {
	case b.share == 0:
		// A share of nothing switches retries off, whatever is left in the bucket.
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
