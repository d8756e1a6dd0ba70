package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// ChangesSince returns the members that changed after a cursor, and the cursor that follows. fullResync says that the
// cursor is not one of this list, and that all members are returned.
func (l *MemberList) ChangesSince(now clock.Mark, cursor Cursor) (updates []MemberUpdate, next Cursor, fullResync bool) {
	return l.changesSince(now, cursor, false)
}

// StatusChangesSince is ChangesSince without members that changed only in the versions that they have in force. Each
// rollout changes those of all members, and only control daemons depend on them.
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
		updates = append(updates, MemberUpdate{
			MemberRecord: entry.record, Age: now.Since(l.lastContact(entry)),
			Overdue: entry.overdue, FirstHand: !entry.secondHand, Ended: entry.endedAt > 0,
		})
	}
	slices.Reverse(updates)
	return updates, Cursor{Incarnation: string(l.self), Seen: l.changeIndex}, fullResync
}

// AllWithin returns all members with a contact within a window, for a caller that needs their ages.
func (l *MemberList) AllWithin(now clock.Mark, window time.Duration) (updates []MemberUpdate) {
	for element := l.byChange.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*memberEntry)
		if age := now.Since(l.lastContact(entry)); entry.endedAt == 0 && age <= window {
			updates = append(updates, MemberUpdate{MemberRecord: entry.record, Age: age})
		}
	}
	return updates
}

// PullCursor returns the cursor for a pull from an address, and whether this daemon's attributes must go with it.
func (l *MemberList) PullCursor(address string) (cursor Cursor, sendAttributes bool) {
	source := l.sources[address]
	if source == nil {
		return Cursor{}, true
	}
	own := l.entries[l.self]
	return source.cursor, own == nil || source.knownAttributesVersion != own.record.Version
}

// SetKnownAttributes records the version of this daemon's attributes that is known at an address.
func (l *MemberList) SetKnownAttributes(address string, version uint64) {
	l.sourceAt(address).knownAttributesVersion = version
}

// MergeAll merges the result of a peer's AllWithin. Contacts are taken by their ages, so that they get no more recent by
// being passed round.
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

// Merge merges the changes in a reply from an address, which vouches for its members that are not overdue up to
// vouchedUntil.
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
	// Ends come first, so that an incarnation is not rejected in favour of the one that it replaced.
	for _, update := range updates {
		if update.Ended {
			l.mergeEnd(now, update)
		}
	}
	for _, update := range updates {
		if update.NodeID != l.self && update.NodeID != "" && !update.Ended {
			l.mergeUpdate(now, source, update, vouchedUntil)
		}
	}
	if entry := l.entryAt(address); entry != nil {
		source.servesControl = entry.record.Serves(controlRole)
	}
}

// mergeEnd takes a report that an incarnation was replaced.
func (l *MemberList) mergeEnd(now clock.Mark, update MemberUpdate) {
	entry := l.entries[update.NodeID]
	if entry == nil || entry.endedAt > 0 || update.NodeID == l.self {
		return
	}
	entry.contactFloor, entry.endedAt = min(l.lastContact(entry), now-clock.Mark(update.Age)), now
	l.dropVouches(update.NodeID)
	l.recordStatusChange(entry)
}

// mergeUpdate takes a source's report of a current incarnation. Among control daemons a source vouches only for members
// that it knows at first hand: otherwise two of them could keep a stopped daemon alive by reporting it to each other.
func (l *MemberList) mergeUpdate(now clock.Mark, source *pullSource, update MemberUpdate, vouchedUntil clock.Mark) {
	contact := now - clock.Mark(max(0, update.Age))
	vouched := !update.Overdue && (update.FirstHand || !l.servesControl)
	if vouched {
		contact = max(contact, vouchedUntil)
	}
	entry, contact := l.findOrAdd(now, update, contact)
	if entry == nil {
		return
	}
	if vouched {
		source.vouchesFor[update.NodeID] = true
	} else {
		// The contact that the vouch implied until now is replaced by the reported one.
		delete(source.vouchesFor, update.NodeID)
		entry.contactFloor = max(entry.contactFloor, contact)
	}
	l.updateLiveness(now, entry)
}

// findOrAdd returns the entry of an incarnation that a peer reported, with the report merged; nil if the report is
// ignored, since the incarnation was replaced.
func (l *MemberList) findOrAdd(now clock.Mark, update MemberUpdate, contact clock.Mark) (*memberEntry, clock.Mark) {
	entry := l.entries[update.NodeID]
	if entry != nil && entry.endedAt > 0 && now.Since(entry.endedAt) <= endedQuarantine {
		return nil, contact
	}
	if entry == nil || entry.endedAt > 0 {
		// Of two incarnations of one daemon the one with the later contact is the current one.
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
