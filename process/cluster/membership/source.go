package membership

import (
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// maxSources bounds the addresses for which it is remembered what was learned there.
const maxSources = 1024

// source is what was learned at one address.
type source struct {
	cursor Cursor
	// vouchedUntil is up to when it vouches for those it does not call late.
	vouchedUntil clock.Mark
	vouchesFor   map[ident.NodeID]bool
	// servesControl says that it serves control, rowKnown which version of this daemon's own row it knows.
	servesControl          bool
	knownAttributesVersion uint64
	failedAt               clock.Mark
	// told says that it tells up to when its news is confirmed, stale that this was too long ago when it last
	// answered, wasConfirmed that it ever was not.
	told, stale, wasConfirmed bool
}

func (c *MemberList) sourceAt(address string) *source {
	p := c.sources[address]
	if p == nil {
		if len(c.sources) >= maxSources {
			clear(c.sources)
		}
		p = &source{vouchesFor: map[ident.NodeID]bool{}}
		c.sources[address] = p
	}
	return p
}

// Failed notes that nobody answered at an address.
func (c *MemberList) RecordFailure(now clock.Mark, address string) {
	c.sourceAt(address).failedAt = now
}

// releaseVouches ends all that a peer vouched for at the moment up to which it did.
func (c *MemberList) releaseVouches(p *source) {
	for id := range p.vouchesFor {
		if e := c.entries[id]; e != nil {
			e.contactFloor = max(e.contactFloor, p.vouchedUntil)
		}
	}
	clear(p.vouchesFor)
	p.vouchedUntil = 0
}

// LastControlContact is when any control daemon last answered with its list.
func (c *MemberList) LastControlContact() (heard clock.Mark) {
	for _, p := range c.sources {
		if p.servesControl {
			heard = max(heard, p.vouchedUntil)
		}
	}
	return heard
}
