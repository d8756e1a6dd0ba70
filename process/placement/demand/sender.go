package demand

import (
	"math"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Sender makes a daemon's reports. The zero value is ready to use, by several goroutines at once.
type Sender struct {
	mutex sync.Mutex
	// receiver is the address that the last report was made for.
	receiver string
	// seq is the number of the last report.
	seq uint64
	// known is what the receiver knows if it has received all reports.
	known          map[Key]entry
	lastFullReport clock.Mark
	// lost says that a report may not have arrived, so that the next one must be full.
	lost bool
}

// Next makes the next report to an address. all is the daemon's demand now, with decayed rates.
func (s *Sender) Next(now clock.Mark, receiver string, all []*peerapi.Demand, sessions []*peerapi.EngineSessions) Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := Report{Seq: s.seq + 1, Base: s.seq, Sessions: sessions}
	if receiver != s.receiver || s.lost || s.known == nil || now.Since(s.lastFullReport) >= fullReportEvery {
		report.Base = 0
		s.receiver, s.lost, s.lastFullReport, s.known = receiver, false, now, map[Key]entry{}
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
	report.Demand = append(report.Demand, s.ended(now, present)...)
	return report
}

// ended removes what is not present any more from known, and returns the entries that report so.
func (s *Sender) ended(now clock.Mark, present map[Key]bool) (ends []*peerapi.Demand) {
	for key, previous := range s.known {
		if present[key] {
			continue
		}
		delete(s.known, key)
		if previous.idle() && previous.demand.Arrivals*remainingFraction(now.Since(previous.reportedAt)) < minAnnouncedRate {
			// The receiver forgets it by itself.
			continue
		}
		ends = append(ends, &peerapi.Demand{Pool: key.Pool, Model: key.Model, Adapter: key.Adapter})
	}
	return ends
}

// MarkLost records that a report may not have arrived.
func (s *Sender) MarkLost() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lost = true
}

// unchanged reports whether a demand is so similar to the one last reported that it need not be reported again.
func unchanged(previous entry, demand *peerapi.Demand, now clock.Mark) bool {
	reported, since := previous.demand, now.Since(previous.reportedAt)
	// The end of the last request is reported too, or the planner's sum over many daemons with few requests each would be
	// far off; but not at once, since another request is likely to follow.
	begins := reported.Running == 0 && demand.Running > 0
	ends := reported.Running > 0 && demand.Running == 0 && since >= endSlack
	queues := reported.Queued > 0 != (demand.Queued > 0)
	if queues || begins || ends || reported.Value != demand.Value || reported.Queued > 0 && reported.Rank != demand.Rank {
		return false
	}
	if demand.Queued > 0 {
		expectedAge := time.Duration(reported.OldestMs)*time.Millisecond + since
		if off := time.Duration(demand.OldestMs)*time.Millisecond - expectedAge; max(off, -off) > oldestSlack {
			return false
		}
	}
	fraction := remainingFraction(since)
	return similar(float64(reported.Queued), float64(demand.Queued), similarQueued) &&
		similar(float64(reported.Running), float64(demand.Running), similarRunning) &&
		similar(reported.Tokens*fraction, demand.Tokens, similarTokens) &&
		similar(reported.Arrivals*fraction, demand.Arrivals, similarArrivals)
}

// similar reports whether b differs from a by no more than similarFraction of a, or than least.
func similar(a, b, least float64) bool { return math.Abs(a-b) <= max(least, a*similarFraction) }
