package membership

import (
	"container/list"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// memberEntry is one life of a daemon.
type memberEntry struct {
	record MemberRecord
	// reportedVersion is the version of the row that it told here itself.
	reportedVersion uint64
	// contactFloor is when it was last heard for certain; others who vouch for it may make that later.
	contactFloor clock.Mark
	// lastPull is when it last asked here in a row of questions, and every within what time it asks again.
	lastPull     clock.Mark
	pullInterval time.Duration
	endedAt      clock.Mark
	// overdue and second are as told: that it is late, and that this is known through others alone.
	overdue, secondHand bool
	// changeIndex numbers its last change, solid the last of anything but what it has in force.
	changeIndex, statusChangeIndex uint64
	element                        *list.Element
}

// MemberList is what one daemon knows of the others, and how it comes to know it.
//
// A control daemon hears most others itself, as they ask it again and again. It tells who is late and who has
// come, and nothing else: whoever has its list up to date takes all who are not late as heard at that moment.
// What control daemons know through each other they tell those that only route, and not each other, so nobody
// is kept alive by hearsay that goes round.
type MemberList struct {
	self          ident.NodeID
	address       string
	servesControl bool

	// changeIndex counts the changes of the list; solid is the newest that is of more than what daemons have in force.
	changeIndex, statusChangeIndex uint64
	entries                        map[ident.NodeID]*memberEntry
	byChange                       *list.List
	sources                        map[string]*pullSource
	// cachedMembers is all lives as they were made into a map last, gatheredChanges and gatheredAt as of when.
	cachedMembers     map[ident.NodeID]Member
	cachedChangeIndex uint64
	cachedAt          clock.Mark
	// confirmedAt is up to when what is in force here is confirmed to be all that was acknowledged.
	confirmedAt clock.Mark
	// memberAddresses are where the group's members are by the word of a source that could not be relied on.
	memberAddresses []string
}

// NewMemberList makes what a fresh daemon knows. relays says that it serves control.
func NewMemberList(self ident.NodeID, address string, relays bool) *MemberList {
	return &MemberList{self: self, address: address, servesControl: relays, entries: map[ident.NodeID]*memberEntry{}, byChange: list.New(), sources: map[string]*pullSource{}}
}

// ChangeIndex numbers the newest change of the list.
func (l *MemberList) ChangeIndex() uint64 { return l.changeIndex }

// StatusChangeIndex numbers the newest change that is of more than what daemons have in force.
func (l *MemberList) StatusChangeIndex() uint64 { return l.statusChangeIndex }

// Describe takes what this daemon says of itself now.
func (l *MemberList) SetSelf(now clock.Mark, record MemberRecord) {
	record.HasAttributes = true
	l.recordPull(now, record, time.Hour)
}

// RecordPull takes what another says of itself as it asks. every is within what time it asks again; zero, that it may
// not. It gives the version of its row that is known here.
func (l *MemberList) RecordPull(now clock.Mark, record MemberRecord, interval time.Duration) (known uint64) {
	return l.recordPull(now, record, interval)
}

func (l *MemberList) recordPull(now clock.Mark, record MemberRecord, interval time.Duration) (known uint64) {
	entry := l.entries[record.NodeID]
	if entry == nil {
		if !record.HasAttributes {
			return 0
		}
		entry = l.addEntry(now, record)
	}
	if entry.endedAt > 0 {
		// It speaks for itself, so it is the one that lives.
		entry.endedAt = 0
		l.endPredecessors(now, entry)
		l.recordStatusChange(entry)
	}
	entry.contactFloor = max(entry.contactFloor, now)
	if interval > 0 {
		entry.lastPull, entry.pullInterval = now, interval
	}
	if record.HasAttributes {
		// Steps are told at first hand alone.
		entry.record.Steps, entry.reportedVersion = record.Steps, record.Version
	}
	l.mergeRecord(entry, record)
	l.updateLiveness(now, entry)
	return entry.reportedVersion
}

// mergeRecord joins what is said of a life with what is known.
func (l *MemberList) mergeRecord(entry *memberEntry, record MemberRecord) {
	before := entry.record
	// Epochs only rise, whoever tells of them.
	entry.record.ConfigurationVersion, entry.record.ClosureVersion = max(before.ConfigurationVersion, record.ConfigurationVersion), max(before.ClosureVersion, record.ClosureVersion)
	if record.Version >= before.Version {
		entry.record.Ready = record.Ready
	}
	if record.HasAttributes && record.Version >= before.Version {
		entry.record.Version, entry.record.Address, entry.record.Zone, entry.record.Roles = record.Version, record.Address, record.Zone, record.Roles
	}
	switch {
	case entry.record.Ready != before.Ready || entry.record.Version != before.Version:
		l.recordStatusChange(entry)
	case entry.record.ConfigurationVersion != before.ConfigurationVersion || entry.record.ClosureVersion != before.ClosureVersion:
		l.recordChange(entry)
	}
}

// addEntry makes an entry for a life that is heard of first.
func (l *MemberList) addEntry(at clock.Mark, record MemberRecord) *memberEntry {
	entry := &memberEntry{contactFloor: at}
	entry.record.Member = Member{NodeID: record.NodeID, Address: record.Address, Zone: record.Zone, Roles: record.Roles}
	entry.element = l.byChange.PushBack(entry)
	l.entries[record.NodeID] = entry
	l.recordStatusChange(entry)
	l.endPredecessors(at, entry)
	return entry
}

func (l *MemberList) recordStatusChange(entry *memberEntry) {
	l.recordChange(entry)
	entry.statusChangeIndex, l.statusChangeIndex = l.changeIndex, l.changeIndex
}

func (l *MemberList) recordChange(entry *memberEntry) {
	l.changeIndex++
	entry.changeIndex = l.changeIndex
	l.byChange.MoveToBack(entry.element)
}

func (l *MemberList) entryAt(address string) *memberEntry {
	for _, entry := range l.entries {
		if entry.endedAt == 0 && entry.record.Address == address {
			return entry
		}
	}
	return nil
}

// Member is what is known of one life; false where it is not known, or ended.
func (l *MemberList) Member(id ident.NodeID) (Member, bool) {
	entry := l.entries[id]
	if entry == nil || entry.endedAt > 0 {
		return Member{}, false
	}
	return entry.record.Member, true
}

// Members gives all lives that count, as they are known now.
func (l *MemberList) Members() map[ident.NodeID]Member {
	members := make(map[ident.NodeID]Member, len(l.entries))
	for id, entry := range l.entries {
		if entry.endedAt > 0 {
			continue
		}
		member := entry.record.Member
		member.LastContact = l.lastContact(entry)
		members[id] = member
	}
	return members
}

const (
	// cacheAgePerMember is for how long, for each daemon of the fleet, a map of the others does on a daemon that only
	// routes, since making it costs that much more; gatherMost bounds it.
	cacheAgePerMember = 600 * time.Microsecond
	maxCacheAge       = 200 * time.Millisecond
)

// CachedMembers gives the same as Fellows, or what that gave lately if nothing but the moments at which others were
// heard can have changed since. It must not be changed.
func (l *MemberList) CachedMembers(now clock.Mark) map[ident.NodeID]Member {
	maxAge := min(time.Duration(len(l.entries))*cacheAgePerMember, maxCacheAge)
	// Control daemons acknowledge by who is in contact, so they know it as exactly as they can.
	if l.servesControl || l.cachedMembers == nil || l.cachedChangeIndex != l.changeIndex || now.Since(l.cachedAt) >= maxAge {
		l.cachedMembers, l.cachedChangeIndex, l.cachedAt = l.Members(), l.changeIndex, now
	}
	return l.cachedMembers
}
