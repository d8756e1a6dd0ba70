package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const second = clock.Mark(time.Second)

var soleControl = func(now clock.Mark) Connectivity { return Connectivity{CanDetectTimeouts: true, Horizon: now} }

func engineWord(id string, callSeq uint64) Registration {
	return Registration{ID: ident.EngineID(id), Pool: "p", Address: "10.0.0.1:" + id[1:], Zone: "z", Slots: 4, CallSeq: callSeq,
		Models: []LoadedModel{{Model: "m", Generation: 1, Adapters: []string{"a1"}}}}
}

func TestOfTwoWordsTheHigherCallSeqCounts(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	newer, older := engineWord("e1", 5), engineWord("e1", 4)
	newer.Slots, older.Slots = 8, 2
	if c.ReceiveHeartbeat(second, newer).Stale {
		t.Error("the first word is not late")
	}
	if !c.ReceiveHeartbeat(second, older).Stale {
		t.Error("an older word is late")
	}
	same := newer
	same.Slots = 9
	if !c.ReceiveHeartbeat(second, same).Stale || c.View().Engines["e1"].Slots != 8 {
		t.Error("a word of the same number with other content is dropped")
	}
}

func TestWhoIsGoneNeverComesBack(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ReceiveHeartbeat(second, engineWord("e1", 1))
	c.Deregister(second, "e1")
	c.ReceiveHeartbeat(2*second, engineWord("e1", 9))
	if engine := c.View().Engines["e1"]; !engine.Deregistered || engine.Usable() {
		t.Errorf("%+v", engine)
	}
	// Nor one that ended before it was ever heard of, nor after it was forgotten.
	c.Deregister(second, "e2")
	for now := second; now < 700*second; now += second {
		c.Tick(now, time.Second, soleControl(now))
	}
	c.ReceiveHeartbeat(700*second, engineWord("e2", 9))
	c.ReceiveHeartbeat(700*second, engineWord("e1", 12))
	for id, engine := range c.View().Engines {
		if engine.Usable() {
			t.Errorf("%s is back: %+v", id, engine)
		}
	}
}

func TestSilenceIsJudgedOnlyAfterListening(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ApplyDelta(second, "peer", Delta{Cursor: Cursor{Incarnation: "other", Seen: 1}, FullResync: true, Records: []Record{func() Record {
		word := engineWord("e1", 7)
		return Record{ID: "e1", CallSeq: 7, Digest: digestOf(word), LastHeartbeat: -100 * second, Registration: &word}
	}()}}, nil)
	silentAt := clock.Mark(0)
	for now := second; now < 20*second && silentAt == 0; now += second / 4 {
		c.Tick(now, time.Second, soleControl(now))
		if c.View().Engines["e1"].TimedOut {
			silentAt = now
		}
	}
	if silentAt < second+3*second || silentAt > 6*second {
		t.Errorf("silent at %v", time.Duration(silentAt))
	}
	c.ReceiveHeartbeat(21*second, engineWord("e1", 8))
	if !c.View().Engines["e1"].Usable() {
		t.Error("a beat ends silence")
	}
	// One that slept, or is out of touch, judges nobody.
	for now := 60 * second; now < 63*second; now += second / 2 {
		c.Tick(now, time.Second, soleControl(now))
	}
	for now := 63 * second; now < 70*second; now += second / 2 {
		c.Tick(now, time.Second, Connectivity{Horizon: now})
	}
	if !c.View().Engines["e1"].Usable() {
		t.Error("judged without having listened")
	}
}

func TestAnEdgeJudgesNobody(t *testing.T) {
	c := NewCore("one", false, time.Second, 0)
	word := engineWord("e1", 7)
	c.ApplyDelta(second, "peer", Delta{Cursor: Cursor{Incarnation: "other", Seen: 1}, Records: []Record{{ID: "e1", CallSeq: 7, Digest: digestOf(word), LastHeartbeat: second, Registration: &word}}}, nil)
	for now := second; now < 2000*second; now += second / 2 {
		c.Tick(now, time.Second, soleControl(now))
	}
	if engine := c.View().Engines["e1"]; engine == nil || !engine.Usable() {
		t.Errorf("%+v", engine)
	}
}

