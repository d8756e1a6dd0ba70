package membership

import (
	"container/list"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// entry is one life of a daemon.
type entry struct {
	record MemberRecord
	// told is the version of the row that it told here itself.
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
	entries                        map[ident.NodeID]*entry
	byChange                       *list.List
	sources                        map[string]*source
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
	return &MemberList{self: self, address: address, servesControl: relays, entries: map[ident.NodeID]*entry{}, byChange: list.New(), sources: map[string]*source{}}
}

// ChangeIndex numbers the newest change of the list.
func (c *MemberList) ChangeIndex() uint64 { return c.changeIndex }

// StatusChangeIndex numbers the newest change that is of more than what daemons have in force.
func (c *MemberList) StatusChangeIndex() uint64 { return c.statusChangeIndex }

// Describe takes what this daemon says of itself now.
func (c *MemberList) SetSelf(now clock.Mark, row MemberRecord) {
	row.HasAttributes = true
	c.recordPull(now, row, time.Hour)
}

// RecordPull takes what another says of itself as it asks. every is within what time it asks again; zero, that it may
// not. It gives the version of its row that is known here.
func (c *MemberList) RecordPull(now clock.Mark, row MemberRecord, every time.Duration) (known uint64) {
	return c.recordPull(now, row, every)
}

func (c *MemberList) recordPull(now clock.Mark, row MemberRecord, every time.Duration) (known uint64) {
	e := c.entries[row.NodeID]
	if e == nil {
		if !row.HasAttributes {
			return 0
		}
		e = c.addEntry(now, row)
	}
	if e.endedAt > 0 {
		// It speaks for itself, so it is the one that lives.
		e.endedAt = 0
		c.endPredecessors(now, e)
		c.recordStatusChange(e)
	}
	e.contactFloor = max(e.contactFloor, now)
	if every > 0 {
		e.lastPull, e.pullInterval = now, every
	}
	if row.HasAttributes {
		// Steps are told at first hand alone.
		e.record.Steps, e.reportedVersion = row.Steps, row.Version
	}
	c.mergeRecord(e, row)
	c.updateLiveness(now, e)
	return e.reportedVersion
}

// mergeRecord joins what is said of a life with what is known.
func (c *MemberList) mergeRecord(e *entry, row MemberRecord) {
	before := e.record
	// Epochs only rise, whoever tells of them.
	e.record.ConfigurationVersion, e.record.ClosureVersion = max(before.ConfigurationVersion, row.ConfigurationVersion), max(before.ClosureVersion, row.ClosureVersion)
	if row.Version >= before.Version {
		e.record.Ready = row.Ready
	}
	if row.HasAttributes && row.Version >= before.Version {
		e.record.Version, e.record.Address, e.record.Zone, e.record.Roles = row.Version, row.Address, row.Zone, row.Roles
	}
	switch {
	case e.record.Ready != before.Ready || e.record.Version != before.Version:
		c.recordStatusChange(e)
	case e.record.ConfigurationVersion != before.ConfigurationVersion || e.record.ClosureVersion != before.ClosureVersion:
		c.recordChange(e)
	}
}

// addEntry makes an entry for a life that is heard of first.
func (c *MemberList) addEntry(heard clock.Mark, row MemberRecord) *entry {
	e := &entry{contactFloor: heard}
	e.record.Member = Member{NodeID: row.NodeID, Address: row.Address, Zone: row.Zone, Roles: row.Roles}
	e.element = c.byChange.PushBack(e)
	c.entries[row.NodeID] = e
	c.recordStatusChange(e)
	c.endPredecessors(heard, e)
	return e
}

func (c *MemberList) recordStatusChange(e *entry) {
	c.recordChange(e)
	e.statusChangeIndex, c.statusChangeIndex = c.changeIndex, c.changeIndex
}

func (c *MemberList) recordChange(e *entry) {
	c.changeIndex++
	e.changeIndex = c.changeIndex
	c.byChange.MoveToBack(e.element)
}

func (c *MemberList) entryAt(address string) *entry {
	for _, e := range c.entries {
		if e.endedAt == 0 && e.record.Address == address {
			return e
		}
	}
	return nil
}

// Member is what is known of one life; false where it is not known, or ended.
func (c *MemberList) Member(id ident.NodeID) (Member, bool) {
	e := c.entries[id]
	if e == nil || e.endedAt > 0 {
		return Member{}, false
	}
	return e.record.Member, true
}

// Members gives all lives that count, as they are known now.
func (c *MemberList) Members() map[ident.NodeID]Member {
	out := make(map[ident.NodeID]Member, len(c.entries))
	for id, e := range c.entries {
		if e.endedAt > 0 {
			continue
		}
		fellow := e.record.Member
		fellow.LastContact = c.lastContact(e)
		out[id] = fellow
	}
	return out
}

const (
	// cacheAgePerMember is for how long, for each daemon of the fleet, a map of the others does on a daemon that only
	// routes, since making it costs that much more; gatherMost bounds it.
	cacheAgePerMember = 600 * time.Microsecond
	maxCacheAge       = 200 * time.Millisecond
)

// CachedMembers gives the same as Fellows, or what that gave lately if nothing but the moments at which others were
// heard can have changed since. It must not be changed.
func (c *MemberList) CachedMembers(now clock.Mark) map[ident.NodeID]Member {
	lasts := min(time.Duration(len(c.entries))*cacheAgePerMember, maxCacheAge)
	// Control daemons acknowledge by who is in contact, so they know it as exactly as they can.
	if c.servesControl || c.cachedMembers == nil || c.cachedChangeIndex != c.changeIndex || now.Since(c.cachedAt) >= lasts {
		c.cachedMembers, c.cachedChangeIndex, c.cachedAt = c.Members(), c.changeIndex, now
	}
	return c.cachedMembers
}
