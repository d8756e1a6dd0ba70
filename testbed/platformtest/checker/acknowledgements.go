package checker

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// acknowledgementsInTime checks that valid changes are acknowledged within their bound.
func (b *index) acknowledgementsInTime() Finding {
	f := Finding{Rule: "Acks"}
	for _, change := range b.Changes {
		if change.Fault != "" || change.Outcome == history.Refused || change.Config == nil {
			continue
		}
		f.Checked++
		bound := b.bounds.Ack + time.Duration(len(change.Config.Routes))*3*time.Millisecond
		end := change.Answered
		if change.Outcome == history.Unclear || end == 0 {
			end = b.Ended
		}
		if end.Since(change.Began) <= bound {
			continue
		}
		// It counts only where the time holds an undisturbed stretch of that length.
		if b.undisturbedStretch(change.Began, end, bound) {
			f.violation("version %d had no acknowledgement after %v", change.Generation, end.Since(change.Began).Round(time.Millisecond))
		}
	}
	return f
}

// undisturbedStretch says whether a span holds a stretch of some length without disruptions of core or links.
func (b *index) undisturbedStretch(from, to clock.Mark, length time.Duration) bool {
	begin := from
	for _, disruption := range b.Disruptions {
		if !disruption.Core && disruption.Kind != history.Link && disruption.Kind != history.Closing {
			continue
		}
		if disruption.Until != 0 && disruption.Until+clock.Mark(b.bounds.Contact) <= begin || disruption.From >= to {
			continue
		}
		if disruption.From.Since(begin) > length {
			return true
		}
		if disruption.Until == 0 {
			return false
		}
		begin = max(begin, disruption.Until+clock.Mark(b.bounds.Contact))
	}
	return to.Since(begin) > length
}

// drainAcknowledgements checks that the draining of engines is acknowledged within the bound.
func (b *index) drainAcknowledgements() Finding {
	f := Finding{Rule: "Acks of leaving"}
	late := []string{}
	for _, incarnation := range b.Incarnations {
		if incarnation.DrainRequested == 0 || incarnation.Crashed || !b.undisturbed(incarnation.DrainRequested, incarnation.DrainRequested+clock.Mark(b.bounds.Ack)) {
			continue
		}
		f.Checked++
		if incarnation.DrainAcked == 0 || incarnation.DrainAcked.Since(incarnation.DrainRequested) > b.bounds.Ack {
			late = append(late, incarnation.Engine+" got no acknowledgement of its draining in time")
		}
	}
	if len(late)*5 > f.Checked {
		f.Violations = late
	}
	return f
}

// configAcknowledgedWrongly checks that no invalid change, and no second change on one base, is acknowledged.
func (b *index) configAcknowledgedWrongly() Finding {
	f := Finding{Rule: "CONFIG acknowledged wrongly"}
	byBase := map[uint64]*history.Change{}
	for _, change := range b.Changes {
		f.Checked++
		if change.Outcome != history.Acknowledged {
			continue
		}
		if change.Fault != "" {
			f.violation("%d is invalid (%s) and was acknowledged by %s", change.Generation, change.Fault, change.By)
			continue
		}
		if other := byBase[change.Base]; other != nil && (other.Generation != change.Generation || other.Digest() != change.Digest()) {
			f.violation("%d and %d both build on %d and were acknowledged", other.Generation, change.Generation, change.Base)
		}
		byBase[change.Base] = change
	}
	return f
}
