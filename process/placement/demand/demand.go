// Package demand carries what a daemon queues and runs for each model to the planner: once whole, then only what
// changed.
package demand

import (
	"math"
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
	demand     *peerapi.Demand
	reportedAt clock.Mark
}

// idle says that nothing of it waited or ran.
func (t entry) idle() bool { return t.demand.Queued == 0 && t.demand.Running == 0 }

// remainingShare is the share of a rate that is left after a time.
func remainingShare(since time.Duration) float64 {
	return math.Exp2(-float64(since) / float64(HalfLife))
}
