package membership

import (
	"container/list"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
)

const (
	// overdueSlack is how much later than it said a daemon may ask again before others are told that it is late.
	overdueSlack = 450 * time.Millisecond
	// endedQuarantine is for how long others' word that a life lives, which another life has followed, is not believed.
	endedQuarantine = 3 * time.Second
	// failedLinkBackoff is for how long a daemon that did not answer is not chosen again for a second link.
	failedLinkBackoff = 3 * time.Second
	// linkWindow is how lately a control daemon must have been heard of to be asked.
	linkWindow = 10 * time.Second
	// maxSources bounds the addresses for which it is remembered what was learned there.
	maxSources = 1024
)

// MemberRecord is what a daemon says of itself, or another of it.
type MemberRecord struct {
	Member
	// Version numbers what it says of itself; of two the higher counts. Whole says that zone, serve and steps are in here.
	Version       uint64
	HasAttributes bool
}

// MemberUpdate is a row as one daemon tells it to another.
type MemberUpdate struct {
	MemberRecord
	// Age is how long ago it was heard here.
	Age time.Duration
	// Overdue says that it has not asked when it should have; Direct, that this is known at first hand; Ended, that
	// another life of it was heard of.
	Overdue, FirstHand, Ended bool
}

// Cursor is how much of a peer's list has been seen.
type Cursor struct {
	Incarnation string
	Seen        uint64
}

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

