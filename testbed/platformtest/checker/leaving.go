package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

const (
	// clientClosedWithin is how long after a client has left something may still be done for it, and goneFew how many of its
	// requests may reach an engine later all the same.
	clientClosedWithin = 500 * time.Millisecond
	clientClosedFew    = 3
)

// afterClientClosed holds what is done for clients that have left against the rule.
func (b *index) afterClientClosed() Finding {
	f := Finding{Rule: "GONE"}
	var sent, atWork []string
	lasting := 0
	for _, attempt := range b.Attempts {
		limit := attempt.ClosedAt + clock.Mark(clientClosedWithin)
		if attempt.ClosedAt == 0 || limit > b.Ended || !b.inTouch(attempt.Daemon, limit) || b.linksDisrupted(attempt.ClosedAt, limit) {
			continue
		}
		f.Checked++
		for _, arrival := range b.arrivals[attempt.AttemptID] {
			switch {
			case arrival.At > limit:
				sent = append(sent, fmt.Sprintf("%s reached %s %v after its client had left", attempt.AttemptID, arrival.Engine, arrival.At.Since(attempt.ClosedAt).Round(time.Millisecond)))
			case !arrival.Ran() || !b.idempotent(attempt) && attempt.Class != protocol.Streaming:
			case arrival.Ended == 0 || arrival.Ended > limit:
				lasting++
				atWork = append(atWork, fmt.Sprintf("%s was at work on %s %v after its client had left", arrival.Engine, attempt.AttemptID, clientClosedWithin))
			case arrival.CallerClosed:
				// Its work was ended in time; it may have lasted for so long.
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

// linksDisrupted says whether links or engines were in trouble in the time of contact before a span, and in it.
func (b *index) linksDisrupted(from, to clock.Mark) bool {
	return b.disrupted(before(from, b.bounds.Contact), to, func(t *history.Disruption) bool { return t.Kind == history.Link })
}

// unreadyWithin is how soon after a planned stop begins a machine must count as not ready.
const unreadyWithin = 4 * time.Second

// unready holds machines that are stopped to the rule that they count as not ready soon.
func (b *index) unready() Finding {
	f := Finding{Rule: "DRAIN readiness"}
	var still []string
	for _, disruption := range b.Disruptions {
		if disruption.Kind != history.Stopped || !disruption.Planned || !slices.Contains(b.Edges, disruption.Machine) || !b.counted(disruption.Machine, 0, disruption.From, true) {
			continue
		}
		f.Checked++
		if until := disruption.From + clock.Mark(unreadyWithin); until <= b.Ended && !b.counted(disruption.Machine, disruption.From, until, false) {
			still = append(still, fmt.Sprintf("%s still counted as ready %v after it was told to stop", disruption.Machine, unreadyWithin))
		}
	}
	if len(still) >= 2 && 4*len(still) > f.Checked {
		f.Violations = still
	}
	return f
}

// counted says whether a machine counted as ready, or as not ready, at some moment of a span: it does so from an
// answer that it is, or from two in a row that it is not. Ready counts only at the end of the span.
func (b *index) counted(machine string, from, to clock.Mark, ready bool) bool {
	missed, in := 0, false
	for _, look := range b.ReadinessChecks {
		if look.Machine != machine || look.At < from || look.At > to {
			continue
		}
		if missed++; look.Ready {
			missed, in = 0, true
		}
		if missed >= 2 {
			if in = false; !ready {
				return true
			}
		}
	}
	return ready && in
}
