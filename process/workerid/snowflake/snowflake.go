// Package snowflake generates time-ordered unique ids under a leased worker id, after Twitter's Snowflake: 41 bits of
// milliseconds since BaseTime, 10 bits of worker id, 12 bits of sequence.
//
// An id is unique because the group leases a worker id to one daemon at a time (process/workerid), and a generator uses
// only timestamps within its lease: above the floor that former holders left, and not after the lease's expiry. Where its
// clock stands outside of that, it gives an error and does not wait. Ids of one lease rise.
package snowflake

import (
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/workerid"
)

// The layout of an id, from the lowest bits up: sequence, worker id, time.
const (
	workerBits   = 10
	sequenceBits = 12
	timeBits     = 41
	sequenceMask = 1<<sequenceBits - 1
	// BaseTime is the fixed moment from which the time bits count: 2024-01-01 UTC.
	BaseTime ident.GroupTime = 1704067200000
)

// Outcome is the outcome of Next.
type Outcome string

const (
	// Generated: an id was generated.
	Generated Outcome = "minted"
	// NoLease: there is no lease, or it has expired.
	NoLease Outcome = "no-tenure"
	// ClockBackward: the time lies at or below the floor, after the lease, or before the last id.
	ClockBackward Outcome = "backward"
	// TimeOverflow: the time no longer fits into its bits.
	TimeOverflow Outcome = "out-of-bits"
)

// leaseWindow is what a grant allows. It is never changed, only replaced.
type leaseWindow struct {
	worker ident.WorkerID
	// grantedTime is the group's time at grantedAt, as the grant gives it.
	grantedTime ident.GroupTime
	grantedAt   clock.Mark
	// Timestamps are above floor, and at most latest.
	floor, latest ident.GroupTime
	// expiry is when generating stops on the holder's own clock.
	expiry clock.Mark
}

// groupTime is the group's time as the machine's clock continues it from the grant.
func (w *leaseWindow) groupTime(now clock.Mark) ident.GroupTime {
	return w.grantedTime + ident.GroupTime(now.Since(w.grantedAt)/time.Millisecond)
}

// Generator generates ids while a lease lasts. Its clock is the group's time, continued by the machine's boot-time
// clock, so that a jump of the time of day changes nothing. All methods may be called by many goroutines, but SetLease and
// ReleaseLease by one at a time.
type Generator struct {
	clock  clock.Clock
	margin time.Duration
	lease  atomic.Pointer[leaseWindow]
	// last holds the timestamp and sequence of the last id, in one word.
	last       atomic.Uint64
	rejections atomic.Uint64
}

// New makes a generator; margin is taken off the end of each lease for clock-rate error.
func New(c clock.Clock, margin time.Duration) *Generator {
	return &Generator{clock: c, margin: margin}
}

// SetLease accepts a grant. requestedAt was read from the clock before the request was sent, so the holder's lease
// never outlasts the group's.
func (g *Generator) SetLease(grant workerid.Grant, requestedAt clock.Mark) {
	duration := time.Duration(grant.LeaseExpiry-grant.Now) * time.Millisecond
	next := &leaseWindow{
		worker: grant.WorkerID, grantedTime: grant.Now, grantedAt: requestedAt,
		floor: grant.Floor, latest: grant.LeaseExpiry, expiry: requestedAt + clock.Mark(duration-g.margin),
	}
	if current := g.lease.Load(); current != nil {
		if current.worker != grant.WorkerID {
			// Another worker id starts another sequence of ids; the old one's last id must not delay it.
			g.last.Store(0)
		} else {
			// The group's time may lag the holder's after an election; the holder's own continues, bounded by latest.
			next.grantedTime = max(next.grantedTime, current.groupTime(requestedAt))
		}
	}
	g.lease.Store(next)
}

// ReleaseLease drops the lease. It gives the worker id and the timestamp of the last id generated under it; false where
// there was no lease.
func (g *Generator) ReleaseLease() (ident.WorkerID, ident.GroupTime, bool) {
	released := g.lease.Swap(nil)
	if released == nil {
		return 0, 0, false
	}
	return released.worker, ident.GroupTime(g.last.Load()>>sequenceBits) + BaseTime, true
}

// HasLease says whether there is a lease that has not expired on this machine's clock.
func (g *Generator) HasLease() bool {
	lease := g.lease.Load()
	return lease != nil && g.clock.Elapsed() < lease.expiry
}

// WorkerID is the worker id of the lease; false where there is none or it has expired.
func (g *Generator) WorkerID() (ident.WorkerID, bool) {
	lease := g.lease.Load()
	if lease == nil || g.clock.Elapsed() >= lease.expiry {
		return 0, false
	}
	return lease.worker, true
}

// LatestTimestamp is the latest timestamp that the lease allows; zero without one.
func (g *Generator) LatestTimestamp() ident.GroupTime {
	if lease := g.lease.Load(); lease != nil {
		return lease.latest
	}
	return 0
}

// Rejections counts the calls of Next that gave no id.
func (g *Generator) Rejections() uint64 { return g.rejections.Load() }

// Next generates the next id, or says why there is none.
func (g *Generator) Next() (ident.SnowflakeID, Outcome) {
	for {
		lease := g.lease.Load()
		now := g.clock.Elapsed()
		if lease == nil || now >= lease.expiry {
			g.rejections.Add(1)
			return 0, NoLease
		}
		at := lease.groupTime(now)
		// Outside the window an id could equal one of another holder, so that is an error and not a wait.
		if at <= lease.floor || at > lease.latest || at <= BaseTime {
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
				// The millisecond's sequence is exhausted: spin until the next one.
				continue
			}
			next = last + 1
		}
		if !g.last.CompareAndSwap(last, next) {
			continue
		}
		// The window may have been replaced or dropped meanwhile; only under the one still in force is the id unique.
		if g.lease.Load() != lease {
			continue
		}
		return ident.SnowflakeID(stamp<<(workerBits+sequenceBits) | uint64(lease.worker)<<sequenceBits | next&sequenceMask), Generated
	}
}

// Decompose gives the parts of an id.
func Decompose(id ident.SnowflakeID) (at ident.GroupTime, worker ident.WorkerID, sequence int) {
	raw := uint64(id)
	return ident.GroupTime(raw>>(workerBits+sequenceBits)) + BaseTime,
		ident.WorkerID(raw >> sequenceBits & (1<<workerBits - 1)), int(raw & sequenceMask)
}