func TestWhoFollowsAtAnAddressEndsWhoWasThere(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ReceiveHeartbeat(second, engineWord("e1", 7))
	next := engineWord("e2", 1)
	next.Address = engineWord("e1", 7).Address
	c.ReceiveHeartbeat(2*second, next)
	if c.View().Engines["e1"].Usable() || !c.View().Engines["e2"].Usable() {
		t.Error("the one heard later counts")
	}
	// A late word of the old one, from a frozen machine's buffers, does not end the new one for good.
	c.ReceiveHeartbeat(2*second+1, engineWord("e1", 8))
	for now := 3 * second; now < 10*second; now += second / 2 {
		next.CallSeq++
		c.ReceiveHeartbeat(now, next)
		c.Tick(now, time.Second, soleControl(now))
	}
	if e1, e2 := c.View().Engines["e1"], c.View().Engines["e2"]; !e1.Deregistered || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
}

// TestALateBeatDoesNotDisplaceWhoFollowed: beats may come seconds late, and an address is given on sooner.
func TestALateBeatDoesNotDisplaceWhoFollowed(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	first, next := engineWord("e1", 7), engineWord("e2", 1)
	next.Address = first.Address
	c.ReceiveHeartbeat(second, first)
	c.ReceiveHeartbeat(4*second, next)
	first.CallSeq++
	if hearing := c.ReceiveHeartbeat(5*second, first); !hearing.Stale {
		t.Error("it is taken for one that still lives")
	}
	if e1, e2 := c.View().Engines["e1"], c.View().Engines["e2"]; e1.Usable() || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
	// Where the one that followed has fallen silent, there is nobody to protect.
	for now := 5 * second; now < 12*second; now += second / 4 {
		c.Tick(now, time.Second, soleControl(now))
	}
	first.CallSeq++
	c.ReceiveHeartbeat(12*second, first)
	if c.View().Engines["e2"].Usable() {
		t.Error("one that is silent is in use")
	}
}

// TestWhoSaysItIsGoneAndServesOnStaysOut: some engines say first that they are gone, and serve and beat on for a
// while. Whatever comes after, late or not, at that daemon or at one that has it from the group alone, none uses them.
func TestWhoSaysItIsGoneAndServesOnStaysOut(t *testing.T) {
	told, heard := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0)
	for _, c := range []*Core{told, heard} {
		c.ReceiveHeartbeat(second, engineWord("e1", 5))
		c.ReceiveHeartbeat(second, engineWord("e2", 5))
	}
	told.Deregister(2*second, "e1")
	heard.MarkDraining(2*second, "e1", false, true)
	for at, callSeq := range []uint64{6, 3, 9, 7, 12, 4} {
		now := 2*second + clock.Mark(at)*second/2
		for _, c := range []*Core{told, heard} {
			hearing := c.ReceiveHeartbeat(now, engineWord("e1", callSeq))
			c.Tick(now, time.Second, soleControl(now))
			if c.View().Engines["e1"].Usable() {
				t.Errorf("it is back by beat %d: %+v", callSeq, hearing)
			}
			if hearing.DrainCommitted != (c == heard) {
				t.Errorf("beat %d: %+v", callSeq, hearing)
			}
		}
	}
}

func TestOnlyWhatAPeerLacksIsTold(t *testing.T) {
	one, two := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	for i := range 10 {
		one.ReceiveHeartbeat(second, engineWord(fmt.Sprint("e", i), 1))
	}
	pull := func(beats bool, most int) Delta {
		cursor, wanted := two.NextRequest("one")
		question := DeltaRequest{Cursor: cursor, FullRecordsOf: wanted}
		if beats {
			question.Filter = WithHeartbeats
		}
		difference := one.DeltaSince(question, most)
		two.ApplyDelta(second, "one", difference, wanted)
		return difference
	}
	told := 0
	for {
		difference := pull(false, 3)
		told += len(difference.Records)
		if !difference.More {
			break
		}
	}
	if told != 10 || len(two.View().Engines) != 10 {
		t.Errorf("%d told, %d known", told, len(two.View().Engines))
	}
	if n := len(pull(false, 3).Records); n != 0 {
		t.Errorf("%d told again", n)
	}
	one.ReceiveHeartbeat(2*second, engineWord("e1", 2))
	if n := len(pull(false, 3).Records); n != 0 {
		t.Errorf("%d told of a beat that brought nothing new", n)
	}
	one.ReceiveHeartbeat(2*second, engineWord("e2", 2))
	if d := pull(true, 3); len(d.Records) != 1 || d.Records[0].Registration != nil || two.LastHeartbeats()["e2"] != (LastHeartbeat{CallSeq: 2, Received: 2 * second}) {
		t.Errorf("%+v", d)
	}
	one.MarkDraining(3*second, "e3", false, true)
	if d := pull(false, 3); len(d.Records) != 1 || d.Records[0].Registration != nil || two.View().Engines["e3"].Usable() {
		t.Errorf("%+v", d)
	}
}

