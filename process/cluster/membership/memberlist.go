package membership

import (
	"container/list"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// memberEntry is what is known of one incarnation of a daemon.
type memberEntry struct {
	record MemberRecord
	// reportedVersion is the version of the attributes that the member itself sent here.
	reportedVersion uint64
	// contactFloor is a lower bound of the last contact; sources that vouch for the member may make it later. Read it
	// through lastContact.
	contactFloor clock.Mark
	// lastPull is when it last pulled here over a link, and pullInterval the time within which it pulls again.
	lastPull     clock.Mark
	pullInterval time.Duration
	// endedAt is when another incarnation replaced it here; zero while it is current.
	endedAt clock.Mark
	// overdue and secondHand are as disseminated: that it did not pull in time, and that it is known through other
	// control daemons only.
	overdue, secondHand bool
	// changeIndex is the index of its last change, statusChangeIndex that of its last change other than of the versions
	// that it has in force.
	changeIndex, statusChangeIndex uint64
	// element is its place in MemberList.byChange.
	element *list.Element
}

// MemberList is what one daemon knows of the fleet's members. It is pure: it sends nothing and reads no clock. The
// package comment describes how it detects failures and disseminates changes.
type MemberList struct {
	self          ident.NodeID
	address       string
	servesControl bool

	// changeIndex counts the changes of the list; statusChangeIndex is the newest one other than of versions in force.
	changeIndex, statusChangeIndex uint64
	entries                        map[ident.NodeID]*memberEntry
	// byChange holds all entries, the one that changed last at the back.
	byChange *list.List
	// sources are the peers that this daemon pulls from, by address.
	sources map[string]*pullSource
	// cachedMembers is the last result of Members that CachedMembers returned, and the others are as of when.
	cachedMembers     map[ident.NodeID]Member
	cachedChangeIndex uint64
	cachedAt          clock.Mark
	// confirmedAt: see View.ConfirmedAt.
	confirmedAt clock.Mark
	// memberAddresses are the addresses of the group's members by a source without a recent confirmation.
	memberAddresses []string
}

// NewMemberList makes the empty list of a daemon with this node id and peer address.
func NewMemberList(self ident.NodeID, address string, servesControl bool) *MemberList {
	return &MemberList{
		self: self, address: address, servesControl: servesControl,
		entries: map[ident.NodeID]*memberEntry{}, byChange: list.New(), sources: map[string]*pullSource{},
	}
}

// ChangeIndex is the index of the newest change of the list.
func (l *MemberList) ChangeIndex() uint64 { return l.changeIndex }

// StatusChangeIndex is the index of the newest change other than of the versions that members have in force.
func (l *MemberList) StatusChangeIndex() uint64 { return l.statusChangeIndex }

// SetSelf updates this daemon's own entry.
func (l *MemberList) SetSelf(now clock.Mark, record MemberRecord) {
	record.HasAttributes = true
	l.RecordPull(now, record, selfInterval)
}

// RecordPull takes a member's own record, as it pulls. interval is the time within which it pulls again; zero: it may
// not. It returns the version of the attributes that the member itself sent here; zero if none.
func (l *MemberList) RecordPull(now clock.Mark, record MemberRecord, interval time.Duration) (known uint64) {
	entry := l.entries[record.NodeID]
	if entry == nil {
		if !record.HasAttributes {
			return 0
		}
		entry = l.addEntry(now, record)
	}
	if entry.endedAt > 0 {
		// It reports itself, so it is the current incarnation.
		entry.endedAt = 0
		l.endPredecessors(now, entry)
		l.recordStatusChange(entry)
	}
	entry.contactFloor = max(entry.contactFloor, now)
	if interval > 0 {
		entry.lastPull, entry.pullInterval = now, interval
	}
	if record.HasAttributes {
		entry.record.Steps, entry.reportedVersion = record.Steps, record.Version
	} else {
		entry.record.Steps = appendSteps(entry.record.Steps, record.Steps)
	}
	l.mergeRecord(entry, record)
	l.updateLiveness(now, entry)
	return entry.reportedVersion
}

// mergeRecord merges a report of a member, by itself or others, into its entry.
func (l *MemberList) mergeRecord(entry *memberEntry, record MemberRecord) {
	before := entry.record
	// Versions in force never decrease, whoever reports them.
	entry.record.ConfigurationVersion = max(before.ConfigurationVersion, record.ConfigurationVersion)
	entry.record.ClosureVersion = max(before.ClosureVersion, record.ClosureVersion)
	if record.Version >= before.Version {
		entry.record.Ready = record.Ready
	}
	if record.HasAttributes && record.Version >= before.Version {
		entry.record.Version, entry.record.Address = record.Version, record.Address
		entry.record.Zone, entry.record.Roles = record.Zone, record.Roles
	}
	switch {
	case entry.record.Ready != before.Ready || entry.record.Version != before.Version:
		l.recordStatusChange(entry)
	case entry.record.ConfigurationVersion != before.ConfigurationVersion || entry.record.ClosureVersion != before.ClosureVersion:
		l.recordChange(entry)
	}
}

// addEntry adds an incarnation that was not known, and ends those it replaces.
func (l *MemberList) addEntry(at clock.Mark, record MemberRecord) *memberEntry {
	entry := &memberEntry{contactFloor: at}
	entry.record.Member = Member{NodeID: record.NodeID, Address: record.Address, Zone: record.Zone, Roles: record.Roles}
	entry.element = l.byChange.PushBack(entry)
	l.entries[record.NodeID] = entry
	l.recordStatusChange(entry)
	l.endPredecessors(at, entry)
	return entry
}

// recordStatusChange numbers a change of an entry other than of its versions in force.
func (l *MemberList) recordStatusChange(entry *memberEntry) {
	l.recordChange(entry)
	entry.statusChangeIndex, l.statusChangeIndex = l.changeIndex, l.changeIndex
}

// recordChange numbers a change of an entry.
func (l *MemberList) recordChange(entry *memberEntry) {
	l.changeIndex++
	entry.changeIndex = l.changeIndex
	l.byChange.MoveToBack(entry.element)
}

// entryAt returns the current incarnation at an address, or nil.
func (l *MemberList) entryAt(address string) *memberEntry {
	for _, entry := range l.entries {
		if entry.endedAt == 0 && entry.record.Address == address {
			return entry
		}
	}
	return nil
}

// Member returns what is known of one incarnation; false if it is not known or was replaced.
func (l *MemberList) Member(id ident.NodeID) (Member, bool) {
	entry := l.entries[id]
	if entry == nil || entry.endedAt > 0 {
		return Member{}, false
	}
	return entry.record.Member, true
}

// Members returns all current incarnations.
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
	// cacheAgePerMember and maxCacheAge set how old CachedMembers may be: building the map costs more the larger the
	// fleet is.
	cacheAgePerMember = 600 * time.Microsecond
	maxCacheAge       = 200 * time.Millisecond
	// selfInterval is the pull interval of this daemon's own entry, which every tick refreshes: it is never overdue.
	selfInterval = time.Hour
)

// CachedMembers returns the same as Members, or a recent result of it if nothing but times of contact can have changed
// since. The caller must not modify it.
func (l *MemberList) CachedMembers(now clock.Mark) map[ident.NodeID]Member {
	maxAge := min(time.Duration(len(l.entries))*cacheAgePerMember, maxCacheAge)
	// Control daemons acknowledge changes by who is in contact, so their view is always exact.
	if l.servesControl || l.cachedMembers == nil || l.cachedChangeIndex != l.changeIndex || now.Since(l.cachedAt) >= maxAge {
		l.cachedMembers, l.cachedChangeIndex, l.cachedAt = l.Members(), l.changeIndex, now
	}
	return l.cachedMembers
}
