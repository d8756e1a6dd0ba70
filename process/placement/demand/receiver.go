package demand

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Receiver is the demand of one incarnation of a daemon, as reported. It is not safe for concurrent use.
type Receiver struct {
	// At is when the last report was applied.
	At clock.Mark
	// Sessions are those of the last report.
	Sessions []*peerapi.EngineSessions
	// seq is the number of the last report.
	seq   uint64
	known map[Key]entry
}

// Apply applies a report. It returns false if the report that it builds on is missing, so that a full one is needed.
func (h *Receiver) Apply(now clock.Mark, report Report) bool {
	switch {
	case report.Seq <= h.seq:
		// A newer report was applied, which was full or built on this one.
		return true
	case report.Base == 0:
		h.known = make(map[Key]entry, len(report.Demand))
	case report.Base != h.seq:
		return false
	}
	h.seq, h.At, h.Sessions = report.Seq, now, report.Sessions
	for _, demand := range report.Demand {
		if demand.Queued == 0 && demand.Running == 0 && demand.Tokens == 0 && demand.Arrivals == 0 {
			delete(h.known, KeyOf(demand))
			continue
		}
		h.known[KeyOf(demand)] = entry{demand, now}
	}
	return true
}

// Each calls visit with each demand, how long ago it was reported, and the fraction of its rates that remains since then.
// It forgets what has decayed.
func (h *Receiver) Each(now clock.Mark, visit func(demand *peerapi.Demand, ago time.Duration, fraction float64)) {
	for key, reported := range h.known {
		ago := now.Since(reported.reportedAt)
		fraction := remainingFraction(ago)
		if reported.idle() && reported.demand.Arrivals*fraction < minRate {
			delete(h.known, key)
			continue
		}
		visit(reported.demand, ago, fraction)
	}
}
