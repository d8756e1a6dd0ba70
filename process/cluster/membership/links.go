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
func (l *MemberList) Links(now clock.Mark, leader, planner string) []string {
	var links []string
	control := l.controlAddresses(now)
	add := func(address string) {
		if address != "" && address != l.address && !slices.Contains(links, address) {
			links = append(links, address)
		}
	}
	add(leader)
	if l.servesControl {
		for _, address := range control {
			add(address)
		}
		return links
	}
	add(planner)
	add(l.secondLink(now, leader, control))
	if leader == "" || l.Unconfirmed(now) {
		// Only the leader's own word tells of it where it has failed to answer once; and sources that answer as well
		// as before may all be cut off from the group.
		for _, address := range control {
			add(address)
		}
		for _, address := range l.memberAddresses {
			add(address)
		}
	}
	return links
}

// controlAddresses lists the addresses of the other control daemons that were heard of lately.
func (l *MemberList) controlAddresses(now clock.Mark) []string {
	var addresses []string
	for _, entry := range l.entries {
		if entry.endedAt == 0 && entry.record.Address != l.address && entry.record.Serves(controlRole) && now.Since(l.lastContact(entry)) <= linkWindow {
			addresses = append(addresses, entry.record.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// secondLink is the control daemon beside the leader that is asked again and again: one of the own zone if there is
// any. It is chosen by weight, so that the links of a fleet are spread, and stay where they are.
func (l *MemberList) secondLink(now clock.Mark, leader string, control []string) string {
	candidates := slices.DeleteFunc(slices.Clone(control), func(address string) bool {
		source := l.sources[address]
		return address == leader || source != nil && (source.stale || source.failedAt > 0 && now.Since(source.failedAt) <= failedLinkBackoff)
	})
	if nearby := slices.DeleteFunc(slices.Clone(candidates), func(address string) bool { return !l.inOwnZone(address) || !l.leaderVouchesFor(leader, address) }); len(nearby) > 0 {
		candidates = nearby
	}
	chosen, _ := affinity.Owners("link "+l.address, candidates)
	return chosen
}

// inOwnZone says whether a daemon of this one's zone is at an address.
func (l *MemberList) inOwnZone(address string) bool {
	own, other := l.entries[l.self], l.entryAt(address)
	return own != nil && other != nil && own.record.Zone == other.record.Zone
}

// leaderVouchesFor says whether the leader hears from a control daemon. One that is cut off from the group answers as
// well as before, and knows nothing new.
func (l *MemberList) leaderVouchesFor(leader, address string) bool {
	source, other := l.sources[leader], l.entryAt(address)
	return leader == "" || source != nil && other != nil && source.vouchesFor[other.record.NodeID]
}

// Relay is whom a daemon that only routes asks for all that is new; of others it asks what is urgent only. All
// control daemons in touch with the leader know the same, and what goes from zone to zone is dear: so it is the
// leader only where none of them is nearer.
func (l *MemberList) Relay(now clock.Mark, leader string) string {
	if leader != "" && l.inOwnZone(leader) {
		return leader
	}
	if second := l.secondLink(now, leader, l.controlAddresses(now)); second != "" && l.inOwnZone(second) && l.leaderVouchesFor(leader, second) {
		return second
	}
	return leader
}
