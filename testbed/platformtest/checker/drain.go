package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// drainedEngines checks that a draining engine gets no requests once its bound after the acknowledgement has passed.
func (b *index) drainedEngines() Finding {
	f := Finding{Rule: "DRAIN"}
	for _, incarnation := range b.Incarnations {
		if incarnation.DrainAcked == 0 {
			continue
		}
		f.Checked++
		start := incarnation.DrainAcked
		for _, disruption := range b.Disruptions {
			// The bound counts from when the core is settled again.
			if disruption.Core && disruption.From <= start && (disruption.Until == 0 || disruption.Until+clock.Mark(b.bounds.Contact) > start) {
				if disruption.Until == 0 {
					start = b.Ended
				} else {
					start = disruption.Until + clock.Mark(b.bounds.Contact)
				}
			}
		}
		for _, arrival := range b.Arrivals {
			if arrival.Engine != incarnation.Engine || arrival.HealthCheck || arrival.Status == 421 || arrival.At <= start+clock.Mark(b.bounds.Drain) {
				continue
			}
			if attempt := b.attempts[arrival.AttemptID]; attempt != nil && b.inContact(attempt.Daemon, arrival.At) {
				f.violation("%s reached %s from %s %v after its draining was acknowledged", arrival.AttemptID, arrival.Engine, attempt.Daemon, arrival.At.Since(incarnation.DrainAcked).Round(time.Millisecond))
			}
		}
	}
	return f
}

// unreadyWithin is how soon after the beginning of a planned stop a machine must count as not ready.
const unreadyWithin = 4 * time.Second

// drainReadiness checks that machines that are stopped count as not ready soon.
func (b *index) drainReadiness() Finding {
	f := Finding{Rule: "DRAIN readiness"}
	var still []string
	for _, disruption := range b.Disruptions {
		if disruption.Kind != history.Stopped || !disruption.Planned || !slices.Contains(b.Edges, disruption.Machine) || !b.countedAs(disruption.Machine, 0, disruption.From, true) {
			continue
		}
		f.Checked++
		if until := disruption.From + clock.Mark(unreadyWithin); until <= b.Ended && !b.countedAs(disruption.Machine, disruption.From, until, false) {
			still = append(still, fmt.Sprintf("%s still counted as ready %v after its stop began", disruption.Machine, unreadyWithin))
		}
	}
	if len(still) >= 2 && 4*len(still) > f.Checked {
		f.Violations = still
	}
	return f
}

// countedAs says whether a machine counted as ready, or as not ready, at some moment of a span: it does so from an
// answer that it is, or from two in a row that it is not. Ready counts only at the end of the span.
func (b *index) countedAs(machine string, from, to clock.Mark, ready bool) bool {
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
