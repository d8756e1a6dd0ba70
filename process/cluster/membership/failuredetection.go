package membership

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

const (
	// overdueSlack is how much later than its interval a member may pull before it is disseminated as overdue.
	overdueSlack = 450 * time.Millisecond
	// endedQuarantine is how long indirect reports of an incarnation that was replaced are ignored.
	endedQuarantine = 3 * time.Second
	// forgetAfter is how long after its last contact a member is removed.
	forgetAfter = 60 * time.Second
	// vouchValidFor is how long a control daemon's list counts as up to date after its last reply.
	vouchValidFor = 1200 * time.Millisecond
)

// lastContact returns the last known contact with a member, direct or by a source that vouches for it.
func (l *MemberList) lastContact(entry *memberEntry) clock.Mark {
	latest := entry.contactFloor
	for _, source := range l.sources {
		if source.vouchedUntil > latest && source.vouchesFor[entry.record.NodeID] {
			latest = source.vouchedUntil
		}
	}
	return latest
}

// updateLiveness sets whether a member is overdue. On a control daemon one that does not pull here is not overdue while
// another control daemon vouches for it; it is then known at second hand, and not passed on to control daemons.
func (l *MemberList) updateLiveness(now clock.Mark, entry *memberEntry) {
	firstHand := entry.lastPull > 0 && now.Since(entry.lastPull) <= entry.pullInterval+overdueSlack
	secondHand := false
	if !firstHand && l.servesControl {
		for _, source := range l.sources {
			current := source.servesControl && now.Since(source.vouchedUntil) <= vouchValidFor
			secondHand = secondHand || current && source.vouchesFor[entry.record.NodeID]
		}
	}
	overdue := !firstHand && !secondHand || entry.endedAt > 0
	if overdue != entry.overdue || secondHand != entry.secondHand {
		entry.overdue, entry.secondHand = overdue, secondHand
		l.recordStatusChange(entry)
	}
}

// endPredecessors ends all other incarnations with an entry's name or address.
func (l *MemberList) endPredecessors(at clock.Mark, entry *memberEntry) {
	for _, other := range l.entries {
		if other == entry || other.endedAt > 0 || !sameDaemon(other.record.Member, entry.record.Member) {
			continue
		}
		other.contactFloor, other.endedAt = l.lastContact(other), at
		l.dropVouches(other.record.NodeID)
		// What the replaced incarnation held in memory is gone.
		entry.record.FirstContact = at
		l.recordStatusChange(other)
	}
}

// Sweep detects failures as time passes: it removes members without contact since forgetBefore, and marks the overdue.
func (l *MemberList) Sweep(now, forgetBefore clock.Mark) {
	for element := l.byChange.Front(); element != nil; {
		entry, next := element.Value.(*memberEntry), element.Next()
		if l.lastContact(entry) < forgetBefore && entry.record.NodeID != l.self {
			l.byChange.Remove(element)
			delete(l.entries, entry.record.NodeID)
			l.cachedMembers = nil
			l.dropVouches(entry.record.NodeID)
		}
		element = next
	}
	for _, entry := range l.entries {
		l.updateLiveness(now, entry)
	}
	for address, source := range l.sources {
		if max(source.vouchedUntil, source.failedAt) < forgetBefore {
			l.releaseVouches(source)
			delete(l.sources, address)
		}
	}
}
