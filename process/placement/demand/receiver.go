package demand

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Receiver is what one incarnation of a daemon has announced.
type Receiver struct {
	// At is when it last announced anything.
	At       clock.Mark
	Sessions []*peerapi.EngineSessions
	seq      uint64
	known    map[Key]entry
}

// Apply takes a message; it says false where one before it is lacking, so that all must be announced again.
func (h *Receiver) Apply(now clock.Mark, report Report) bool {
	switch {
	case report.Seq <= h.seq:
		// Overtaken by a newer one, which held it all or built on it.
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

// Each gives all that is asked for, with how long ago it was announced, and which share of its rates is left since.
func (h *Receiver) Each(now clock.Mark, visit func(demand *peerapi.Demand, ago time.Duration, share float64)) {
	for key, reported := range h.known {
		ago := now.Since(reported.reportedAt)
		share := remainingShare(ago)
		if reported.idle() && reported.demand.Arrivals*share < minRate {
			delete(h.known, key)
			continue
		}
		visit(reported.demand, ago, share)
	}
}
