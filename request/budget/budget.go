// Package budget keeps retries a modest share of first goes.
package budget

// Budget is a bucket that first goes fill and further goes empty. It belongs to one actor.
type Budget struct {
	share, most, tokens float64
	FirstGoes, Retries  uint64
	Denied              uint64
}

// New makes a budget; a few tokens are there at first, so that a quiet daemon may retry at all.
func New(share float64) *Budget { return &Budget{share: share, most: 10, tokens: 2} }

// SetShare takes up the share of a new spec.
func (b *Budget) SetShare(share float64) { b.share = share }

// First notes a first go.
func (b *Budget) First() {
	b.FirstGoes++
	b.tokens = min(b.most, b.tokens+b.share)
}

// Retry asks for one more go.
func (b *Budget) Retry() bool {
	// A share of nothing switches retries off, whatever is left in the bucket.
	if b.tokens < 1 || b.share == 0 {
		b.Denied++
		return false
	}
	b.tokens--
	b.Retries++
	return true
}