func TestOfWhatIsUrgentAllIsToldInShort(t *testing.T) {
	control, edge := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	pull := func() Delta {
		cursor, wanted := edge.NextRequest("one urgent")
		difference := control.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted, Filter: UrgentOnly}, 100)
		edge.ApplyDelta(second, "one urgent", difference, wanted)
		return difference
	}
	control.ReceiveHeartbeat(second, engineWord("e1", 1))
	if d := pull(); len(d.Records) != 1 || d.Records[0].Registration != nil {
		t.Errorf("%+v", d.Records)
	}
	// It knew nothing of that one, so it asks for it.
	if pull(); !edge.View().Engines["e1"].Usable() {
		t.Error("the engine that came is not known")
	}
	more := engineWord("e1", 2)
	more.Models = append(more.Models, LoadedModel{Model: "n", Generation: 1})
	control.ReceiveHeartbeat(2*second, more)
	control.PublishPlans(2*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1}})
	if d := pull(); len(d.Records) != 0 {
		t.Errorf("what is held is not urgent: %+v", d.Records)
	}
	control.ReceiveHeartbeat(3*second, engineWord("e2", 1))
	if pull(); pull().More || !edge.View().Engines["e2"].Usable() {
		t.Error("who came later is urgent too")
	}
	control.MarkDraining(4*second, "e1", false, true)
	if pull(); edge.View().Engines["e1"].Usable() {
		t.Error("leaving is urgent")
	}
	control.Tick(4*second, time.Second, Connectivity{})
	for now := 5 * second; now < 10*second; now += second / 2 {
		control.Tick(now, time.Second, soleControl(now))
	}
	if pull(); edge.View().Engines["e2"].Usable() {
		t.Error("silence is urgent")
	}
}

func TestWhoHeardTheNewestBeatSaysSoToThoseWhoWereToldOfSilence(t *testing.T) {
	judge, hearer, edge := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", false, time.Second, 0)
	tell := func(from, to *Core, name string) {
		cursor, wanted := to.NextRequest(name)
		to.ApplyDelta(20*second, name, from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted}, 100), wanted)
	}
	judge.ReceiveHeartbeat(second, engineWord("e1", 1))
	tell(judge, hearer, "one")
	tell(hearer, edge, "two")
	hearer.ReceiveHeartbeat(2*second, engineWord("e1", 2))
	for now := second; now < 10*second; now += second / 2 {
		judge.Tick(now, time.Second, soleControl(now))
	}
	tell(judge, edge, "one")
	if edge.View().Engines["e1"].Usable() {
		t.Fatal("the edge was not told of the silence")
	}
	// The one that judged goes down; the one that heard the beat puts it right.
	tell(judge, hearer, "one")
	tell(hearer, edge, "two")
	if !edge.View().Engines["e1"].Usable() {
		t.Error("an engine that beat is still taken for silent")
	}
}

func TestAnotherLifeOfAPeerIsToldInShortAndAskedForWhatIsLacking(t *testing.T) {
	before, edge := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	for i := range 8 {
		before.ReceiveHeartbeat(second, engineWord(fmt.Sprint("e", i), 1))
	}
	pull := func(from *Core) Delta {
		cursor, wanted := edge.NextRequest("one")
		difference := from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted}, 100)
		edge.ApplyDelta(second, "one", difference, wanted)
		return difference
	}
	pull(before)
	after := NewCore("one'", true, time.Second, 2*second)
	for i := range 9 {
		after.ReceiveHeartbeat(3*second, engineWord(fmt.Sprint("e", i), 2))
	}
	for _, record := range pull(after).Records {
		if record.Registration != nil {
			t.Errorf("%s is told whole", record.ID)
		}
	}
	if d := pull(after); len(d.Records) != 1 || len(edge.View().Engines) != 9 {
		t.Errorf("%d records, %d engines", len(d.Records), len(edge.View().Engines))
	}
}

