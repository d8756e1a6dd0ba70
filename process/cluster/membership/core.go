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
	// lateSlack is how much later than it said a daemon may ask again before others are told that it is late.
	lateSlack = 450 * time.Millisecond
	// endedFor is for how long others' word that a life lives, which another life has followed, is not believed.
	endedFor = 3 * time.Second
	// troubledFor is for how long a daemon that did not answer is not chosen again for a second link.
	troubledFor = 3 * time.Second
	// linkWindow is how lately a control daemon must have been heard of to be asked.
	linkWindow = 10 * time.Second
	// mostPeers bounds the addresses for which it is remembered what was learned there.
	mostPeers = 1024
)

// Row is what a daemon says of itself, or another of it.
type Row struct {
	Fellow
	// Version numbers what it says of itself; of two the higher counts. Whole says that zone, serve and steps are in here.
	Version uint64
	Whole   bool
}

// Told is a row as one daemon tells it to another.
type Told struct {
	Row
	// Age is how long ago it was heard here.
	Age time.Duration
	// Late says that it has not asked when it should have; Direct, that this is known at first hand; Ended, that
	// another life of it was heard of.
	Late, Direct, Ended bool
}

// Cursor is how much of a peer's list has been seen.
type Cursor struct {
	Life string
	Seen uint64
}

// entry is one life of a daemon.
type entry struct {
	row Row
	// told is the version of the row that it told here itself.
	told uint64
	// base is when it was last heard for certain; others who vouch for it may make that later.
	base clock.Mark
	// direct is when it last asked here in a row of questions, and every within what time it asks again.
	direct clock.Mark
	every  time.Duration
	ended  clock.Mark
	// late and second are as told: that it is late, and that this is known through others alone.
	late, second bool
	// changed numbers its last change, solid the last of anything but what it has in force.
	changed, solid uint64
	place          *list.Element
}

// peer is what was learned at one address.
type peer struct {
	cursor Cursor
	// last is up to when it vouches for those it does not call late.
	last    clock.Mark
	vouches map[ident.NodeID]bool
	// control says that it serves control, rowKnown which version of this daemon's own row it knows.
	control  bool
	rowKnown uint64
	failed   clock.Mark
	// told says that it tells up to when its news is confirmed, stale that this was too long ago when it last
	// answered, wasConfirmed that it ever was not.
	told, stale, wasConfirmed bool
}

// Core is what one daemon knows of the others, and how it comes to know it.
//
// A control daemon hears most others itself, as they ask it again and again. It tells who is late and who has
// come, and nothing else: whoever has its list up to date takes all who are not late as heard at that moment.
// What control daemons know through each other they tell those that only route, and not each other, so nobody
// is kept alive by hearsay that goes round.
type Core struct {
	self    ident.NodeID
	address string
	relays  bool

	// changes counts the changes of the list; solid is the newest that is of more than what daemons have in force.
	changes, solid uint64
	entries        map[ident.NodeID]*entry
	order          *list.List
	peers          map[string]*peer
	// gathered is all lives as they were made into a map last, gatheredChanges and gatheredAt as of when.
	gathered        map[ident.NodeID]Fellow
	gatheredChanges uint64
	gatheredAt      clock.Mark
	// confirmed is up to when what is in force here is confirmed to be all that was acknowledged.
	confirmed clock.Mark
	// memberAddresses are where the group's members are by the word of a source that could not be relied on.
	memberAddresses []string
}

// NewCore makes what a fresh daemon knows. relays says that it serves control.
func NewCore(self ident.NodeID, address string, relays bool) *Core {
	return &Core{self: self, address: address, relays: relays, entries: map[ident.NodeID]*entry{}, order: list.New(), peers: map[string]*peer{}}
}

// Changes numbers the newest change of the list.
func (c *Core) Changes() uint64 { return c.changes }

// Solid numbers the newest change that is of more than what daemons have in force.
func (c *Core) Solid() uint64 { return c.solid }

