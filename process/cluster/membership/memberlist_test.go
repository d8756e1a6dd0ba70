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

// simulatedDaemon is one machine of a simulated fleet, with the incarnation that runs on it.
type simulatedDaemon struct {
	name, address string
	control       bool
	incarnation   int
	memberList    *MemberList
	record        MemberRecord
	// startedAt is when it started; down: it does not run; partitioned: only other partitioned daemons reach it.
	startedAt         clock.Mark
	down, partitioned bool
	// nextPull is when it next pulls from an address.
	nextPull map[string]clock.Mark
}

type simulatedFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     clock.Mark
	daemons []*simulatedDaemon
	leader  string
	maxWait time.Duration
}

func newFleet(t *testing.T, size int, maxWait time.Duration) *simulatedFleet {
	f := &simulatedFleet{t: t, random: rand.New(rand.NewPCG(7, uint64(size))), maxWait: maxWait, now: clock.Mark(time.Minute)}
	for i := range size {
		d := &simulatedDaemon{name: fmt.Sprint("d", i), address: fmt.Sprint("a", i), control: i < controls}
		f.daemons = append(f.daemons, d)
		f.restart(d)
	}
	f.leader = "a0"
	return f
}

// restart starts a daemon's next incarnation.
func (f *simulatedFleet) restart(d *simulatedDaemon) {
	d.incarnation++
	id := ident.NodeID(fmt.Sprintf("%s#%d", d.name, d.incarnation))
	d.memberList = NewMemberList(id, d.address, d.control)
	d.record = MemberRecord{Member: Member{NodeID: id, Address: d.address, Roles: []string{"route"}, Ready: true}, Version: 1, HasAttributes: true}
	if d.control {
		d.record.Roles = []string{controlRole}
	}
	d.startedAt, d.down, d.nextPull = f.now, false, map[string]clock.Mark{}
}

func (f *simulatedFleet) daemonAt(address string) *simulatedDaemon {
	for _, d := range f.daemons {
		if d.address == address {
			return d
		}
	}
	return nil
}

// pull is one long poll, with its reply as of the end of its wait.
func (f *simulatedFleet) pull(d *simulatedDaemon, address string) {
	other := f.daemonAt(address)
	d.nextPull[address] = f.now + clock.Mark(f.maxWait)
	if other == nil || other.down || other.partitioned != d.partitioned {
		d.memberList.RecordFailure(f.now, address)
		d.nextPull[address] = f.now + clock.Mark(f.maxWait+PullTimeout)
		return
	}
	cursor, sendAttributes := d.memberList.PullCursor(address)
	record := d.record
	if !sendAttributes {
		record.HasAttributes, record.Zone, record.Roles = false, "", nil
	}
	known := other.memberList.RecordPull(f.now, record, f.maxWait)
	updates, next, fullResync := other.memberList.ChangesSince(f.now, cursor)
	d.memberList.SetKnownAttributes(address, known)
	d.memberList.Merge(f.now, address, next, fullResync, updates, f.now)
}

func (f *simulatedFleet) step() {
	f.now += clock.Mark(tick)
	for _, at := range f.random.Perm(len(f.daemons)) {
		d := f.daemons[at]
		if d.down {
			continue
		}
		d.memberList.SetSelf(f.now, d.record)
		d.memberList.Sweep(f.now, f.now-clock.Mark(forgetAfter))
		links := d.memberList.Links(f.now, f.leader, "")
		if len(links) == 0 {
			links = []string{fmt.Sprint("a", f.random.IntN(controls))}
		}
		for _, address := range links {
			if address != d.address && f.now >= d.nextPull[address] {
				f.pull(d, address)
			}
		}
	}
}

func (f *simulatedFleet) run(span time.Duration, check func()) {
	for until := f.now + clock.Mark(span); f.now < until; {
		f.step()
		if check != nil {
			check()
		}
	}
}

