// Package demand carries what a daemon queues and runs for each model to the planner: once whole, then only what
// changed.
package demand

import (
	"math"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// fullReportEvery is how often all is announced again. A part that is lost is noticed, so this is for what nobody thought of.
	fullReportEvery = 30 * time.Second
	// HalfLife is the time after which rates count half where nothing new is asked for. Both sides let them fade, so that
	// only what is asked for anew need be announced.
	HalfLife = 5 * time.Second
	// minRate is the rate below which what neither waits nor runs is forgotten; minAnnouncedRate is the same where it is
	// announced, and higher, so that whoever heard of it forgets it last.
	minRate, minAnnouncedRate = 0.001, 0.01
	// endSlack is for how long at least after the last announcement it is not announced that nothing runs any more.
	endSlack = 2 * time.Second
	// oldestSlack is by how much the age of the oldest may differ from what it must have grown to.
	oldestSlack = 300 * time.Millisecond
)

// Key is what is asked for.
type Key struct{ Pool, Model, Adapter string }

// KeyOf is what a demand is for.
func KeyOf(demand *peerapi.Demand) Key { return Key{demand.Pool, demand.Model, demand.Adapter} }

// Report is one announcement. Base is the one it builds on; zero is whole.
type Report struct {
	Seq, Base uint64
	Demand    []*peerapi.Demand
	Sessions  []*peerapi.EngineSessions
}

type entry struct {
	demand *peerapi.Demand
	at     clock.Mark
}

// Sender is the side of the daemon that announces its demand. It may be used by several at once.
type Sender struct {
	mutex          sync.Mutex
	to             string
	seq            uint64
	known          map[Key]entry
	lastFullReport clock.Mark
	lost           bool
}

// Next makes the next message to an address.
func (t *Sender) Next(now clock.Mark, to string, all []*peerapi.Demand, seats []*peerapi.EngineSessions) Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	out := Report{Seq: t.seq + 1, Base: t.seq, Sessions: seats}
	if to != t.to || t.lost || t.known == nil || now.Since(t.lastFullReport) >= fullReportEvery {
		t.to, t.lost, t.lastFullReport, t.known, out.Base = to, false, now, map[Key]entry{}, 0
	}
	t.seq++
	present := make(map[Key]bool, len(all))
	for _, demand := range all {
		key := KeyOf(demand)
		present[key] = true
		if before, known := t.known[key]; known && unchanged(before, demand, now) {
			continue
		}
		t.known[key] = entry{demand, now}
		out.Demand = append(out.Demand, demand)
	}
	for key, before := range t.known {
		if !present[key] {
			delete(t.known, key)
			if before.idle() && before.demand.Arrivals*remainingShare(now.Since(before.at)) < minAnnouncedRate {
				// It is forgotten there by itself.
				continue
			}
			// Nothing of it is asked for any more.
			out.Demand = append(out.Demand, &peerapi.Demand{Pool: key.Pool, Model: key.Model, Adapter: key.Adapter})
		}
	}
	return out
}

// MarkLost notes that a message may not have come.
func (t *Sender) MarkLost() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lost = true
}

// idle says that nothing of it waited or ran.
func (t entry) idle() bool { return t.demand.Queued == 0 && t.demand.Running == 0 }

// remainingShare is the share of a rate that is left after a time.
func remainingShare(since time.Duration) float64 {
	return math.Exp2(-float64(since) / float64(HalfLife))
}

// unchanged says whether a demand is so much like what was announced that it need not be announced anew.
func unchanged(before entry, demand *peerapi.Demand, now clock.Mark) bool {
	was := before.demand
	// That nothing runs any more is announced too, or the sum over many daemons that each ask for little would be far off;
	// but not at once, since what was asked for a moment ago is likely to be asked for again.
	begins, ends := was.Running == 0 && demand.Running > 0, was.Running > 0 && demand.Running == 0
	if was.Queued > 0 != (demand.Queued > 0) || begins || ends && now.Since(before.at) >= endSlack || was.Value != demand.Value || was.Queued > 0 && was.Rank != demand.Rank {
		return false
	}
	if demand.Queued > 0 {
		grown := time.Duration(was.OldestMs)*time.Millisecond + now.Since(before.at)
		if off := time.Duration(demand.OldestMs)*time.Millisecond - grown; max(off, -off) > oldestSlack {
			return false
		}
	}
	share := remainingShare(now.Since(before.at))
	like := func(a, b, least float64) bool { return math.Abs(a-b) <= max(least, a/4) }
	return like(float64(was.Queued), float64(demand.Queued), 1) && like(float64(was.Running), float64(demand.Running), 2) &&
		like(was.Tokens*share, demand.Tokens, 1) && like(was.Arrivals*share, demand.Arrivals, 0.1)
}

// Receiver is what one incarnation of a daemon has announced.
type Receiver struct {
	// At is when it last announced anything.
	At       clock.Mark
	Sessions []*peerapi.EngineSessions
	seq      uint64
	known    map[Key]entry
}

// Apply takes a message; it says false where one before it is lacking, so that all must be announced again.
func (h *Receiver) Apply(now clock.Mark, m Report) bool {
	switch {
	case m.Seq <= h.seq:
		// Overtaken by a newer one, which held it all or built on it.
		return true
	case m.Base == 0:
		h.known = make(map[Key]entry, len(m.Demand))
	case m.Base != h.seq:
		return false
	}
	h.seq, h.At, h.Sessions = m.Seq, now, m.Sessions
	for _, demand := range m.Demand {
		if demand.Queued == 0 && demand.Running == 0 && demand.Tokens == 0 && demand.Arrivals == 0 {
			delete(h.known, KeyOf(demand))
			continue
		}
		h.known[KeyOf(demand)] = entry{demand, now}
	}
	return true
}

// Each gives all that is asked for, with how long ago it was announced, and which share of its rates is left since.
func (h *Receiver) Each(now clock.Mark, give func(demand *peerapi.Demand, ago time.Duration, share float64)) {
	for key, one := range h.known {
		ago := now.Since(one.at)
		share := remainingShare(ago)
		if one.idle() && one.demand.Arrivals*share < minRate {
			delete(h.known, key)
			continue
		}
		give(one.demand, ago, share)
	}
}
