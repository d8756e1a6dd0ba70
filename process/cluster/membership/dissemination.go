package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// ChangesSince gives what changed since a cursor.
func (l *MemberList) ChangesSince(now clock.Mark, cursor Cursor) (updates []MemberUpdate, next Cursor, fullResync bool) {
	return l.changesSince(now, cursor, false)
}

// StatusChangesSince leaves out who changed only in what it has in force: with each bundle that is everyone, and only
// control daemons go by it.
func (l *MemberList) StatusChangesSince(now clock.Mark, cursor Cursor) (updates []MemberUpdate, next Cursor, fullResync bool) {
	return l.changesSince(now, cursor, true)
}

func (l *MemberList) changesSince(now clock.Mark, cursor Cursor, statusOnly bool) (updates []MemberUpdate, next Cursor, fullResync bool) {
	seen := cursor.Seen
	if cursor.Incarnation != string(l.self) || seen > l.changeIndex {
		seen, fullResync = 0, true
	}
	for element := l.byChange.Back(); element != nil; element = element.Prev() {
		entry := element.Value.(*memberEntry)
		if entry.changeIndex <= seen {
			break
		}
		if fullResync && entry.endedAt > 0 || statusOnly && entry.statusChangeIndex <= seen {
			continue
		}
		updates = append(updates, MemberUpdate{MemberRecord: entry.record, Age: now.Since(l.lastContact(entry)), Overdue: entry.overdue, FirstHand: !entry.secondHand, Ended: entry.endedAt > 0})
	}
	slices.Reverse(updates)
	return updates, Cursor{Incarnation: string(l.self), Seen: l.changeIndex}, fullResync
}

// AllWithin gives all who were heard within a window, for whoever must know their ages.
func (l *MemberList) AllWithin(now clock.Mark, window time.Duration) (updates []MemberUpdate) {
	for element := l.byChange.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*memberEntry)
		if age := now.Since(l.lastContact(entry)); entry.endedAt == 0 && age <= window {
			updates = append(updates, MemberUpdate{MemberRecord: entry.record, Age: age})
		}
	}
	return updates
}

// PullCursor is the cursor to ask at an address with, and whether this daemon's own row need be told there.
func (l *MemberList) PullCursor(address string) (cursor Cursor, sendAttributes bool) {
	source := l.sources[address]
	if source == nil {
		return Cursor{}, true
	}
	own := l.entries[l.self]
	return source.cursor, own == nil || source.knownAttributesVersion != own.record.Version
}

// SetKnownAttributes notes which version of this daemon's row is known at an address.
func (l *MemberList) SetKnownAttributes(address string, version uint64) {
	l.sourceAt(address).knownAttributesVersion = version
}

// MergeAll takes all that another daemon knows, with their ages, as told at a moment.
func (l *MemberList) MergeAll(now clock.Mark, updates []MemberUpdate) {
	for _, update := range updates {
		if update.NodeID == l.self || update.NodeID == "" || update.Age < 0 {
			continue
		}
		if entry, contact := l.findOrAdd(now, update, now-clock.Mark(update.Age)); entry != nil {
			entry.contactFloor = max(entry.contactFloor, contact)
			l.updateLiveness(now, entry)
		}
	}
}

// Learn takes what changed at an address; until says up to when those who are not late there are vouched for.
func (l *MemberList) Merge(now clock.Mark, address string, next Cursor, fullResync bool, updates []MemberUpdate, vouchedUntil clock.Mark) {
	source := l.sourceAt(address)
	if fullResync || next.Incarnation != source.cursor.Incarnation {
		l.releaseVouches(source)
	}
	if next.Incarnation == source.cursor.Incarnation {
		next.Seen = max(next.Seen, source.cursor.Seen)
	}
	source.cursor, source.failedAt = next, 0
	source.vouchedUntil = max(source.vouchedUntil, vouchedUntil)
	// Ends come first, so that who follows is not taken for who went.
	for _, update := range updates {
		if entry := l.entries[update.NodeID]; update.Ended && entry != nil && entry.endedAt == 0 && update.NodeID != l.self {
			entry.contactFloor, entry.endedAt = min(l.lastContact(entry), now-clock.Mark(update.Age)), now
			for _, other := range l.sources {
				delete(other.vouchesFor, update.NodeID)
			}
			l.recordStatusChange(entry)
		}
	}
	for _, update := range updates {
		if update.NodeID == l.self || update.NodeID == "" || update.Ended {
			continue
		}
		contact := now - clock.Mark(max(0, update.Age))
		vouched := !update.Overdue && (update.FirstHand || !l.servesControl)
		if vouched {
			contact = max(contact, vouchedUntil)
		}
		entry, contact := l.findOrAdd(now, update, contact)
		if entry == nil {
			continue
		}
		switch {
		case vouched:
			source.vouchesFor[update.NodeID] = true
		case source.vouchesFor[update.NodeID]:
			delete(source.vouchesFor, update.NodeID)
			// What was taken for granted meanwhile is taken back.
			entry.contactFloor = max(entry.contactFloor, contact)
		default:
			entry.contactFloor = max(entry.contactFloor, contact)
		}
		l.updateLiveness(now, entry)
	}
	if own := l.entryAt(address); own != nil {
		source.servesControl = own.record.Serves(controlRole)
	}
}

// findOrAdd finds or makes the entry of a life that another told of; nil where it counts for nothing.
func (l *MemberList) findOrAdd(now clock.Mark, update MemberUpdate, contact clock.Mark) (*memberEntry, clock.Mark) {
	entry := l.entries[update.NodeID]
	if entry != nil && entry.endedAt > 0 && now.Since(entry.endedAt) <= endedQuarantine {
		return nil, contact
	}
	if entry == nil || entry.endedAt > 0 {
		// Of two lives with one name or one address the one heard later is the one that lives.
		for _, other := range l.entries {
			if other != entry && other.endedAt == 0 && sameDaemon(other.record.Member, update.Member) && l.lastContact(other) > contact {
				return nil, contact
			}
		}
		if entry == nil {
			entry = l.addEntry(contact, update.MemberRecord)
		} else {
			entry.endedAt = 0
			l.endPredecessors(contact, entry)
			l.recordStatusChange(entry)
		}
	}
	record := update.MemberRecord
	record.HasAttributes = true
	l.mergeRecord(entry, record)
	return entry, contact
}