// Describe takes what this daemon says of itself now.
func (c *Core) Describe(now clock.Mark, row Row) {
	row.Whole = true
	c.hear(now, row, time.Hour)
}

// Hear takes what another says of itself as it asks. every is within what time it asks again; zero, that it may
// not. It gives the version of its row that is known here.
func (c *Core) Hear(now clock.Mark, row Row, every time.Duration) (known uint64) {
	return c.hear(now, row, every)
}

func (c *Core) hear(now clock.Mark, row Row, every time.Duration) (known uint64) {
	e := c.entries[row.NodeID]
	if e == nil {
		if !row.Whole {
			return 0
		}
		e = c.meet(now, row)
	}
	if e.ended > 0 {
		// It speaks for itself, so it is the one that lives.
		e.ended = 0
		c.follow(now, e)
		c.bump(e)
	}
	e.base = max(e.base, now)
	if every > 0 {
		e.direct, e.every = now, every
	}
	if row.Whole {
		// Steps are told at first hand alone.
		e.row.Steps, e.told = row.Steps, row.Version
	}
	c.takeRow(e, row)
	c.tell(now, e)
	return e.told
}

// takeRow joins what is said of a life with what is known.
func (c *Core) takeRow(e *entry, row Row) {
	before := e.row
	// Epochs only rise, whoever tells of them.
	e.row.SpecEpoch, e.row.ClosureEpoch = max(before.SpecEpoch, row.SpecEpoch), max(before.ClosureEpoch, row.ClosureEpoch)
	if row.Version >= before.Version {
		e.row.Ready = row.Ready
	}
	if row.Whole && row.Version >= before.Version {
		e.row.Version, e.row.Address, e.row.Zone, e.row.Serve = row.Version, row.Address, row.Zone, row.Serve
	}
	switch {
	case e.row.Ready != before.Ready || e.row.Version != before.Version:
		c.bump(e)
	case e.row.SpecEpoch != before.SpecEpoch || e.row.ClosureEpoch != before.ClosureEpoch:
		c.number(e)
	}
}

// meet makes an entry for a life that is heard of first.
func (c *Core) meet(heard clock.Mark, row Row) *entry {
	e := &entry{base: heard}
	e.row.Fellow = Fellow{NodeID: row.NodeID, Address: row.Address, Zone: row.Zone, Serve: row.Serve}
	e.place = c.order.PushBack(e)
	c.entries[row.NodeID] = e
	c.bump(e)
	c.follow(heard, e)
	return e
}

// follow ends all other lives with an entry's name or address.
func (c *Core) follow(heard clock.Mark, e *entry) {
	for _, other := range c.entries {
		if other == e || other.ended > 0 || !sameDaemon(other.row.Fellow, e.row.Fellow) {
			continue
		}
		other.base, other.ended = c.heardOf(other), heard
		for _, p := range c.peers {
			delete(p.vouches, other.row.NodeID)
		}
		// It follows another life, so what that one knew is gone.
		e.row.Met = heard
		c.bump(other)
	}
}

func sameDaemon(a, b Fellow) bool {
	return a.Address == b.Address || a.NodeID.Name() == b.NodeID.Name()
}

func (c *Core) bump(e *entry) {
	c.number(e)
	e.solid, c.solid = c.changes, c.changes
}

func (c *Core) number(e *entry) {
	c.changes++
	e.changed = c.changes
	c.order.MoveToBack(e.place)
}

// heardOf is when a life was last heard, by whoever vouches for it.
func (c *Core) heardOf(e *entry) clock.Mark {
	heard := e.base
	for _, p := range c.peers {
		if p.last > heard && p.vouches[e.row.NodeID] {
			heard = p.last
		}
	}
	return heard
}

