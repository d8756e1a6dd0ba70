package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// overdueSlack is how much later than it said a daemon may ask again before others are told that it is late.
	overdueSlack = 450 * time.Millisecond
	// endedQuarantine is for how long others' word that a life lives, which another life has followed, is not believed.
	endedQuarantine = 3 * time.Second
	forgetAfter     = 60 * time.Second
)

// vouchValidFor is how long a control daemon's list is believed to be up to date after its last word.
const vouchValidFor = 1200 * time.Millisecond

// lastContact is when a life was last heard, by whoever vouches for it.
func (c *MemberList) lastContact(e *entry) clock.Mark {
	heard := e.contactFloor
	for _, p := range c.sources {
		if p.vouchedUntil > heard && p.vouchesFor[e.record.NodeID] {
			heard = p.vouchedUntil
		}
	}
	return heard
}

// updateLiveness looks whether a life has come to be late, or is so no more.
func (c *MemberList) updateLiveness(now clock.Mark, e *entry) {
	first := e.lastPull > 0 && now.Since(e.lastPull) <= e.pullInterval+overdueSlack
	second := false
	if !first && c.servesControl {
		for _, p := range c.sources {
			second = second || p.servesControl && p.vouchesFor[e.record.NodeID] && now.Since(p.vouchedUntil) <= vouchValidFor
		}
	}
	late := !first && !second || e.endedAt > 0
	if late != e.overdue || second != e.secondHand {
		e.overdue, e.secondHand = late, second
		c.recordStatusChange(e)
	}
}

// endPredecessors ends all other lives with an entry's name or address.
func (c *MemberList) endPredecessors(heard clock.Mark, e *entry) {
	for _, other := range c.entries {
		if other == e || other.endedAt > 0 || !sameDaemon(other.record.Member, e.record.Member) {
			continue
		}
		other.contactFloor, other.endedAt = c.lastContact(other), heard
		for _, p := range c.sources {
			delete(p.vouchesFor, other.record.NodeID)
		}
		// It follows another life, so what that one knew is gone.
		e.record.FirstContact = heard
		c.recordStatusChange(other)
	}
}

// Sweep lets time pass: it looks who is late, and forgets those last heard before a moment.
func (c *MemberList) Sweep(now, forgetBefore clock.Mark) {
	for at := c.byChange.Front(); at != nil; {
		e, next := at.Value.(*entry), at.Next()
		if c.lastContact(e) < forgetBefore && e.record.NodeID != c.self {
			c.byChange.Remove(at)
			delete(c.entries, e.record.NodeID)
			c.cachedMembers = nil
			for _, p := range c.sources {
				delete(p.vouchesFor, e.record.NodeID)
			}
		}
		at = next
	}
	for _, e := range c.entries {
		c.updateLiveness(now, e)
	}
	for address, p := range c.sources {
		if max(p.vouchedUntil, p.failedAt) < forgetBefore {
			c.releaseVouches(p)
			delete(c.sources, address)
		}
	}
}
