package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/cluster/affinity"
)

const (
	// failedLinkBackoff is for how long a daemon that did not answer is not chosen again for a second link.
	failedLinkBackoff = 3 * time.Second
	// linkWindow is how lately a control daemon must have been heard of to be asked.
	linkWindow = 10 * time.Second
)

// Links lists the addresses to ask again and again. A control daemon asks all others of its kind, since only
// together they know who lives and which engines are silent. Any other asks the leader, whoever plans, and one
// more, so that news reaches it while the leader is frozen or cut off.
func (c *MemberList) Links(now clock.Mark, leader, planner string) []string {
	var out []string
	control := c.controlAddresses(now)
	add := func(address string) {
		if address != "" && address != c.address && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	add(leader)
	if c.servesControl {
		for _, address := range control {
			add(address)
		}
		return out
	}
	add(planner)
	add(c.secondLink(now, leader, control))
	if leader == "" || c.Unconfirmed(now) {
		// Only the leader's own word tells of it where it has failed to answer once; and sources that answer as well
		// as before may all be cut off from the group.
		for _, address := range control {
			add(address)
		}
		for _, address := range c.memberAddresses {
			add(address)
		}
	}
	return out
}

// control lists the addresses of the other control daemons that were heard of lately.
func (c *MemberList) controlAddresses(now clock.Mark) []string {
	var out []string
	for _, e := range c.entries {
		if e.endedAt == 0 && e.record.Address != c.address && e.record.Serves(controlRole) && now.Since(c.lastContact(e)) <= linkWindow {
			out = append(out, e.record.Address)
		}
	}
	slices.Sort(out)
	return out
}

// second is the control daemon beside the leader that is asked again and again: one of the own zone if there is
// any. It is chosen by weight, so that the links of a fleet are spread, and stay where they are.
func (c *MemberList) secondLink(now clock.Mark, leader string, control []string) string {
	sound := slices.DeleteFunc(slices.Clone(control), func(address string) bool {
		p := c.sources[address]
		return address == leader || p != nil && (p.stale || p.failedAt > 0 && now.Since(p.failedAt) <= failedLinkBackoff)
	})
	if near := slices.DeleteFunc(slices.Clone(sound), func(address string) bool { return !c.inOwnZone(address) || !c.leaderVouchesFor(leader, address) }); len(near) > 0 {
		sound = near
	}
	chosen, _ := affinity.Owners("link "+c.address, sound)
	return chosen
}

// inOwnZone says whether a daemon of this one's zone is at an address.
func (c *MemberList) inOwnZone(address string) bool {
	own, other := c.entries[c.self], c.entryAt(address)
	return own != nil && other != nil && own.record.Zone == other.record.Zone
}

// leaderVouchesFor says whether the leader hears from a control daemon. One that is cut off from the group answers as
// well as before, and knows nothing new.
func (c *MemberList) leaderVouchesFor(leader, address string) bool {
	p, other := c.sources[leader], c.entryAt(address)
	return leader == "" || p != nil && other != nil && p.vouchesFor[other.record.NodeID]
}

// Relay is whom a daemon that only routes asks for all that is new; of others it asks what is urgent only. All
// control daemons in touch with the leader know the same, and what goes from zone to zone is dear: so it is the
// leader only where none of them is nearer.
func (c *MemberList) Relay(now clock.Mark, leader string) string {
	if leader != "" && c.inOwnZone(leader) {
		return leader
	}
	if second := c.secondLink(now, leader, c.controlAddresses(now)); second != "" && c.inOwnZone(second) && c.leaderVouchesFor(leader, second) {
		return second
	}
	return leader
}
