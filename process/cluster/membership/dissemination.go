package membership

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// ChangesSince gives what changed since a cursor.
func (c *MemberList) ChangesSince(now clock.Mark, cursor Cursor) (told []MemberUpdate, next Cursor, afresh bool) {
	return c.changesSince(now, cursor, false)
}

// StatusChangesSince leaves out who changed only in what it has in force: with each bundle that is everyone, and only
// control daemons go by it.
func (c *MemberList) StatusChangesSince(now clock.Mark, cursor Cursor) (told []MemberUpdate, next Cursor, afresh bool) {
	return c.changesSince(now, cursor, true)
}

func (c *MemberList) changesSince(now clock.Mark, cursor Cursor, solid bool) (told []MemberUpdate, next Cursor, afresh bool) {
	seen := cursor.Seen
	if cursor.Incarnation != string(c.self) || seen > c.changeIndex {
		seen, afresh = 0, true
	}
	for at := c.byChange.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*entry)
		if e.changeIndex <= seen {
			break
		}
		if afresh && e.endedAt > 0 || solid && e.statusChangeIndex <= seen {
			continue
		}
		told = append(told, MemberUpdate{MemberRecord: e.record, Age: now.Since(c.lastContact(e)), Overdue: e.overdue, FirstHand: !e.secondHand, Ended: e.endedAt > 0})
	}
	slices.Reverse(told)
	return told, Cursor{Incarnation: string(c.self), Seen: c.changeIndex}, afresh
}

// AllWithin gives all who were heard within a window, for whoever must know their ages.
func (c *MemberList) AllWithin(now clock.Mark, window time.Duration) (told []MemberUpdate) {
	for at := c.byChange.Front(); at != nil; at = at.Next() {
		e := at.Value.(*entry)
		if age := now.Since(c.lastContact(e)); e.endedAt == 0 && age <= window {
			told = append(told, MemberUpdate{MemberRecord: e.record, Age: age})
		}
	}
	return told
}

// PullCursor is the cursor to ask at an address with, and whether this daemon's own row need be told there.
func (c *MemberList) PullCursor(address string) (cursor Cursor, tellRow bool) {
	p := c.sources[address]
	if p == nil {
		return Cursor{}, true
	}
	own := c.entries[c.self]
	return p.cursor, own == nil || p.knownAttributesVersion != own.record.Version
}

// SetKnownAttributes notes which version of this daemon's row is known at an address.
func (c *MemberList) SetKnownAttributes(address string, version uint64) {
	c.sourceAt(address).knownAttributesVersion = version
}

// MergeAll takes all that another daemon knows, with their ages, as told at a moment.
func (c *MemberList) MergeAll(now clock.Mark, told []MemberUpdate) {
	for _, one := range told {
		if one.NodeID == c.self || one.NodeID == "" || one.Age < 0 {
			continue
		}
		if e, heard := c.findOrAdd(now, one, now-clock.Mark(one.Age)); e != nil {
			e.contactFloor = max(e.contactFloor, heard)
			c.updateLiveness(now, e)
		}
	}
}

// Learn takes what changed at an address; until says up to when those who are not late there are vouched for.
func (c *MemberList) Merge(now clock.Mark, address string, next Cursor, afresh bool, told []MemberUpdate, until clock.Mark) {
	p := c.sourceAt(address)
	if afresh || next.Incarnation != p.cursor.Incarnation {
		c.releaseVouches(p)
	}
	if next.Incarnation == p.cursor.Incarnation {
		next.Seen = max(next.Seen, p.cursor.Seen)
	}
	p.cursor, p.failedAt = next, 0
	p.vouchedUntil = max(p.vouchedUntil, until)
	// Ends come first, so that who follows is not taken for who went.
	for _, one := range told {
		if e := c.entries[one.NodeID]; one.Ended && e != nil && e.endedAt == 0 && one.NodeID != c.self {
			e.contactFloor, e.endedAt = min(c.lastContact(e), now-clock.Mark(one.Age)), now
			for _, other := range c.sources {
				delete(other.vouchesFor, one.NodeID)
			}
			c.recordStatusChange(e)
		}
	}
	for _, one := range told {
		if one.NodeID == c.self || one.NodeID == "" || one.Ended {
			continue
		}
		heard := now - clock.Mark(max(0, one.Age))
		vouched := !one.Overdue && (one.FirstHand || !c.servesControl)
		if vouched {
			heard = max(heard, until)
		}
		e, heard := c.findOrAdd(now, one, heard)
		if e == nil {
			continue
		}
		switch {
		case vouched:
			p.vouchesFor[one.NodeID] = true
		case p.vouchesFor[one.NodeID]:
			delete(p.vouchesFor, one.NodeID)
			// What was taken for granted meanwhile is taken back.
			e.contactFloor = max(e.contactFloor, heard)
		default:
			e.contactFloor = max(e.contactFloor, heard)
		}
		c.updateLiveness(now, e)
	}
	if own := c.entryAt(address); own != nil {
		p.servesControl = own.record.Serves(controlRole)
	}
}

// findOrAdd finds or makes the entry of a life that another told of; nil where it counts for nothing.
func (c *MemberList) findOrAdd(now clock.Mark, one MemberUpdate, heard clock.Mark) (*entry, clock.Mark) {
	e := c.entries[one.NodeID]
	if e != nil && e.endedAt > 0 && now.Since(e.endedAt) <= endedQuarantine {
		return nil, heard
	}
	if e == nil || e.endedAt > 0 {
		// Of two lives with one name or one address the one heard later is the one that lives.
		for _, other := range c.entries {
			if other != e && other.endedAt == 0 && sameDaemon(other.record.Member, one.Member) && c.lastContact(other) > heard {
				return nil, heard
			}
		}
		if e == nil {
			e = c.addEntry(heard, one.MemberRecord)
		} else {
			e.endedAt = 0
			c.endPredecessors(heard, e)
			c.recordStatusChange(e)
		}
	}
	row := one.MemberRecord
	row.HasAttributes = true
	c.mergeRecord(e, row)
	return e, heard
}
