package upstream

import "time"

// maxMilliseconds bounds each time that a section gives when it is used, in ms; a section may hold a longer one.
const maxMilliseconds = 86_400_000

// milliseconds gives a section's time as a duration from zero to a day.
func milliseconds(number int64) time.Duration {
	return time.Duration(min(max(number, 0), maxMilliseconds)) * time.Millisecond
}

// Deadline is the longest time that a request is queued and run.
func (p *Path) Deadline() time.Duration { return milliseconds(p.DeadlineMs) }

// Target is the latency target (SLO) of a response's first byte, no longer than the deadline; zero is none.
func (p *Path) Target() time.Duration { return min(milliseconds(p.TargetMs), p.Deadline()) }

// GapTarget is the target for the longest pause between events of a stream, no longer than the deadline; zero is none.
func (p *Path) GapTarget() time.Duration { return min(milliseconds(p.GapTargetMs), p.Deadline()) }

// LoadTime is how long the model takes to load from the store at full speed.
func (m *Model) LoadTime() time.Duration { return milliseconds(m.LoadMs) }
