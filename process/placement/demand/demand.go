// Package demand carries each daemon's demand, the requests it has queued and running for each model, to the planner.
//
// A Sender at the daemon sends one full report, and then reports with what changed; a Receiver at the planner puts
// them together for each daemon. Rates (tokens and arrivals a second) decay with a half-life on both sides alike, so a rate
// that only decays need not be reported. Reports are numbered: a report names the one it builds on, and a receiver that
// misses that one asks for a full report. Reports may be lost or overtake each other.
//
// Invariant: what the receiver knows differs from the daemon's demand by no more than unchanged allows, once the last
// report has arrived. Sender is used by the daemon package, Receiver by the planner.
package demand

import (
	"math"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// fullReportEvery is the interval of full reports. Lost reports are detected, so this only limits unforeseen errors.
	fullReportEvery = 30 * time.Second
	// HalfLife is that of rates without new requests. Both sides let them decay, so that only new requests need be
	// reported.
	HalfLife = 5 * time.Second
	// minRate is the rate below which the receiver forgets demand that is neither queued nor running; minAnnouncedRate is
	// the same at the sender, and higher, so that the receiver forgets it last.
	minRate, minAnnouncedRate = 0.001, 0.01
	// endSlack is the least time from a report of running requests to a report that none runs any more.
	endSlack = 2 * time.Second
	// oldestSlack is by how much the age of the oldest queued request may differ from the reported age plus the time since.
	oldestSlack = 300 * time.Millisecond
	// similarFraction is the relative change up to which a value counts as unchanged; the others are absolute changes.
	similarFraction                                               = 1.0 / 4
	similarQueued, similarRunning, similarTokens, similarArrivals = 1, 2, 1, 0.1
)

// Key is what is demanded: a model or an adapter of it in a pool; the pool is empty but for opaque requests.
type Key struct{ Pool, Model, Adapter string }

// KeyOf returns the key of a demand.
func KeyOf(demand *peerapi.Demand) Key { return Key{demand.Pool, demand.Model, demand.Adapter} }

// Report is one report of a daemon's demand.
type Report struct {
	// Seq is the report's number, Base that of the report it builds on; zero: this one is full.
	Seq, Base uint64
	// Demand is what changed since Base, or everything. An entry without any values ends the demand of its key.
	Demand []*peerapi.Demand
	// Sessions are always complete.
	Sessions []*peerapi.EngineSessions
}

// entry is a demand as it was last reported.
type entry struct {
	demand     *peerapi.Demand
	reportedAt clock.Mark
}

// idle reports whether nothing was queued or running.
func (e entry) idle() bool { return e.demand.Queued == 0 && e.demand.Running == 0 }

// remainingFraction is the fraction of a rate that remains after a time without new requests.
func remainingFraction(since time.Duration) float64 {
	return math.Exp2(-float64(since) / float64(HalfLife))
}