// sees reports whether a daemon counts another's current incarnation as in contact.
func (f *simulatedFleet) sees(d, other *simulatedDaemon) bool {
	member, known := d.memberList.Members()[other.record.NodeID]
	return known && f.now.Since(member.LastContact) <= ContactWindow
}

// assertAllAgree checks that each daemon that runs and is reachable sees all such daemons, and no other.
func (f *simulatedFleet) assertAllAgree(when string) {
	f.t.Helper()
	for _, d := range f.daemons {
		if d.down || d.partitioned {
			continue
		}
		for _, other := range f.daemons {
			if running := !other.down && !other.partitioned; f.sees(d, other) != running {
				f.t.Fatalf("%s: %s sees %s: %t, and it runs: %t", when, d.name, other.name, !running, running)
			}
		}
		for id := range d.memberList.Members() {
			for _, other := range f.daemons {
				if id.Name() == other.name && id != other.record.NodeID && !other.down {
					f.t.Fatalf("%s: %s still knows %s", when, d.name, id)
				}
			}
		}
	}
}

const convergence = 3 * time.Second

func TestLivenessIsStableWhileAllDaemonsRun(t *testing.T) {
	for _, maxWait := range []time.Duration{150 * time.Millisecond, 750 * time.Millisecond} {
		f := newFleet(t, 12, maxWait)
		f.run(convergence, nil)
		f.run(20*time.Second, func() { f.assertAllAgree(fmt.Sprint("at rest with ", maxWait)) })
	}
}

func TestUnchangedMemberListIsNotSentAgain(t *testing.T) {
	f := newFleet(t, 12, 750*time.Millisecond)
	f.run(convergence, nil)
	before := map[*simulatedDaemon]uint64{}
	for _, d := range f.daemons {
		before[d] = d.memberList.ChangeIndex()
	}
	f.run(20*time.Second, nil)
	for _, d := range f.daemons {
		if changes := d.memberList.ChangeIndex(); changes != before[d] {
			t.Errorf("%s went from change %d to %d", d.name, before[d], changes)
		}
	}
}

func TestStoppedDaemonIsRemovedAndItsNextIncarnationIsFound(t *testing.T) {
	for seed := range uint64(8) {
		f := newFleet(t, 10, 750*time.Millisecond)
		f.random = rand.New(rand.NewPCG(seed, 1))
		f.run(convergence, nil)
		for round := range 6 {
			d := f.daemons[f.random.IntN(len(f.daemons))]
			what := fmt.Sprintf("seed %d, round %d, %s", seed, round, d.name)
			switch f.random.IntN(3) {
			case 0:
				d.down = true
				f.run(convergence, nil)
				f.assertAllAgree(what + " down")
				f.restart(d)
			case 1:
				// It restarts too quickly to be missed.
				f.restart(d)
			case 2:
				d.partitioned = true
				if f.leader == d.address {
					f.leader = f.daemons[(int(d.address[1]-'0')+1)%controls].address
				}
				f.run(convergence, nil)
				f.assertAllAgree(what + " partitioned")
				d.partitioned = false
			}
			f.run(convergence, nil)
			f.assertAllAgree(what + " back")
		}
	}
}

func TestMembersStayInContactWhenTheLeaderIsLost(t *testing.T) {
	f := newFleet(t, 12, 750*time.Millisecond)
	f.run(convergence, nil)
	leader := f.daemons[0]
	leader.down = true
	// Until another leader is known, there is only the second link.
	f.run(convergence, nil)
	f.leader = "a1"
	f.run(convergence, nil)
	f.assertAllAgree("after the leader's loss")
}

func TestEndedIncarnationIsNotRevivedByIndirectReports(t *testing.T) {
	f := newFleet(t, 8, 750*time.Millisecond)
	f.run(convergence, nil)
	d := f.daemons[6]
	old := d.record.NodeID
	f.restart(d)
	f.run(convergence, nil)
	f.run(10*time.Second, func() {
		for _, other := range f.daemons {
			if _, known := other.memberList.Members()[old]; known {
				t.Fatalf("%s knows %s", other.name, old)
			}
		}
	})
}

