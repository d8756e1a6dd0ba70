// Package clock gives the two clocks the daemon uses: one for people, one that counts time spent suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Mark is a moment on a clock that only goes forward and counts suspend.
type Mark time.Duration

// Since gives the time from earlier to m.
func (m Mark) Since(earlier Mark) time.Duration { return time.Duration(m - earlier) }

// Clock is what actors are given in place of the machine's clocks.
type Clock interface {
	// Elapsed is the boot-time clock: it counts time spent suspended, and no wall jump moves it.
	Elapsed() Mark
	// Wall is the time of day, used for people and for the first group time only.
	Wall() time.Time
}

// System is the machine's own clock.
type System struct{}

// Elapsed reads CLOCK_BOOTTIME, because Go's monotonic clock stands still while a machine sleeps.
func (System) Elapsed() Mark {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("broken invariant: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Mark(reading.Nano())
}

// Wall reads the time of day.
func (System) Wall() time.Time { return time.Now() }
