package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// missedHeartbeats is after how many heartbeat periods without one an engine is timed out.
	missedHeartbeats = 3.5
	// retainUnusableFor is how long an engine that can't be used any more is kept, so that a daemon that was cut off for a
	// while learns of its end.
	retainUnusableFor = 10 * time.Minute
	// maxUnusable bounds how many of them are kept; those with the oldest heartbeats go first.
	maxUnusable = 4096
)

// Connectivity is how well a control daemon gets the heartbeats that the others receive.
type Connectivity struct {
	// CanDetectTimeouts is false where it is cut off, so that missing heartbeats may well have come elsewhere.
	CanDetectTimeouts bool
	// Horizon is the moment up to which all heartbeats received by other control daemons are known here.
	Horizon clock.Mark
}

// Tick lets time pass, with engines sending a heartbeat every period: it times engines out where this daemon can know,
// publishes load figures whose interval is over, and removes engines that nobody needs any more.
func (c *Core) Tick(now clock.Mark, heartbeatPeriod time.Duration, connectivity Connectivity) {
	c.heartbeatPeriod = heartbeatPeriod
	// A daemon that was not running received nothing meanwhile.
	if now.Since(c.lastTick) > max(2*c.heartbeatPeriod, time.Second) {
		c.receivingSince = now
	}
	c.lastTick = now
	due := c.dueAt(now, connectivity)
	for _, state := range due.loadsPending {
		c.publishLoads(now, state, true)
	}
	for _, state := range due.missedHeartbeats {
		state.timedOut = true
		c.recordUrgentChange(state)
	}
	for _, state := range due.succeeded {
		c.setDraining(now, state, true)
	}
	if len(due.unusable) > maxUnusable {
		slices.SortFunc(due.unusable, func(a, b *engineState) int {
			return cmp.Or(cmp.Compare(a.lastHeartbeat, b.lastHeartbeat), cmp.Compare(a.registration.ID, b.registration.ID))
		})
		due.expired = due.unusable[:len(due.unusable)-maxUnusable]
	}
	for _, state := range due.expired {
		c.remove(state)
	}
}

// due is what one tick finds to be done.
type due struct {
	loadsPending []*engineState
	// missedHeartbeats are to be timed out, succeeded were and have a successor.
	missedHeartbeats, succeeded []*engineState
	// unusable engines get nothing new; expired are those among them that are no longer kept.
	unusable, expired []*engineState
}

// dueAt looks through all engines and changes none, since a change moves an engine in the list that it reads.
func (c *Core) dueAt(now clock.Mark, connectivity Connectivity) (out due) {
	limit := time.Duration(missedHeartbeats * float64(c.heartbeatPeriod))
	horizon := min(now, connectivity.Horizon)
	canDetect := c.control && connectivity.CanDetectTimeouts && now.Since(c.receivingSince) >= 2*c.heartbeatPeriod
	for element := c.byChange.Front(); element != nil; element = element.Next() {
		state := element.Value.(*engineState)
		// What did not come before this daemon was receiving, or knew the engine, proves nothing.
		quiet := horizon.Since(max(state.lastHeartbeat, state.firstSeen, c.receivingSince))
		if canDetect && state.registered && !state.deregistered && quiet > limit {
			switch {
			case !state.timedOut:
				out.missedHeartbeats = append(out.missedHeartbeats, state)
			case c.hasSuccessor(state):
				out.succeeded = append(out.succeeded, state)
			}
		}
		if state.sameZoneLoad.pending || state.otherZoneLoad.pending {
			out.loadsPending = append(out.loadsPending, state)
		}
		if state.deregistered || state.timedOut || !state.registered {
			out.unusable = append(out.unusable, state)
			if now.Since(state.lastHeartbeat) > retainUnusableFor {
				out.expired = append(out.expired, state)
			}
		}
	}
	return out
}

// hasSuccessor reports whether another engine has sent a later heartbeat from a timed out one's address.
func (c *Core) hasSuccessor(state *engineState) bool {
	return slices.ContainsFunc(c.byAddress[state.registration.Address], func(id ident.EngineID) bool {
		other := c.engines[id]
		return other != state && !other.timedOut && !other.deregistered && other.lastHeartbeat > state.lastHeartbeat
	})
}