func TestDaemonWithoutControlContactLearnsMembersByAge(t *testing.T) {
	now := clock.Mark(time.Minute)
	one, two := NewMemberList("one#1", "a1", false), NewMemberList("two#1", "a2", false)
	two.RecordPull(now-clock.Mark(2*time.Second), MemberRecord{Member: Member{NodeID: "three#1", Address: "a3"}, Version: 1, HasAttributes: true}, 0)
	one.MergeAll(now, two.AllWithin(now, 5*time.Second))
	if member := one.Members()["three#1"]; now.Since(member.LastContact) != 2*time.Second {
		t.Errorf("%+v", member)
	}
	// Contacts get no more recent by being passed round.
	later := now + clock.Mark(time.Second)
	two.MergeAll(later, one.AllWithin(later, 5*time.Second))
	if member := two.Members()["three#1"]; later.Since(member.LastContact) != 3*time.Second {
		t.Errorf("%+v", member)
	}
}

// zonedRouter is the member list of a routing daemon in zone b, which can be sent reports of others and by them.
type zonedRouter struct {
	*MemberList
	now clock.Mark
}

func newZonedRouter() zonedRouter {
	z := zonedRouter{MemberList: NewMemberList("edge#1", "edge", false), now: clock.Mark(time.Minute)}
	// Without a confirmation it links to all control daemons; the choice is tested with one.
	z.Confirm(z.now)
	z.SetSelf(z.now, MemberRecord{Member: Member{NodeID: "edge#1", Address: "edge", Zone: "b", Roles: []string{"route"}}, Version: 1})
	return z
}

func (z zonedRouter) pullFrom(address string, zone ident.ZoneID, serve string) {
	z.RecordPull(z.now, z.record(address, zone, serve), 0)
}

func (z zonedRouter) record(address string, zone ident.ZoneID, serve string) MemberRecord {
	return MemberRecord{Member: Member{NodeID: ident.NodeID(address + "#1"), Address: address, Zone: zone, Roles: []string{serve}}, Version: 1, HasAttributes: true}
}

// report has a control daemon report of others of zone b that they pull in time, or are overdue.
func (z zonedRouter) report(from string, late bool, of ...string) {
	var updates []MemberUpdate
	for _, address := range of {
		updates = append(updates, MemberUpdate{MemberRecord: z.record(address, "b", controlRole), Overdue: late, FirstHand: true})
	}
	z.Merge(z.now, from, Cursor{Incarnation: from + "#1", Seen: 1}, false, updates, z.now)
}

// The cached members are the same incarnations as Members returns, at every moment, with contacts that were current a
// moment ago; while nothing changes a routing daemon rebuilds the cache seldom.
func TestCachedMembersAgreeWithMembers(t *testing.T) {
	const size = 100
	f := newFleet(t, size, 600*time.Millisecond)
	// look holds the last contacts as a daemon knew them at one check.
	type look map[ident.NodeID]clock.Mark
	earlier := map[*MemberList][]look{}
	check := func() {
		for at, d := range f.daemons {
			// A sample is enough: two of three control daemons, and every ninth other.
			if d.down || at%9 > 1 {
				continue
			}
			gathered, known := d.memberList.CachedMembers(f.now), d.memberList.Members()
			if len(gathered) != len(known) {
				t.Fatalf("%s has cached %d members and knows %d", d.name, len(gathered), len(known))
			}
			looks, contact := earlier[d.memberList], look{}
			for id, now := range known {
				was := gathered[id]
				lately := slices.ContainsFunc(looks, func(l look) bool { return l[id] == was.LastContact })
				if was.LastContact != now.LastContact && (d.control || !lately) {
					t.Fatalf("%s cached %s with a contact %v ago, and knows of one %v ago", d.name, id, f.now.Since(was.LastContact), f.now.Since(now.LastContact))
				}
				contact[id], was.LastContact = now.LastContact, now.LastContact
				if !reflect.DeepEqual(was, now) {
					t.Fatalf("%s cached %+v and knows %+v", d.name, was, now)
				}
			}
			if looks = append(looks, contact); len(looks) > int(maxCacheAge/tick) {
				looks = looks[1:]
			}
			earlier[d.memberList] = looks
		}
	}
	f.run(convergence, check)
	for turn := range 20 {
		d := f.daemons[controls+turn]
		switch turn % 4 {
		case 0:
			f.restart(d)
		case 1:
			d.down = true
		case 2:
			d.record.ConfigurationVersion, d.record.ClosureVersion = d.record.ConfigurationVersion+1, d.record.ClosureVersion+1
		case 3:
			d.record.Ready, d.record.Version = false, d.record.Version+1
		}
		f.run(300*time.Millisecond, check)
	}
	routing, made, last := f.daemons[size-1].memberList, 0, uintptr(0)
	f.run(10*time.Second, func() {
		if at := reflect.ValueOf(routing.CachedMembers(f.now)).Pointer(); at != last {
			made, last = made+1, at
		}
	})
	// It is rebuilt each 60 ms with a hundred daemons, and checked each 50.
	if made > 101 {
		t.Errorf("rebuilt %d times in 200 checks without changes", made)
	}
}

