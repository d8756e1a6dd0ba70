// Package snowflake mints ids under a worker id: 41 bits of time, 10 of worker, 12 of sequence.
package snowflake

import (
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

const (
	workerBits   = 10
	sequenceBits = 12
	timeBits     = 41
	sequenceMask = 1<<sequenceBits - 1
	// BaseTime is the fixed moment from which the time bits count: 2024-01-01 UTC.
	BaseTime ident.GroupTime = 1704067200000
)

// Outcome is the outcome of one minting.
type Outcome string

const (
	// Generated says that an id was given.
	Generated Outcome = "minted"
	// NoLease says that no lease is held, or that it has lapsed.
	NoLease Outcome = "no-tenure"
	// ClockBackward says that the clock went back or stands at or below the floor.
	ClockBackward Outcome = "backward"
	// TimeOverflow says that the time no longer fits.
	TimeOverflow Outcome = "out-of-bits"
)

// leaseWindow is what a grant allows; it is replaced whole.
type leaseWindow struct {
	worker ident.WorkerID
	// grantedTime is the group's time at mark, as given by the grant.
	grantedTime ident.GroupTime
	grantedAt   clock.Mark
	// floor and ceiling bound the timestamps; both ends are shut.
	floor, latest ident.GroupTime
	// expiry is when minting stops on the holder's own clock.
	expiry clock.Mark
}

// groupTime is the group's time as this window carries it on.
func (w *leaseWindow) groupTime(now clock.Mark) ident.GroupTime {
	return w.grantedTime + ident.GroupTime(now.Since(w.grantedAt)/time.Millisecond)
}

// Generator mints ids while a lease lasts. Its clock is the group's time carried on by the
// machine's boot-time clock, so that a jump of the time of day moves nothing.
type Generator struct {
	clock  clock.Clock
	margin time.Duration
	lease  atomic.Pointer[leaseWindow]
	// last packs the last timestamp and sequence given out.
	last       atomic.Uint64
	rejections atomic.Uint64
}

// New makes a generator; margin is taken off the end of each lease for clock-rate error.
func New(c clock.Clock, margin time.Duration) *Generator {
	return &Generator{clock: c, margin: margin}
}

// SetLease takes up a grant. asked is read from the clock before the request was sent, so the
// holder's lease never outlasts the group's.
func (g *Generator) SetLease(grant workerid.Grant, asked clock.Mark) {
	span := time.Duration(grant.LeaseExpiry-grant.Now) * time.Millisecond
	next := &leaseWindow{
		worker: grant.WorkerID, grantedTime: grant.Now, grantedAt: asked,
		floor: grant.Floor, latest: grant.LeaseExpiry, expiry: asked + clock.Mark(span-g.margin),
	}
	if held := g.lease.Load(); held != nil {
		if held.worker != grant.WorkerID {
			// Another worker id starts another sequence of ids; the old one's last must not hold it back.
			g.last.Store(0)
		} else {
			// The group's time may lag the holder's after an election; the holder's own goes on, bounded by the ceiling.
			next.grantedTime = max(next.grantedTime, held.groupTime(asked))
		}
	}
	g.lease.Store(next)
}

// ReleaseLease forgets the lease and gives the last timestamp minted under it.
func (g *Generator) ReleaseLease() (ident.WorkerID, ident.GroupTime, bool) {
	held := g.lease.Swap(nil)
	if held == nil {
		return 0, 0, false
	}
	return held.worker, ident.GroupTime(g.last.Load()>>sequenceBits) + BaseTime, true
}

// HasLease says whether a lease is held that has not lapsed on this machine's clock.
func (g *Generator) HasLease() bool {
	held := g.lease.Load()
	return held != nil && g.clock.Elapsed() < held.expiry
}

// WorkerID is the worker id held, if any.
func (g *Generator) WorkerID() (ident.WorkerID, bool) {
	held := g.lease.Load()
	if held == nil || g.clock.Elapsed() >= held.expiry {
		return 0, false
	}
	return held.worker, true
}

// LatestTimestamp is the latest timestamp that may be minted under the lease held.
func (g *Generator) LatestTimestamp() ident.GroupTime {
	if held := g.lease.Load(); held != nil {
		return held.latest
	}
	return 0
}

// Rejections counts mintings that were refused.
func (g *Generator) Rejections() uint64 { return g.rejections.Load() }

// Next gives the next id, or why there is none.
func (g *Generator) Next() (ident.SnowflakeID, Outcome) {
	for {
		held := g.lease.Load()
		now := g.clock.Elapsed()
		if held == nil || now >= held.expiry {
			g.rejections.Add(1)
			return 0, NoLease
		}
		at := held.groupTime(now)
		// Outside the window an id could meet one of another holder, so that is an error and not a wait.
		if at <= held.floor || at > held.latest || at <= BaseTime {
			g.rejections.Add(1)
			return 0, ClockBackward
		}
		stamp := uint64(at - BaseTime)
		if stamp>>timeBits != 0 {
			g.rejections.Add(1)
			return 0, TimeOverflow
		}
		last := g.last.Load()
		lastStamp := last >> sequenceBits
		next := stamp << sequenceBits
		switch {
		case stamp < lastStamp:
			g.rejections.Add(1)
			return 0, ClockBackward
		case stamp == lastStamp:
			if last&sequenceMask == sequenceMask {
				// The millisecond is used up: spin into the next one.
				continue
			}
			next = last + 1
		}
		if !g.last.CompareAndSwap(last, next) {
			continue
		}
		// The window may have been replaced or dropped meanwhile; only the one still in force vouches for the id.
		if g.lease.Load() != held {
			continue
		}
		return ident.SnowflakeID(stamp<<(workerBits+sequenceBits) | uint64(held.worker)<<sequenceBits | next&sequenceMask), Generated
	}
}

// Decompose takes an id apart.
func Decompose(id ident.SnowflakeID) (at ident.GroupTime, worker ident.WorkerID, sequence int) {
	raw := uint64(id)
	return ident.GroupTime(raw>>(workerBits+sequenceBits)) + BaseTime,
		ident.WorkerID(raw >> sequenceBits & (1<<workerBits - 1)), int(raw & sequenceMask)
}
