package membership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const (
	tick     = 50 * time.Millisecond
	controls = 3
)

// daemon is one machine of a simulated fleet, with the life that runs on it.
type daemon struct {
	name, address string
	control       bool
	life          int
	core          *MemberList
	row           MemberRecord
	// up is since when it runs; down says that it does not, cut that nothing reaches it.
	up        clock.Mark
	down, cut bool
	// due is when it asks at an address next.
	due map[string]clock.Mark
}

type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     clock.Mark
	daemons []*daemon
	leader  string
	hold    time.Duration
}

func newFleet(t *testing.T, size int, hold time.Duration) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(7, uint64(size))), hold: hold, now: clock.Mark(time.Minute)}
	for i := range size {
		d := &daemon{name: fmt.Sprint("d", i), address: fmt.Sprint("a", i), control: i < controls}
		f.daemons = append(f.daemons, d)
		f.begin(d)
	}
	f.leader = "a0"
	return f
}

// begin starts a daemon's next life.
func (f *fleet) begin(d *daemon) {
	d.life++
	id := ident.NodeID(fmt.Sprintf("%s#%d", d.name, d.life))
	d.core = NewMemberList(id, d.address, d.control)
	d.row = MemberRecord{Member: Member{NodeID: id, Address: d.address, Roles: []string{"route"}, Ready: true}, Version: 1, HasAttributes: true}
	if d.control {
		d.row.Roles = []string{controlRole}
	}
	d.up, d.down, d.due = f.now, false, map[string]clock.Mark{}
}

func (f *fleet) at(address string) *daemon {
	for _, d := range f.daemons {
		if d.address == address {
			return d
		}
	}
	return nil
}

// ask is one linked question, with its answer as it is at the end of its hold.
func (f *fleet) ask(d *daemon, address string) {
	other := f.at(address)
	d.due[address] = f.now + clock.Mark(f.hold)
	if other == nil || other.down || other.cut != d.cut {
		d.core.RecordFailure(f.now, address)
		d.due[address] = f.now + clock.Mark(f.hold+PullTimeout)
		return
	}
	cursor, tellRow := d.core.PullCursor(address)
	row := d.row
	if !tellRow {
		row.HasAttributes, row.Zone, row.Roles = false, "", nil
	}
	known := other.core.RecordPull(f.now, row, f.hold)
	told, next, afresh := other.core.ChangesSince(f.now, cursor)
	d.core.SetKnownAttributes(address, known)
	d.core.Merge(f.now, address, next, afresh, told, f.now)
}

func (f *fleet) step() {
	f.now += clock.Mark(tick)
	for _, at := range f.random.Perm(len(f.daemons)) {
		d := f.daemons[at]
		if d.down {
			continue
		}
		d.core.SetSelf(f.now, d.row)
		d.core.Sweep(f.now, f.now-clock.Mark(forgetAfter))
		links := d.core.Links(f.now, f.leader, "")
		if len(links) == 0 {
			links = []string{fmt.Sprint("a", f.random.IntN(controls))}
		}
		for _, address := range links {
			if address != d.address && f.now >= d.due[address] {
				f.ask(d, address)
			}
		}
	}
}

func (f *fleet) run(span time.Duration, check func()) {
	for until := f.now + clock.Mark(span); f.now < until; {
		f.step()
		if check != nil {
			check()
		}
	}
}

// sees says whether a daemon takes another's present life as in contact.
func (f *fleet) sees(d, other *daemon) bool {
	fellow, known := d.core.Members()[other.row.NodeID]
	return known && f.now.Since(fellow.LastContact) <= ContactWindow
}

// agree checks that each that runs and is reached sees all such, and nobody else.
func (f *fleet) agree(when string) {
	f.t.Helper()
	for _, d := range f.daemons {
		if d.down || d.cut {
			continue
		}
		for _, other := range f.daemons {
			if lives := !other.down && !other.cut; f.sees(d, other) != lives {
				f.t.Fatalf("%s: %s sees %s: %t, and it lives: %t", when, d.name, other.name, !lives, lives)
			}
		}
		for id := range d.core.Members() {
			for _, other := range f.daemons {
				if id.Name() == other.name && id != other.row.NodeID && !other.down {
					f.t.Fatalf("%s: %s still knows %s", when, d.name, id)
				}
			}
		}
	}
}

const settles = 3 * time.Second

func TestAllSeeEachOtherAndNobodyFlickers(t *testing.T) {
	for _, hold := range []time.Duration{150 * time.Millisecond, 750 * time.Millisecond} {
		f := newFleet(t, 12, hold)
		f.run(settles, nil)
		f.run(20*time.Second, func() { f.agree(fmt.Sprint("at rest with ", hold)) })
	}
}

