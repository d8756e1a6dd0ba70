package demand

import (
	"math"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Sender is the side of the daemon that announces its demand. It may be used by several at once.
type Sender struct {
	mutex          sync.Mutex
	receiver       string
	seq            uint64
	known          map[Key]entry
	lastFullReport clock.Mark
	lost           bool
}

// Next makes the next message to an address.
func (s *Sender) Next(now clock.Mark, receiver string, all []*peerapi.Demand, sessions []*peerapi.EngineSessions) Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := Report{Seq: s.seq + 1, Base: s.seq, Sessions: sessions}
	if receiver != s.receiver || s.lost || s.known == nil || now.Since(s.lastFullReport) >= fullReportEvery {
		s.receiver, s.lost, s.lastFullReport, s.known, report.Base = receiver, false, now, map[Key]entry{}, 0
	}
	s.seq++
	present := make(map[Key]bool, len(all))
	for _, demand := range all {
		key := KeyOf(demand)
		present[key] = true
		if previous, known := s.known[key]; known && unchanged(previous, demand, now) {
			continue
		}
		s.known[key] = entry{demand, now}
		report.Demand = append(report.Demand, demand)
	}
	for key, previous := range s.known {
		if !present[key] {
			delete(s.known, key)
			if previous.idle() && previous.demand.Arrivals*remainingShare(now.Since(previous.reportedAt)) < minAnnouncedRate {
				// It is forgotten there by itself.
				continue
			}
			// Nothing of it is asked for any more.
			report.Demand = append(report.Demand, &peerapi.Demand{Pool: key.Pool, Model: key.Model, Adapter: key.Adapter})
		}
	}
	return report
}

// MarkLost notes that a message may not have come.
func (t *Sender) MarkLost() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lost = true
}

// unchanged says whether a demand is so much like what was announced that it need not be announced anew.
func unchanged(previous entry, demand *peerapi.Demand, now clock.Mark) bool {
	reported := previous.demand
	// That nothing runs any more is announced too, or the sum over many daemons that each ask for little would be far off;
	// but not at once, since what was asked for a moment ago is likely to be asked for again.
	begins, ends := reported.Running == 0 && demand.Running > 0, reported.Running > 0 && demand.Running == 0
	if reported.Queued > 0 != (demand.Queued > 0) || begins || ends && now.Since(previous.reportedAt) >= endSlack || reported.Value != demand.Value || reported.Queued > 0 && reported.Rank != demand.Rank {
		return false
	}
	if demand.Queued > 0 {
		expectedAge := time.Duration(reported.OldestMs)*time.Millisecond + now.Since(previous.reportedAt)
		if off := time.Duration(demand.OldestMs)*time.Millisecond - expectedAge; max(off, -off) > oldestSlack {
			return false
		}
	}
	share := remainingShare(now.Since(previous.reportedAt))
	similar := func(a, b, least float64) bool { return math.Abs(a-b) <= max(least, a/4) }
	return similar(float64(reported.Queued), float64(demand.Queued), 1) && similar(float64(reported.Running), float64(demand.Running), 2) &&
		similar(reported.Tokens*share, demand.Tokens, 1) && similar(reported.Arrivals*share, demand.Arrivals, 0.1)
}
