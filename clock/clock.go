// Package clock gives the daemon its two clocks: the time of day, and a monotonic clock that counts time spent suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Mark is a moment on a monotonic clock, as the time elapsed since the machine booted. Marks of different machines or
// boots can't be compared.
type Mark time.Duration

// Since returns the time from earlier to m.
func (m Mark) Since(earlier Mark) time.Duration { return time.Duration(m - earlier) }

// Clock is what actors use in place of the machine's clocks, so that tests can simulate time.
type Clock interface {
	// Elapsed reads the monotonic clock, which counts time spent suspended and isn't moved when the time of day is set.
	Elapsed() Mark
	// Wall reads the time of day. It serves people, and as the first time of a new Raft group only.
	Wall() time.Time
}

// System is the machine's own clock.
type System struct{}

// Elapsed reads CLOCK_BOOTTIME, because Go's monotonic clock stops while a machine is suspended.
func (System) Elapsed() Mark {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("broken invariant: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Mark(reading.Nano())
}

// Wall reads the time of day.
func (System) Wall() time.Time { return time.Now() }
