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
func (l *MemberList) lastContact(entry *memberEntry) clock.Mark {
	latest := entry.contactFloor
	for _, source := range l.sources {
		if source.vouchedUntil > latest && source.vouchesFor[entry.record.NodeID] {
			latest = source.vouchedUntil
		}
	}
	return latest
}

// updateLiveness looks whether a life has come to be late, or is so no more.
func (l *MemberList) updateLiveness(now clock.Mark, entry *memberEntry) {
	firstHand := entry.lastPull > 0 && now.Since(entry.lastPull) <= entry.pullInterval+overdueSlack
	secondHand := false
	if !firstHand && l.servesControl {
		for _, source := range l.sources {
			secondHand = secondHand || source.servesControl && source.vouchesFor[entry.record.NodeID] && now.Since(source.vouchedUntil) <= vouchValidFor
		}
	}
	overdue := !firstHand && !secondHand || entry.endedAt > 0
	if overdue != entry.overdue || secondHand != entry.secondHand {
		entry.overdue, entry.secondHand = overdue, secondHand
		l.recordStatusChange(entry)
	}
}

// endPredecessors ends all other lives with an entry's name or address.
func (l *MemberList) endPredecessors(at clock.Mark, entry *memberEntry) {
	for _, other := range l.entries {
		if other == entry || other.endedAt > 0 || !sameDaemon(other.record.Member, entry.record.Member) {
			continue
		}
		other.contactFloor, other.endedAt = l.lastContact(other), at
		for _, source := range l.sources {
			delete(source.vouchesFor, other.record.NodeID)
		}
		// It follows another life, so what that one knew is gone.
		entry.record.FirstContact = at
		l.recordStatusChange(other)
	}
}

// Sweep lets time pass: it looks who is late, and forgets those last heard before a moment.
func (l *MemberList) Sweep(now, forgetBefore clock.Mark) {
	for element := l.byChange.Front(); element != nil; {
		entry, next := element.Value.(*memberEntry), element.Next()
		if l.lastContact(entry) < forgetBefore && entry.record.NodeID != l.self {
			l.byChange.Remove(element)
			delete(l.entries, entry.record.NodeID)
			l.cachedMembers = nil
			for _, source := range l.sources {
				delete(source.vouchesFor, entry.record.NodeID)
			}
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
