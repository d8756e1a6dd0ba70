package longpoll

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestAwaitReturnsByUrgency runs in made-up time, so each wait can be told to the millisecond.
func TestAwaitReturnsByUrgency(t *testing.T) {
	const maxWait, batchDelay, changeAt = time.Second, 100 * time.Millisecond, 50 * time.Millisecond
	for _, test := range []struct {
		name    string
		maxWait time.Duration
		// before is what there is at the start, after what a change at changeAt brings.
		before, after Urgency
		want          time.Duration
	}{
		{"no wait is allowed", 0, Nothing, Nothing, 0},
		{"an urgent change was there before", maxWait, Urgent, Urgent, 0},
		{"an ordinary change was there before", maxWait, Ordinary, Ordinary, batchDelay},
		{"an urgent change comes", maxWait, Nothing, Urgent, changeAt},
		{"an urgent change follows an ordinary one", maxWait, Ordinary, Urgent, changeAt},
		{"an ordinary change comes", maxWait, Nothing, Ordinary, batchDelay},
		{"nothing comes", maxWait, Nothing, Nothing, maxWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				notifier := NewNotifier()
				var current atomic.Int64
				current.Store(int64(test.before))
				began := time.Now()
				go func() {
					<-time.After(changeAt)
					current.Store(int64(test.after))
					notifier.Notify(test.after)
				}()
				notifier.Await(t.Context(), test.maxWait, batchDelay, func() Urgency { return Urgency(current.Load()) })
				if took := time.Since(began); took != test.want {
					t.Errorf("returned after %v, not %v", took, test.want)
				}
				synctest.Wait()
				<-time.After(changeAt)
			})
		})
	}
}

func TestAwaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		began := time.Now()
		NewNotifier().Await(ctx, time.Second, 0, func() Urgency { return Nothing })
		if took := time.Since(began); took != 30*time.Millisecond {
			t.Errorf("returned after %v", took)
		}
	})
}
