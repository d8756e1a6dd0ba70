package checker

import (
	"fmt"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

const (
	// clientClosedWithin is how long after a client has disconnected work may go on for it, and clientClosedFew how
	// many requests may reach an engine later all the same.
	clientClosedWithin = 500 * time.Millisecond
	clientClosedFew    = 3
)

// afterClientClosed checks that work for disconnected clients ends.
func (b *index) afterClientClosed() Finding {
	f := Finding{Rule: "GONE"}
	var sent, atWork []string
	lasting := 0
	for _, attempt := range b.Attempts {
		limit := attempt.ClosedAt + clock.Mark(clientClosedWithin)
		if attempt.ClosedAt == 0 || limit > b.Ended || !b.inContact(attempt.Daemon, limit) || b.linksDisrupted(attempt.ClosedAt, limit) {
			continue
		}
		f.Checked++
		for _, arrival := range b.arrivals[attempt.AttemptID] {
			switch {
			case arrival.At > limit:
				sent = append(sent, fmt.Sprintf("%s reached %s %v after its client had disconnected", attempt.AttemptID, arrival.Engine, arrival.At.Since(attempt.ClosedAt).Round(time.Millisecond)))
			case !arrival.Ran() || !b.idempotent(attempt) && attempt.Class != protocol.Streaming:
			case arrival.Ended == 0 || arrival.Ended > limit:
				lasting++
				atWork = append(atWork, fmt.Sprintf("%s was executing %s %v after its client had disconnected", arrival.Engine, attempt.AttemptID, clientClosedWithin))
			case arrival.CallerClosed:
				// It was cancelled in time, and might have run for as long.
				lasting++
			}
		}
	}
	if len(sent) > clientClosedFew {
		f.Violations = append(f.Violations, sent...)
	}
	if 4*len(atWork) > lasting {
		f.Violations = append(f.Violations, atWork...)
	}
	return f
}

// linksDisrupted says whether links or engines were disrupted in the time of contact before a span, or in it.
func (b *index) linksDisrupted(from, to clock.Mark) bool {
	return b.disrupted(before(from, b.bounds.Contact), to, func(t *history.Disruption) bool { return t.Kind == history.Link })
}