func TestAListAtRestIsNotToldAgain(t *testing.T) {
	f := newFleet(t, 12, 750*time.Millisecond)
	f.run(settles, nil)
	before := map[*daemon]uint64{}
	for _, d := range f.daemons {
		before[d] = d.core.ChangeIndex()
	}
	f.run(20*time.Second, nil)
	for _, d := range f.daemons {
		if changes := d.core.ChangeIndex(); changes != before[d] {
			t.Errorf("%s went from change %d to %d", d.name, before[d], changes)
		}
	}
}

func TestWhoStopsIsSeenToBeGoneAndItsNextLifeToBeThere(t *testing.T) {
	for seed := range uint64(8) {
		f := newFleet(t, 10, 750*time.Millisecond)
		f.random = rand.New(rand.NewPCG(seed, 1))
		f.run(settles, nil)
		for round := range 6 {
			d := f.daemons[f.random.IntN(len(f.daemons))]
			what := fmt.Sprintf("seed %d, round %d, %s", seed, round, d.name)
			switch f.random.IntN(3) {
			case 0:
				d.down = true
				f.run(settles, nil)
				f.agree(what + " down")
				f.begin(d)
			case 1:
				// It ends and begins so quickly that nobody can miss it.
				f.begin(d)
			case 2:
				d.cut = true
				if f.leader == d.address {
					f.leader = f.daemons[(int(d.address[1]-'0')+1)%controls].address
				}
				f.run(settles, nil)
				f.agree(what + " cut off")
				d.cut = false
			}
			f.run(settles, nil)
			f.agree(what + " back")
		}
	}
}

func TestTheLeadersLossLeavesAllInSight(t *testing.T) {
	f := newFleet(t, 12, 750*time.Millisecond)
	f.run(settles, nil)
	leader := f.daemons[0]
	leader.down = true
	// Until another is known, the second link is all there is.
	f.run(settles, nil)
	f.leader = "a1"
	f.run(settles, nil)
	f.agree("after the leader's loss")
}

func TestALifeThatEndedIsNotKeptByHearsay(t *testing.T) {
	f := newFleet(t, 8, 750*time.Millisecond)
	f.run(settles, nil)
	d := f.daemons[6]
	old := d.row.NodeID
	f.begin(d)
	f.run(settles, nil)
	f.run(10*time.Second, func() {
		for _, other := range f.daemons {
			if _, known := other.core.Members()[old]; known {
				t.Fatalf("%s knows %s", other.name, old)
			}
		}
	})
}

func TestOneThatLostControlLearnsByAges(t *testing.T) {
	now := clock.Mark(time.Minute)
	one, two := NewMemberList("one#1", "a1", false), NewMemberList("two#1", "a2", false)
	two.RecordPull(now-clock.Mark(2*time.Second), MemberRecord{Member: Member{NodeID: "three#1", Address: "a3"}, Version: 1, HasAttributes: true}, 0)
	one.MergeAll(now, two.AllWithin(now, 5*time.Second))
	if fellow := one.Members()["three#1"]; now.Since(fellow.LastContact) != 2*time.Second {
		t.Errorf("%+v", fellow)
	}
	// What goes round grows no younger.
	later := now + clock.Mark(time.Second)
	two.MergeAll(later, one.AllWithin(later, 5*time.Second))
	if fellow := two.Members()["three#1"]; later.Since(fellow.LastContact) != 3*time.Second {
		t.Errorf("%+v", fellow)
	}
}

// zoned is what a routing daemon in zone b knows, which can be told of others and by them.
type zoned struct {
	*MemberList
	now clock.Mark
}

func newZoned() zoned {
	z := zoned{MemberList: NewMemberList("edge#1", "edge", false), now: clock.Mark(time.Minute)}
	// One that nobody has confirmed asks all control daemons; which of them it chooses is looked at in calm.
	z.Confirm(z.now)
	z.SetSelf(z.now, MemberRecord{Member: Member{NodeID: "edge#1", Address: "edge", Zone: "b", Roles: []string{"route"}}, Version: 1})
	return z
}

func (z zoned) hear(address string, zone ident.ZoneID, serve string) {
	z.RecordPull(z.now, z.row(address, zone, serve), 0)
}

func (z zoned) row(address string, zone ident.ZoneID, serve string) MemberRecord {
	return MemberRecord{Member: Member{NodeID: ident.NodeID(address + "#1"), Address: address, Zone: zone, Roles: []string{serve}}, Version: 1, HasAttributes: true}
}

// tell has a control daemon say of others of zone b that they ask it in time, or are late.
func (z zoned) tell(from string, late bool, of ...string) {
	var told []MemberUpdate
	for _, address := range of {
		told = append(told, MemberUpdate{MemberRecord: z.row(address, "b", controlRole), Overdue: late, FirstHand: true})
	}
	z.Merge(z.now, from, Cursor{Incarnation: from + "#1", Seen: 1}, false, told, z.now)
}