// source is what was learned at one address.
type source struct {
	cursor Cursor
	// vouchedUntil is up to when it vouches for those it does not call late.
	vouchedUntil clock.Mark
	vouchesFor   map[ident.NodeID]bool
	// servesControl says that it serves control, rowKnown which version of this daemon's own row it knows.
	servesControl          bool
	knownAttributesVersion uint64
	failedAt               clock.Mark
	// told says that it tells up to when its news is confirmed, stale that this was too long ago when it last
	// answered, wasConfirmed that it ever was not.
	told, stale, wasConfirmed bool
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

// endPredecessors ends all other lives with an entry's name or address.
func (c *MemberList) endPredecessors(heard clock.Mark, e *entry) {
	for _, other := range c.entries {
		if other == e || other.endedAt > 0 || !sameDaemon(other.record.Member, e.record.Member) {
			continue
		}
		other.contactFloor, other.endedAt = c.lastContact(other), heard
		for _, p := range c.sources {
			delete(p.vouchesFor, other.record.NodeID)
		}
		// It follows another life, so what that one knew is gone.
		e.record.FirstContact = heard
		c.recordStatusChange(other)
	}
}

func sameDaemon(a, b Member) bool {
	return a.Address == b.Address || a.NodeID.Name() == b.NodeID.Name()
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

// lastContact is when a life was last heard, by whoever vouches for it.
func (c *MemberList) lastContact(e *entry) clock.Mark {
	heard := e.contactFloor
	for _, p := range c.sources {
		if p.vouchedUntil > heard && p.vouchesFor[e.record.NodeID] {
			heard = p.vouchedUntil
		}
	}
	return heard
}

// updateLiveness looks whether a life has come to be late, or is so no more.
func (c *MemberList) updateLiveness(now clock.Mark, e *entry) {
	first := e.lastPull > 0 && now.Since(e.lastPull) <= e.pullInterval+overdueSlack
	second := false
	if !first && c.servesControl {
		for _, p := range c.sources {
			second = second || p.servesControl && p.vouchesFor[e.record.NodeID] && now.Since(p.vouchedUntil) <= vouchValidFor
		}
	}
	late := !first && !second || e.endedAt > 0
	if late != e.overdue || second != e.secondHand {
		e.overdue, e.secondHand = late, second
		c.recordStatusChange(e)
	}
}

// vouchValidFor is how long a control daemon's list is believed to be up to date after its last word.
const vouchValidFor = 1200 * time.Millisecond

// Sweep lets time pass: it looks who is late, and forgets those last heard before a moment.
func (c *MemberList) Sweep(now, forgetBefore clock.Mark) {
	for at := c.byChange.Front(); at != nil; {
		e, next := at.Value.(*entry), at.Next()
		if c.lastContact(e) < forgetBefore && e.record.NodeID != c.self {
			c.byChange.Remove(at)
			delete(c.entries, e.record.NodeID)
			c.cachedMembers = nil
			for _, p := range c.sources {
				delete(p.vouchesFor, e.record.NodeID)
			}
		}
		at = next
	}
	for _, e := range c.entries {
		c.updateLiveness(now, e)
	}
	for address, p := range c.sources {
		if max(p.vouchedUntil, p.failedAt) < forgetBefore {
			c.releaseVouches(p)
			delete(c.sources, address)
		}
	}
}

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

func (c *MemberList) sourceAt(address string) *source {
	p := c.sources[address]
	if p == nil {
		if len(c.sources) >= maxSources {
			clear(c.sources)
		}
		p = &source{vouchesFor: map[ident.NodeID]bool{}}
		c.sources[address] = p
	}
	return p
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

// Failed notes that nobody answered at an address.
func (c *MemberList) RecordFailure(now clock.Mark, address string) {
	c.sourceAt(address).failedAt = now
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

// releaseVouches ends all that a peer vouched for at the moment up to which it did.
func (c *MemberList) releaseVouches(p *source) {
	for id := range p.vouchesFor {
		if e := c.entries[id]; e != nil {
			e.contactFloor = max(e.contactFloor, p.vouchedUntil)
		}
	}
	clear(p.vouchesFor)
	p.vouchedUntil = 0
}

func (c *MemberList) entryAt(address string) *entry {
	for _, e := range c.entries {
		if e.endedAt == 0 && e.record.Address == address {
			return e
		}
	}
	return nil
}

// Links lists the addresses to ask again and again. A control daemon asks all others of its kind, since only
// together they know who lives and which engines are silent. Any other asks the leader, whoever plans, and one
// more, so that news reaches it while the leader is frozen or cut off.
func (c *MemberList) Links(now clock.Mark, leader, planner string) []string {
	var out []string
	control := c.controlAddresses(now)
	add := func(address string) {
		if address != "" && address != c.address && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	add(leader)
	if c.servesControl {
		for _, address := range control {
			add(address)
		}
		return out
	}
	add(planner)
	add(c.secondLink(now, leader, control))
	if leader == "" || c.Unconfirmed(now) {
		// Only the leader's own word tells of it where it has failed to answer once; and sources that answer as well
		// as before may all be cut off from the group.
		for _, address := range control {
			add(address)
		}
		for _, address := range c.memberAddresses {
			add(address)
		}
	}
	return out
}

// control lists the addresses of the other control daemons that were heard of lately.
func (c *MemberList) controlAddresses(now clock.Mark) []string {
	var out []string
	for _, e := range c.entries {
		if e.endedAt == 0 && e.record.Address != c.address && e.record.Serves(controlRole) && now.Since(c.lastContact(e)) <= linkWindow {
			out = append(out, e.record.Address)
		}
	}
	slices.Sort(out)
	return out
}

// second is the control daemon beside the leader that is asked again and again: one of the own zone if there is
// any. It is chosen by weight, so that the links of a fleet are spread, and stay where they are.
func (c *MemberList) secondLink(now clock.Mark, leader string, control []string) string {
	sound := slices.DeleteFunc(slices.Clone(control), func(address string) bool {
		p := c.sources[address]
		return address == leader || p != nil && (p.stale || p.failedAt > 0 && now.Since(p.failedAt) <= failedLinkBackoff)
	})
	if near := slices.DeleteFunc(slices.Clone(sound), func(address string) bool { return !c.inOwnZone(address) || !c.leaderVouchesFor(leader, address) }); len(near) > 0 {
		sound = near
	}
	chosen, _ := affinity.Owners("link "+c.address, sound)
	return chosen
}

// inOwnZone says whether a daemon of this one's zone is at an address.
func (c *MemberList) inOwnZone(address string) bool {
	own, other := c.entries[c.self], c.entryAt(address)
	return own != nil && other != nil && own.record.Zone == other.record.Zone
}

// leaderVouchesFor says whether the leader hears from a control daemon. One that is cut off from the group answers as
// well as before, and knows nothing new.
func (c *MemberList) leaderVouchesFor(leader, address string) bool {
	p, other := c.sources[leader], c.entryAt(address)
	return leader == "" || p != nil && other != nil && p.vouchesFor[other.record.NodeID]
}

// Relay is whom a daemon that only routes asks for all that is new; of others it asks what is urgent only. All
// control daemons in touch with the leader know the same, and what goes from zone to zone is dear: so it is the
// leader only where none of them is nearer.
func (c *MemberList) Relay(now clock.Mark, leader string) string {
	if leader != "" && c.inOwnZone(leader) {
		return leader
	}
	if second := c.secondLink(now, leader, c.controlAddresses(now)); second != "" && c.inOwnZone(second) && c.leaderVouchesFor(leader, second) {
		return second
	}
	return leader
}

// LastControlContact is when any control daemon last answered with its list.
func (c *MemberList) LastControlContact() (heard clock.Mark) {
	for _, p := range c.sources {
		if p.servesControl {
			heard = max(heard, p.vouchedUntil)
		}
	}
	return heard
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

// Member is what is known of one life; false where it is not known, or ended.
func (c *MemberList) Member(id ident.NodeID) (Member, bool) {
	e := c.entries[id]
	if e == nil || e.endedAt > 0 {
		return Member{}, false
	}
	return e.record.Member, true
}