func TestSweptMemberLeavesTheCache(t *testing.T) {
	now := clock.Mark(time.Hour)
	one := NewMemberList("one#1", "a1", false)
	for i := range 300 {
		contact := now
		if i%2 == 0 {
			contact -= clock.Mark(2 * forgetAfter)
		}
		one.RecordPull(contact, MemberRecord{Member: Member{NodeID: ident.NodeID(fmt.Sprintf("d%d#1", i)), Address: fmt.Sprint("d", i)}, Version: 1, HasAttributes: true}, 0)
	}
	if got := len(one.CachedMembers(now)); got != 300 {
		t.Fatalf("%d members", got)
	}
	one.Sweep(now, now-clock.Mark(forgetAfter))
	if got := len(one.CachedMembers(now)); got != 150 {
		t.Errorf("%d members, and half of 300 were swept", got)
	}
}

// Traffic between zones is expensive and all control daemons know the same, so all updates are pulled from one in the own
// zone, while links to the leader and the planner remain.
func TestRelayIsAControlDaemonOfTheOwnZone(t *testing.T) {
	z := newZonedRouter()
	if relay := z.Relay(z.now, ""); relay != "" {
		t.Errorf("nobody is known, yet %q is the relay", relay)
	}
	z.pullFrom("a1", "a", controlRole)
	z.pullFrom("c1", "c", controlRole)
	z.pullFrom("b9", "b", "route")
	if relay := z.Relay(z.now, "a1"); relay != "a1" {
		t.Errorf("with none in the own zone the leader is the relay, not %q", relay)
	}
	if links := z.Links(z.now, "a1", "c1"); len(links) != 2 {
		t.Errorf("the leader and one more are linked to: %q", links)
	}
	z.pullFrom("b1", "b", controlRole)
	if relay := z.Relay(z.now, "a1"); relay != "a1" {
		t.Errorf("the leader does not vouch for it, and %q is the relay", relay)
	}
	z.report("a1", false, "b1")
	if relay, links := z.Relay(z.now, "a1"), z.Links(z.now, "a1", "c1"); relay != "b1" || len(links) != 3 {
		t.Errorf("%q is the relay, linked to %q", relay, links)
	}
	if relay, links := z.Relay(z.now, "b1"), z.Links(z.now, "b1", "b1"); relay != "b1" || len(links) != 2 {
		t.Errorf("a leader of the own zone is the relay, and another is linked to: %q, %q", relay, links)
	}
	z.report("a1", false, "b2")
	z.report("b1", false, "b2")
	if relay := z.Relay(z.now, "b1"); relay != "b1" {
		t.Errorf("a leader of the own zone comes first, not %q", relay)
	}
	nearby := z.Relay(z.now, "a1")
	z.RecordFailure(z.now, nearby)
	if next := z.Relay(z.now, "a1"); next == nearby || next != "b1" && next != "b2" {
		t.Errorf("%q failed, and then %q is the relay", nearby, next)
	}
	z.RecordFailure(z.now, "b1")
	z.RecordFailure(z.now, "b2")
	if relay := z.Relay(z.now, "a1"); relay != "a1" {
		t.Errorf("both of the own zone failed, and %q is the relay", relay)
	}
	if relay := z.Relay(z.now+clock.Mark(2*failedLinkBackoff), "a1"); relay != "b1" && relay != "b2" {
		t.Errorf("after the backoff they are chosen again, not %q", relay)
	}
}

