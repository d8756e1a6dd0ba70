package actor

import (
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// manualClock is a clock that is set by hand.
type manualClock struct{ now clock.Mark }

func (c *manualClock) Elapsed() clock.Mark { return c.now }
func (c *manualClock) Wall() time.Time     { return time.Time{} }

// Guards against a process that ends, and with it its part in the consensus, because one role of it panics.
func TestSingletonRoleBacksOffForAGrowingTimeAfterPanics(t *testing.T) {
	timer := &manualClock{now: clock.Mark(time.Hour)}
	var causes []any
	guard := NewGuard(timer, func(cause any, stack []byte) {
		causes = append(causes, cause)
		if !strings.Contains(string(stack), "TestSingletonRoleBacksOff") {
			t.Errorf("the stack does not lead to the panic: %s", stack)
		}
	})
	ran := false
	if guard.Run(func() { ran = true }); !ran || guard.InBackoff() || guard.Panics() != 0 {
		t.Fatal("a task without a panic is not run, or is followed by a backoff")
	}
	for number, want := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second, 160 * time.Second, 5 * time.Minute, 5 * time.Minute} {
		guard.Run(func() { panic(number) })
		timer.now += clock.Mark(want - 1)
		if !guard.InBackoff() {
			t.Errorf("after panic %d the backoff is shorter than %v", number, want)
		}
		if timer.now++; guard.InBackoff() {
			t.Errorf("after panic %d the backoff is longer than %v", number, want)
		}
		if guard.Panics() != uint64(number)+1 || len(causes) != number+1 || causes[number] != number {
			t.Errorf("%d panics of %v", guard.Panics(), causes)
		}
	}
}
