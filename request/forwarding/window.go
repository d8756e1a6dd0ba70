package forwarding

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// window counts one pool's first sends and further ones over a sliding span, and bounds the latter.
type window struct {
	firsts, further []clock.Mark
}

// prune forgets what is older than the span.
func prune(marks []clock.Mark, now clock.Mark, span time.Duration) []clock.Mark {
	gone := 0
	for gone < len(marks) && now.Since(marks[gone]) > span {
		gone++
	}
	if gone == 0 {
		return marks
	}
	return append(marks[:0], marks[gone:]...)
}

// first notes a first send, once it has ended; they end in another order than they were sent in.
func (w *window) first(sent, now clock.Mark, span time.Duration) {
	place, _ := slices.BinarySearch(w.firsts, sent)
	w.firsts = prune(slices.Insert(w.firsts, place, sent), now, span)
}

// allows says whether one more may go now: in every span that ends now or later the share holds, since
// those that are counted leave the window no sooner than the first sends beside them.
func (w *window) allows(now clock.Mark, s Settings, edges int) bool {
	w.firsts, w.further = prune(w.firsts, now, s.RetryWindow), prune(w.further, now, s.RetryWindow)
	slack := s.RetrySlack / float64(max(edges, 1))
	return float64(len(w.further)+1) <= s.RetryUse*(s.RetryRatio*float64(len(w.firsts))+slack)
}

// again notes a further send.
func (w *window) again(now clock.Mark) { w.further = append(w.further, now) }