func TestLoadsAreToldNowAndThen(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ReceiveHeartbeat(second, engineWord("e1", 1))
	c.PublishPlans(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1, Active: 1}})
	seen := c.DeltaSince(DeltaRequest{}, 100).Cursor
	c.PublishPlans(second+second/10, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 2, Active: 2}})
	if d := c.DeltaSince(DeltaRequest{Cursor: seen}, 100); len(d.Records) != 0 || c.View().Engines["e1"].Plan.Active != 2 {
		t.Errorf("%+v", d.Records)
	}
	c.Tick(2*second, time.Second, Connectivity{})
	if d := c.DeltaSince(DeltaRequest{Cursor: seen}, 100); len(d.Records) != 1 || d.Records[0].PlanExtent != LoadsOnly {
		t.Errorf("%+v", d.Records)
	}
	// Those of another zone hear of it more seldom, where there are many.
	many := NewCore("many", true, time.Second, 0)
	for i := range 200 {
		many.ReceiveHeartbeat(second, engineWord(fmt.Sprint("e", i), 1))
	}
	many.PublishPlans(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1, Active: 1}})
	there := many.DeltaSince(DeltaRequest{}, 1000).Cursor
	many.PublishPlans(2*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 2, Active: 2}})
	if d := many.DeltaSince(DeltaRequest{Cursor: there, Zone: "z"}, 1000); len(d.Records) != 1 {
		t.Errorf("its own zone is not told: %+v", d.Records)
	}
	if d := many.DeltaSince(DeltaRequest{Cursor: there, Zone: "y"}, 1000); len(d.Records) != 0 {
		t.Errorf("another zone is told at once: %+v", d.Records)
	}
	many.Tick(3*second, time.Second, Connectivity{})
	if d := many.DeltaSince(DeltaRequest{Cursor: there, Zone: "y"}, 1000); len(d.Records) != 1 || d.Records[0].Plan.Active != 2 {
		t.Errorf("another zone is never told: %+v", d.Records)
	}
	// What it is to hold is told at once.
	c.PublishPlans(2*second+1, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 3, Active: 2, Retiring: []Target{{Model: "m"}}}})
	if d := c.DeltaSince(DeltaRequest{Cursor: seen}, 100); len(d.Records) != 1 || d.Records[0].PlanExtent != FullPlan {
		t.Errorf("%+v", d.Records)
	}
}

// The planner alone tells other control daemons how busy engines are; whoever has it from there passes on what
// stands where, and its own beats, but not that.
func TestControlDaemonsHearLoadsFromThePlannerAlone(t *testing.T) {
	planner, relay, third := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", true, time.Second, 0)
	tell := func(from, to *Core, now clock.Mark, peer string) []Record {
		cursor, wanted := to.NextRequest(peer)
		told := from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted, Filter: WithHeartbeats}, 100)
		to.ApplyDelta(now, peer, told, wanted)
		return told.Records
	}
	planner.ReceiveHeartbeat(second, engineWord("e1", 1))
	planner.PublishPlans(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1, Active: 1, Models: []LoadedModel{{Model: "m"}}}})
	tell(planner, relay, second, "planner")
	if told := tell(relay, third, second, "relay"); len(told) != 1 || third.View().Engines["e1"].Plan.Active != 1 {
		t.Fatalf("what stands where is passed on: %+v", told)
	}
	solid := relay.LatestNonLoadChange()
	planner.PublishPlans(3*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 2, Active: 9, Models: []LoadedModel{{Model: "m"}}}})
	if told := tell(planner, relay, 3*second, "planner"); len(told) != 1 || told[0].PlanExtent != LoadsOnly || relay.View().Engines["e1"].Plan.Active != 9 {
		t.Fatalf("the planner tells of loads: %+v", told)
	}
	if relay.LatestNonLoadChange() != solid || relay.LatestChange() <= solid {
		t.Errorf("loads alone are news of their own kind: %d, %d, %d", solid, relay.LatestNonLoadChange(), relay.LatestChange())
	}
	if told := tell(relay, third, 3*second, "relay"); len(told) != 0 {
		t.Errorf("loads are not passed on: %+v", told)
	}
	// A beat is told, without them.
	relay.ReceiveHeartbeat(4*second, engineWord("e1", 2))
	if told := tell(relay, third, 4*second, "relay"); len(told) != 1 || told[0].CallSeq != 2 || told[0].Plan != nil {
		t.Errorf("%+v", told)
	}
	// Daemons that only route hear of them from any control daemon.
	if told := relay.DeltaSince(DeltaRequest{Zone: "z"}, 100); len(told.Records) != 1 || told.Records[0].Plan.Active != 9 {
		t.Errorf("%+v", told)
	}
	// So does a control daemon from whoever plans next.
	relay.PublishPlans(6*second, map[ident.EngineID]Plan{"e1": {Claim: 2, Sequence: 1, Active: 5, Models: []LoadedModel{{Model: "m"}}}})
	if tell(relay, third, 6*second, "relay"); third.View().Engines["e1"].Plan.Active != 5 {
		t.Errorf("%+v", third.View().Engines["e1"].Plan)
	}
}
