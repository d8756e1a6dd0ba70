package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	// missedBeats is how many periods without a beat make an engine silent.
	missedHeartbeats = 3.5
	// forgetAfter is how long an engine that can't be used any more is still told of, so that a daemon that was
	// out of touch for a while learns of its end.
	retainUnusableFor = 10 * time.Minute
	// mostEnded bounds those, mostLeft the ids that are known to have left.
	maxUnusable   = 4096
	maxDepartures = 8192
	// mostWanted is how many engines are asked for whole at once.
	maxRequestedRecords = 256
	// coldSlack is by how much the end of an engine's slow start may move before all are told.
	slowStartTolerance = time.Second
)

// Contact is how well a control daemon hears what the others hear.
type Connectivity struct {
	// May is false where it is cut off, so that missing beats may well have come elsewhere.
	CanDetectTimeouts bool
	// Horizon is the moment up to which all beats heard by the others are known here.
	Horizon clock.Mark
}

// Judge lets time pass, with engines beating every period: it decides who is silent, where this daemon can know, and forgets whom nobody needs.
func (c *Core) Tick(now clock.Mark, period time.Duration, contact Connectivity) {
	c.heartbeatPeriod = period
	// A daemon that stood still has missed what was said meanwhile.
	if now.Since(c.lastTick) > max(2*c.heartbeatPeriod, time.Second) {
		c.receivingSince = now
	}
	c.lastTick = now
	limit := time.Duration(missedHeartbeats * float64(c.heartbeatPeriod))
	horizon := min(now, contact.Horizon)
	mayJudge := c.control && contact.CanDetectTimeouts && now.Since(c.receivingSince) >= 2*c.heartbeatPeriod
	var ended, quieted, followed, forgotten, loaded []*engineState
	for at := c.byChange.Front(); at != nil; at = at.Next() {
		state := at.Value.(*engineState)
		// What was missed before this daemon listened, or knew the engine, says nothing.
		quiet := horizon.Since(max(state.lastHeartbeat, state.firstSeen, c.receivingSince))
		if mayJudge && state.registered && !state.deregistered && quiet > limit {
			switch {
			case !state.timedOut:
				quieted = append(quieted, state)
			case c.hasSuccessor(state):
				followed = append(followed, state)
			}
		}
		if state.sameZoneLoadPending || state.otherZoneLoadPending {
			loaded = append(loaded, state)
		}
		if state.deregistered || state.timedOut || !state.registered {
			ended = append(ended, state)
			if now.Since(state.lastHeartbeat) > retainUnusableFor {
				forgotten = append(forgotten, state)
			}
		}
	}
	for _, state := range loaded {
		c.publishLoads(now, state, true)
	}
	for _, state := range quieted {
		state.timedOut = true
		c.recordUrgentChange(state)
	}
	for _, state := range followed {
		c.setDraining(now, state, true)
	}
	if len(ended) > maxUnusable {
		slices.SortFunc(ended, func(a, b *engineState) int {
			return cmp.Or(cmp.Compare(a.lastHeartbeat, b.lastHeartbeat), cmp.Compare(a.registration.ID, b.registration.ID))
		})
		forgotten = ended[:len(ended)-maxUnusable]
	}
	for _, state := range forgotten {
		c.remove(state)
	}
}

// followed says whether another engine beats at a silent one's address.
func (c *Core) hasSuccessor(state *engineState) bool {
	return slices.ContainsFunc(c.byAddress[state.registration.Address], func(id ident.EngineID) bool {
		other := c.engines[id]
		return other != state && !other.timedOut && !other.deregistered && other.lastHeartbeat > state.lastHeartbeat
	})
}