// tell looks whether a life has come to be late, or is so no more.
func (c *Core) tell(now clock.Mark, e *entry) {
	first := e.direct > 0 && now.Since(e.direct) <= e.every+lateSlack
	second := false
	if !first && c.relays {
		for _, p := range c.peers {
			second = second || p.control && p.vouches[e.row.NodeID] && now.Since(p.last) <= linkLate
		}
	}
	late := !first && !second || e.ended > 0
	if late != e.late || second != e.second {
		e.late, e.second = late, second
		c.bump(e)
	}
}

// linkLate is how long a control daemon's list is believed to be up to date after its last word.
const linkLate = 1200 * time.Millisecond

// Sweep lets time pass: it looks who is late, and forgets those last heard before a moment.
func (c *Core) Sweep(now, forgetBefore clock.Mark) {
	for at := c.order.Front(); at != nil; {
		e, next := at.Value.(*entry), at.Next()
		if c.heardOf(e) < forgetBefore && e.row.NodeID != c.self {
			c.order.Remove(at)
			delete(c.entries, e.row.NodeID)
			c.gathered = nil
			for _, p := range c.peers {
				delete(p.vouches, e.row.NodeID)
			}
		}
		at = next
	}
	for _, e := range c.entries {
		c.tell(now, e)
	}
	for address, p := range c.peers {
		if max(p.last, p.failed) < forgetBefore {
			c.release(p)
			delete(c.peers, address)
		}
	}
}

// Since gives what changed since a cursor.
func (c *Core) Since(now clock.Mark, cursor Cursor) (told []Told, next Cursor, afresh bool) {
	return c.since(now, cursor, false)
}

// SolidSince leaves out who changed only in what it has in force: with each bundle that is everyone, and only
// control daemons go by it.
func (c *Core) SolidSince(now clock.Mark, cursor Cursor) (told []Told, next Cursor, afresh bool) {
	return c.since(now, cursor, true)
}

func (c *Core) since(now clock.Mark, cursor Cursor, solid bool) (told []Told, next Cursor, afresh bool) {
	seen := cursor.Seen
	if cursor.Life != string(c.self) || seen > c.changes {
		seen, afresh = 0, true
	}
	for at := c.order.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*entry)
		if e.changed <= seen {
			break
		}
		if afresh && e.ended > 0 || solid && e.solid <= seen {
			continue
		}
		told = append(told, Told{Row: e.row, Age: now.Since(c.heardOf(e)), Late: e.late, Direct: !e.second, Ended: e.ended > 0})
	}
	slices.Reverse(told)
	return told, Cursor{Life: string(c.self), Seen: c.changes}, afresh
}

// Everyone gives all who were heard within a window, for whoever must know their ages.
func (c *Core) Everyone(now clock.Mark, window time.Duration) (told []Told) {
	for at := c.order.Front(); at != nil; at = at.Next() {
		e := at.Value.(*entry)
		if age := now.Since(c.heardOf(e)); e.ended == 0 && age <= window {
			told = append(told, Told{Row: e.row, Age: age})
		}
	}
	return told
}

func (c *Core) peer(address string) *peer {
	p := c.peers[address]
	if p == nil {
		if len(c.peers) >= mostPeers {
			clear(c.peers)
		}
		p = &peer{vouches: map[ident.NodeID]bool{}}
		c.peers[address] = p
	}
	return p
}

// Asked is the cursor to ask at an address with, and whether this daemon's own row need be told there.
func (c *Core) Asked(address string) (cursor Cursor, tellRow bool) {
	p := c.peers[address]
	if p == nil {
		return Cursor{}, true
	}
	own := c.entries[c.self]
	return p.cursor, own == nil || p.rowKnown != own.row.Version
}

// RowKnown notes which version of this daemon's row is known at an address.
func (c *Core) RowKnown(address string, version uint64) { c.peer(address).rowKnown = version }

// Failed notes that nobody answered at an address.
func (c *Core) Failed(now clock.Mark, address string) { c.peer(address).failed = now }

