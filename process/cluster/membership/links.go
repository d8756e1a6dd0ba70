package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// failedLinkBackoff is how long after a failed pull a control daemon is not chosen for the second link.
	failedLinkBackoff = 3 * time.Second
	// linkWindow is how recent the last contact with a control daemon must be to link to it.
	linkWindow = 10 * time.Second
)

// Links returns the addresses to keep long polls to. A control daemon links to all other control daemons, since only
// together they know which members and engines are alive. A routing daemon links to the leader, the planner and one
// more control daemon, so that updates reach it while the leader is frozen or partitioned off.
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
		// A leader that failed once is found again only by its own reply, so all must be asked; and sources may go on
		// to reply though they are partitioned from the group.
		for _, address := range control {
			add(address)
		}
		for _, address := range l.memberAddresses {
			add(address)
		}
	}
	return links
}

// controlAddresses returns the sorted addresses of the other control daemons with a recent contact.
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

// secondLink chooses a control daemon to link to beside the leader: one of the own zone that is in contact with the
// leader, if there is any. Rendezvous hashing spreads the links of a fleet and keeps them stable.
func (l *MemberList) secondLink(now clock.Mark, leader string, control []string) string {
	candidates := slices.DeleteFunc(slices.Clone(control), func(address string) bool {
		return address == leader || l.avoided(now, address)
	})
	nearby := slices.DeleteFunc(slices.Clone(candidates), func(address string) bool {
		return !l.inOwnZone(address) || !l.leaderVouchesFor(leader, address)
	})
	if len(nearby) > 0 {
		candidates = nearby
	}
	chosen, _ := affinity.Owners("link "+l.address, candidates)
	return chosen
}

// avoided reports whether a source is stale or failed lately.
func (l *MemberList) avoided(now clock.Mark, address string) bool {
	source := l.sources[address]
	if source == nil {
		return false
	}
	failed := source.failedAt > 0 && now.Since(source.failedAt) <= failedLinkBackoff
	return failed || source.freshness == peerapi.SourceFreshness_SOURCE_STALE
}

// inOwnZone reports whether the daemon at an address is in this one's zone.
func (l *MemberList) inOwnZone(address string) bool {
	own, other := l.entries[l.self], l.entryAt(address)
	return own != nil && other != nil && own.record.Zone == other.record.Zone
}

// leaderVouchesFor reports whether the leader is in contact with a control daemon. One that is partitioned from the
// group still replies, and knows nothing new. Without a known leader it is true.
func (l *MemberList) leaderVouchesFor(leader, address string) bool {
	source, other := l.sources[leader], l.entryAt(address)
	return leader == "" || source != nil && other != nil && source.vouchesFor[other.record.NodeID]
}

// Relay is the control daemon from which a routing daemon pulls all updates; from its other links it pulls only urgent
// ones. All control daemons in contact with the leader know the same, and traffic between zones is expensive, so it is
// the leader only if no other one is in the own zone.
func (l *MemberList) Relay(now clock.Mark, leader string) string {
	if leader != "" && l.inOwnZone(leader) {
		return leader
	}
	if second := l.secondLink(now, leader, l.controlAddresses(now)); second != "" && l.inOwnZone(second) && l.leaderVouchesFor(leader, second) {
		return second
	}
	return leader
}