// A control daemon that is partitioned from the others goes on replying to the routing daemons of its zone. It learns of
// no plan and of no engine elsewhere, so it must not be their relay.
func TestRelayPartitionedFromTheLeaderIsReplaced(t *testing.T) {
	z := newZonedRouter()
	z.pullFrom("a1", "a", controlRole)
	z.pullFrom("b1", "b", controlRole)
	z.pullFrom("b2", "b", controlRole)
	z.report("a1", false, "b1", "b2")
	partitioned := z.Relay(z.now, "a1")
	z.report(partitioned, false, "b1", "b2")
	z.report("a1", true, partitioned)
	z.report(partitioned, false, partitioned)
	next := z.Relay(z.now, "a1")
	if next == partitioned || next == "a1" || next == "" {
		t.Errorf("%q is partitioned, and %q is the relay", partitioned, next)
	}
	z.report("a1", true, next)
	if relay := z.Relay(z.now, "a1"); relay != "a1" {
		t.Errorf("both of the own zone are partitioned, and %q is the relay", relay)
	}
	// One that led before the partition is not in contact with the new leader.
	z.report("b1", false, "b1", "b2")
	if relay := z.Relay(z.now, "a1"); relay != "a1" {
		t.Errorf("%q is the relay", relay)
	}
	z.report("a1", false, partitioned)
	if relay := z.Relay(z.now, "a1"); relay != partitioned {
		t.Errorf("the partition has healed, and %q is the relay", relay)
	}
}

// With each rollout every member's versions change; who learns that from its relay must not be sent it by others too.
func TestConfigurationVersionIsNoStatusChange(t *testing.T) {
	now := clock.Mark(time.Minute)
	list := NewMemberList("core#1", "core", true)
	record := MemberRecord{Member: Member{NodeID: "edge#1", Address: "edge", Roles: []string{"route"}, Ready: true, ConfigurationVersion: 1}, Version: 1, HasAttributes: true}
	list.RecordPull(now, record, time.Second)
	_, cursor, _ := list.ChangesSince(now, Cursor{})
	statusChange := list.StatusChangeIndex()
	record.ConfigurationVersion, record.HasAttributes = 2, false
	list.RecordPull(now, record, time.Second)
	if list.StatusChangeIndex() != statusChange || list.ChangeIndex() <= statusChange {
		t.Errorf("%d and %d, before %d", list.StatusChangeIndex(), list.ChangeIndex(), statusChange)
	}
	if updates, _, _ := list.ChangesSince(now, cursor); len(updates) != 1 || updates[0].ConfigurationVersion != 2 {
		t.Errorf("%+v", updates)
	}
	updates, next, _ := list.StatusChangesSince(now, cursor)
	if len(updates) != 0 || next.Seen != list.ChangeIndex() {
		t.Errorf("%+v, up to %+v", updates, next)
	}
	// A member that becomes overdue is sent by all, with all that is known of it.
	list.Sweep(now+clock.Mark(10*time.Second), 0)
	if updates, _, _ := list.StatusChangesSince(now, next); len(updates) != 1 || !updates[0].Overdue || updates[0].ConfigurationVersion != 2 {
		t.Errorf("%+v", updates)
	}
	if updates, _, fullResync := list.StatusChangesSince(now, Cursor{}); len(updates) != 1 || !fullResync {
		t.Errorf("full resync: %+v", updates)
	}
}