// LearnEveryone takes all that another daemon knows, with their ages, as told at a moment.
func (c *Core) LearnEveryone(now clock.Mark, told []Told) {
	for _, one := range told {
		if one.NodeID == c.self || one.NodeID == "" || one.Age < 0 {
			continue
		}
		if e, heard := c.found(now, one, now-clock.Mark(one.Age)); e != nil {
			e.base = max(e.base, heard)
			c.tell(now, e)
		}
	}
}

// Learn takes what changed at an address; until says up to when those who are not late there are vouched for.
func (c *Core) Learn(now clock.Mark, address string, next Cursor, afresh bool, told []Told, until clock.Mark) {
	p := c.peer(address)
	if afresh || next.Life != p.cursor.Life {
		c.release(p)
	}
	if next.Life == p.cursor.Life {
		next.Seen = max(next.Seen, p.cursor.Seen)
	}
	p.cursor, p.failed = next, 0
	p.last = max(p.last, until)
	// Ends come first, so that who follows is not taken for who went.
	for _, one := range told {
		if e := c.entries[one.NodeID]; one.Ended && e != nil && e.ended == 0 && one.NodeID != c.self {
			e.base, e.ended = min(c.heardOf(e), now-clock.Mark(one.Age)), now
			for _, other := range c.peers {
				delete(other.vouches, one.NodeID)
			}
			c.bump(e)
		}
	}
	for _, one := range told {
		if one.NodeID == c.self || one.NodeID == "" || one.Ended {
			continue
		}
		heard := now - clock.Mark(max(0, one.Age))
		vouched := !one.Late && (one.Direct || !c.relays)
		if vouched {
			heard = max(heard, until)
		}
		e, heard := c.found(now, one, heard)
		if e == nil {
			continue
		}
		switch {
		case vouched:
			p.vouches[one.NodeID] = true
		case p.vouches[one.NodeID]:
			delete(p.vouches, one.NodeID)
			// What was taken for granted meanwhile is taken back.
			e.base = max(e.base, heard)
		default:
			e.base = max(e.base, heard)
		}
		c.tell(now, e)
	}
	if own := c.entryAt(address); own != nil {
		p.control = own.row.Serves(controlRole)
	}
}

// found finds or makes the entry of a life that another told of; nil where it counts for nothing.
func (c *Core) found(now clock.Mark, one Told, heard clock.Mark) (*entry, clock.Mark) {
	e := c.entries[one.NodeID]
	if e != nil && e.ended > 0 && now.Since(e.ended) <= endedFor {
		return nil, heard
	}
	if e == nil || e.ended > 0 {
		// Of two lives with one name or one address the one heard later is the one that lives.
		for _, other := range c.entries {
			if other != e && other.ended == 0 && sameDaemon(other.row.Fellow, one.Fellow) && c.heardOf(other) > heard {
				return nil, heard
			}
		}
		if e == nil {
			e = c.meet(heard, one.Row)
		} else {
			e.ended = 0
			c.follow(heard, e)
			c.bump(e)
		}
	}
	row := one.Row
	row.Whole = true
	c.takeRow(e, row)
	return e, heard
}

// release ends all that a peer vouched for at the moment up to which it did.
func (c *Core) release(p *peer) {
	for id := range p.vouches {
		if e := c.entries[id]; e != nil {
			e.base = max(e.base, p.last)
		}
	}
	clear(p.vouches)
	p.last = 0
}

func (c *Core) entryAt(address string) *entry {
	for _, e := range c.entries {
		if e.ended == 0 && e.row.Address == address {
			return e
		}
	}
	return nil
}