// What is gathered tells of the same lives as is known, at every moment, and of when they were heard as of lately;
// at rest a daemon that only routes makes it seldom.
func TestWhatIsGatheredIsWhatIsKnown(t *testing.T) {
	const size = 100
	f := newFleet(t, size, 600*time.Millisecond)
	// earlier are the moments at which others were heard, as each daemon knew them some looks ago.
	type look map[ident.NodeID]clock.Mark
	earlier := map[*MemberList][]look{}
	check := func() {
		for at, d := range f.daemons {
			// Some of them are enough: two of three control daemons, and every ninth other.
			if d.down || at%9 > 1 {
				continue
			}
			gathered, known := d.core.CachedMembers(f.now), d.core.Members()
			if len(gathered) != len(known) {
				t.Fatalf("%s has gathered %d lives and knows %d", d.name, len(gathered), len(known))
			}
			looks, heard := earlier[d.core], look{}
			for id, now := range known {
				was := gathered[id]
				lately := slices.ContainsFunc(looks, func(l look) bool { return l[id] == was.LastContact })
				if was.LastContact != now.LastContact && (d.control || !lately) {
					t.Fatalf("%s gathered %s as heard %v ago, and knows of %v ago", d.name, id, f.now.Since(was.LastContact), f.now.Since(now.LastContact))
				}
				heard[id], was.LastContact = now.LastContact, now.LastContact
				if !reflect.DeepEqual(was, now) {
					t.Fatalf("%s gathered %+v and knows %+v", d.name, was, now)
				}
			}
			if looks = append(looks, heard); len(looks) > int(maxCacheAge/tick) {
				looks = looks[1:]
			}
			earlier[d.core] = looks
		}
	}
	f.run(settles, check)
	for turn := range 20 {
		d := f.daemons[controls+turn]
		switch turn % 4 {
		case 0:
			f.begin(d)
		case 1:
			d.down = true
		case 2:
			d.row.ConfigurationVersion, d.row.ClosureVersion = d.row.ConfigurationVersion+1, d.row.ClosureVersion+1
		case 3:
			d.row.Ready, d.row.Version = false, d.row.Version+1
		}
		f.run(300*time.Millisecond, check)
	}
	routing, made, last := f.daemons[size-1].core, 0, uintptr(0)
	f.run(10*time.Second, func() {
		if at := reflect.ValueOf(routing.CachedMembers(f.now)).Pointer(); at != last {
			made, last = made+1, at
		}
	})
	// Each 60 ms at a hundred daemons, looked at each 50.
	if made > 101 {
		t.Errorf("made %d times in 200 looks at rest", made)
	}
}

func TestWhoIsForgottenIsGatheredNoMore(t *testing.T) {
	now := clock.Mark(time.Hour)
	one := NewMemberList("one#1", "a1", false)
	for i := range 300 {
		heard := now
		if i%2 == 0 {
			heard -= clock.Mark(2 * forgetAfter)
		}
		one.RecordPull(heard, MemberRecord{Member: Member{NodeID: ident.NodeID(fmt.Sprintf("d%d#1", i)), Address: fmt.Sprint("d", i)}, Version: 1, HasAttributes: true}, 0)
	}
	if got := len(one.CachedMembers(now)); got != 300 {
		t.Fatalf("%d lives", got)
	}
	one.Sweep(now, now-clock.Mark(forgetAfter))
	if got := len(one.CachedMembers(now)); got != 150 {
		t.Errorf("%d lives, and half of 300 were forgotten", got)
	}
}