// Links lists the addresses to ask again and again. A control daemon asks all others of its kind, since only
// together they know who lives and which engines are silent. Any other asks the leader, whoever plans, and one
// more, so that news reaches it while the leader is frozen or cut off.
func (c *Core) Links(now clock.Mark, leader, planner string) []string {
	var out []string
	control := c.control(now)
	add := func(address string) {
		if address != "" && address != c.address && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	add(leader)
	if c.relays {
		for _, address := range control {
			add(address)
		}
		return out
	}
	add(planner)
	add(c.second(now, leader, control))
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
func (c *Core) control(now clock.Mark) []string {
	var out []string
	for _, e := range c.entries {
		if e.ended == 0 && e.row.Address != c.address && e.row.Serves(controlRole) && now.Since(c.heardOf(e)) <= linkWindow {
			out = append(out, e.row.Address)
		}
	}
	slices.Sort(out)
	return out
}

// second is the control daemon beside the leader that is asked again and again: one of the own zone if there is
// any. It is chosen by weight, so that the links of a fleet are spread, and stay where they are.
func (c *Core) second(now clock.Mark, leader string, control []string) string {
	sound := slices.DeleteFunc(slices.Clone(control), func(address string) bool {
		p := c.peers[address]
		return address == leader || p != nil && (p.stale || p.failed > 0 && now.Since(p.failed) <= troubledFor)
	})
	if near := slices.DeleteFunc(slices.Clone(sound), func(address string) bool { return !c.near(address) || !c.inTouch(leader, address) }); len(near) > 0 {
		sound = near
	}
	chosen, _ := affinity.Owners("link "+c.address, sound)
	return chosen
}

// near says whether a daemon of this one's zone is at an address.
func (c *Core) near(address string) bool {
	own, other := c.entries[c.self], c.entryAt(address)
	return own != nil && other != nil && own.row.Zone == other.row.Zone
}

// inTouch says whether the leader hears from a control daemon. One that is cut off from the group answers as
// well as before, and knows nothing new.
func (c *Core) inTouch(leader, address string) bool {
	p, other := c.peers[leader], c.entryAt(address)
	return leader == "" || p != nil && other != nil && p.vouches[other.row.NodeID]
}

// Teller is whom a daemon that only routes asks for all that is new; of others it asks what is urgent only. All
// control daemons in touch with the leader know the same, and what goes from zone to zone is dear: so it is the
// leader only where none of them is nearer.
func (c *Core) Teller(now clock.Mark, leader string) string {
	if leader != "" && c.near(leader) {
		return leader
	}
	if second := c.second(now, leader, c.control(now)); second != "" && c.near(second) && c.inTouch(leader, second) {
		return second
	}
	return leader
}

// ControlHeard is when any control daemon last answered with its list.
func (c *Core) ControlHeard() (heard clock.Mark) {
	for _, p := range c.peers {
		if p.control {
			heard = max(heard, p.last)
		}
	}
	return heard
}

// Fellows gives all lives that count, as they are known now.
func (c *Core) Fellows() map[ident.NodeID]Fellow {
	out := make(map[ident.NodeID]Fellow, len(c.entries))
	for id, e := range c.entries {
		if e.ended > 0 {
			continue
		}
		fellow := e.row.Fellow
		fellow.Heard = c.heardOf(e)
		out[id] = fellow
	}
	return out
}

const (
	// gatherEach is for how long, for each daemon of the fleet, a map of the others does on a daemon that only
	// routes, since making it costs that much more; gatherMost bounds it.
	gatherEach = 600 * time.Microsecond
	gatherMost = 200 * time.Millisecond
)

// Gathered gives the same as Fellows, or what that gave lately if nothing but the moments at which others were
// heard can have changed since. It must not be changed.
func (c *Core) Gathered(now clock.Mark) map[ident.NodeID]Fellow {
	lasts := min(time.Duration(len(c.entries))*gatherEach, gatherMost)
	// Control daemons acknowledge by who is in contact, so they know it as exactly as they can.
	if c.relays || c.gathered == nil || c.gatheredChanges != c.changes || now.Since(c.gatheredAt) >= lasts {
		c.gathered, c.gatheredChanges, c.gatheredAt = c.Fellows(), c.changes, now
	}
	return c.gathered
}

// Known is what is known of one life; false where it is not known, or ended.
func (c *Core) Known(id ident.NodeID) (Fellow, bool) {
	e := c.entries[id]
	if e == nil || e.ended > 0 {
		return Fellow{}, false
	}
	return e.row.Fellow, true
}