// What goes from zone to zone is dear, and all control daemons know the same: all that is new is asked of one in
// the own zone, while the leader and whoever plans are asked as well.
func TestAllIsAskedOfAControlDaemonOfTheOwnZone(t *testing.T) {
	z := newZoned()
	if teller := z.Relay(z.now, ""); teller != "" {
		t.Errorf("nobody is known, yet %q tells all", teller)
	}
	z.hear("a1", "a", controlRole)
	z.hear("c1", "c", controlRole)
	z.hear("b9", "b", "route")
	if teller := z.Relay(z.now, "a1"); teller != "a1" {
		t.Errorf("with none in the own zone the leader tells all, not %q", teller)
	}
	if links := z.Links(z.now, "a1", "c1"); len(links) != 2 {
		t.Errorf("the leader, and another: %q", links)
	}
	z.hear("b1", "b", controlRole)
	if teller := z.Relay(z.now, "a1"); teller != "a1" {
		t.Errorf("the leader has not said that it hears from it, and %q tells all", teller)
	}
	z.tell("a1", false, "b1")
	if teller, links := z.Relay(z.now, "a1"), z.Links(z.now, "a1", "c1"); teller != "b1" || len(links) != 3 {
		t.Errorf("%q tells all, asked are %q", teller, links)
	}
	if teller, links := z.Relay(z.now, "b1"), z.Links(z.now, "b1", "b1"); teller != "b1" || len(links) != 2 {
		t.Errorf("a near leader tells all, and another is asked: %q, %q", teller, links)
	}
	z.tell("a1", false, "b2")
	z.tell("b1", false, "b2")
	if teller := z.Relay(z.now, "b1"); teller != "b1" {
		t.Errorf("a near leader comes first, not %q", teller)
	}
	near := z.Relay(z.now, "a1")
	z.RecordFailure(z.now, near)
	if next := z.Relay(z.now, "a1"); next == near || next != "b1" && next != "b2" {
		t.Errorf("%q failed, and then %q tells all", near, next)
	}
	z.RecordFailure(z.now, "b1")
	z.RecordFailure(z.now, "b2")
	if teller := z.Relay(z.now, "a1"); teller != "a1" {
		t.Errorf("both near ones failed, and %q tells all", teller)
	}
	if teller := z.Relay(z.now+clock.Mark(2*failedLinkBackoff), "a1"); teller != "b1" && teller != "b2" {
		t.Errorf("after a while they are tried again, not %q", teller)
	}
}

// A control daemon that is cut off from the others goes on to answer the routing daemons of its zone: it hears of no
// plan and of no engine elsewhere, so it must not be the one that tells them all.
func TestWhoIsCutOffFromTheLeaderTellsNobodyAll(t *testing.T) {
	z := newZoned()
	z.hear("a1", "a", controlRole)
	z.hear("b1", "b", controlRole)
	z.hear("b2", "b", controlRole)
	z.tell("a1", false, "b1", "b2")
	cut := z.Relay(z.now, "a1")
	z.tell(cut, false, "b1", "b2")
	z.tell("a1", true, cut)
	z.tell(cut, false, cut)
	next := z.Relay(z.now, "a1")
	if next == cut || next == "a1" || next == "" {
		t.Errorf("%q is cut off, and %q tells all", cut, next)
	}
	z.tell("a1", true, next)
	if teller := z.Relay(z.now, "a1"); teller != "a1" {
		t.Errorf("both near ones are cut off, and %q tells all", teller)
	}
	// One that led before it was cut off is not in touch with who leads now.
	z.tell("b1", false, "b1", "b2")
	if teller := z.Relay(z.now, "a1"); teller != "a1" {
		t.Errorf("%q tells all", teller)
	}
	z.tell("a1", false, cut)
	if teller := z.Relay(z.now, "a1"); teller != cut {
		t.Errorf("the cut has healed, and %q tells all", teller)
	}
}

// With each bundle everyone's row changes; who is told of that by its teller must not be told by others as well.
func TestWhatIsInForceIsNotSolidNews(t *testing.T) {
	now := clock.Mark(time.Minute)
	core := NewMemberList("core#1", "core", true)
	row := MemberRecord{Member: Member{NodeID: "edge#1", Address: "edge", Roles: []string{"route"}, Ready: true, ConfigurationVersion: 1}, Version: 1, HasAttributes: true}
	core.RecordPull(now, row, time.Second)
	_, cursor, _ := core.ChangesSince(now, Cursor{})
	solid := core.StatusChangeIndex()
	row.ConfigurationVersion, row.HasAttributes = 2, false
	core.RecordPull(now, row, time.Second)
	if core.StatusChangeIndex() != solid || core.ChangeIndex() <= solid {
		t.Errorf("%d and %d, before %d", core.StatusChangeIndex(), core.ChangeIndex(), solid)
	}
	if told, _, _ := core.ChangesSince(now, cursor); len(told) != 1 || told[0].ConfigurationVersion != 2 {
		t.Errorf("%+v", told)
	}
	told, next, _ := core.StatusChangesSince(now, cursor)
	if len(told) != 0 || next.Seen != core.ChangeIndex() {
		t.Errorf("%+v, up to %+v", told, next)
	}
	// Who comes to be late, or is ready no more, is told of by all, with all that is known of it.
	core.Sweep(now+clock.Mark(10*time.Second), 0)
	if told, _, _ := core.StatusChangesSince(now, next); len(told) != 1 || !told[0].Overdue || told[0].ConfigurationVersion != 2 {
		t.Errorf("%+v", told)
	}
	if told, _, afresh := core.StatusChangesSince(now, Cursor{}); len(told) != 1 || !afresh {
		t.Errorf("afresh: %+v", told)
	}
}
