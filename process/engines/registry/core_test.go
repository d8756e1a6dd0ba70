package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const second = clock.Mark(time.Second)

var soleControl = func(now clock.Mark) Contact { return Contact{May: true, Horizon: now} }

func engineWord(id string, callSeq uint64) Word {
	return Word{ID: ident.EngineID(id), Pool: "p", Address: "10.0.0.1:" + id[1:], Zone: "z", Slots: 4, CallSeq: callSeq,
		Models: []Held{{Model: "m", Generation: 1, Adapters: []string{"a1"}}}}
}

func TestOfTwoWordsTheHigherCallSeqCounts(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	newer, older := engineWord("e1", 5), engineWord("e1", 4)
	newer.Slots, older.Slots = 8, 2
	if c.Hear(second, newer).Late {
		t.Error("the first word is not late")
	}
	if !c.Hear(second, older).Late {
		t.Error("an older word is late")
	}
	same := newer
	same.Slots = 9
	if !c.Hear(second, same).Late || c.View().Engines["e1"].Slots != 8 {
		t.Error("a word of the same number with other content is dropped")
	}
}

func TestWhoIsGoneNeverComesBack(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.Hear(second, engineWord("e1", 1))
	c.End(second, "e1")
	c.Hear(2*second, engineWord("e1", 9))
	if engine := c.View().Engines["e1"]; !engine.Gone || engine.Usable() {
		t.Errorf("%+v", engine)
	}
	// Nor one that ended before it was ever heard of, nor after it was forgotten.
	c.End(second, "e2")
	for now := second; now < 700*second; now += second {
		c.Judge(now, time.Second, soleControl(now))
	}
	c.Hear(700*second, engineWord("e2", 9))
	c.Hear(700*second, engineWord("e1", 12))
	for id, engine := range c.View().Engines {
		if engine.Usable() {
			t.Errorf("%s is back: %+v", id, engine)
		}
	}
}

func TestSilenceIsJudgedOnlyAfterListening(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.Learn(second, "peer", Difference{Cursor: Cursor{Life: "other", Seen: 1}, Afresh: true, Records: []Record{func() Record {
		word := engineWord("e1", 7)
		return Record{ID: "e1", CallSeq: 7, Digest: digestOf(word), Heard: -100 * second, Word: &word}
	}()}}, nil)
	silentAt := clock.Mark(0)
	for now := second; now < 20*second && silentAt == 0; now += second / 4 {
		c.Judge(now, time.Second, soleControl(now))
		if c.View().Engines["e1"].Silent {
			silentAt = now
		}
	}
	if silentAt < second+3*second || silentAt > 6*second {
		t.Errorf("silent at %v", time.Duration(silentAt))
	}
	c.Hear(21*second, engineWord("e1", 8))
	if !c.View().Engines["e1"].Usable() {
		t.Error("a beat ends silence")
	}
	// One that slept, or is out of touch, judges nobody.
	for now := 60 * second; now < 63*second; now += second / 2 {
		c.Judge(now, time.Second, soleControl(now))
	}
	for now := 63 * second; now < 70*second; now += second / 2 {
		c.Judge(now, time.Second, Contact{Horizon: now})
	}
	if !c.View().Engines["e1"].Usable() {
		t.Error("judged without having listened")
	}
}

func TestAnEdgeJudgesNobody(t *testing.T) {
	c := NewCore("one", false, time.Second, 0)
	word := engineWord("e1", 7)
	c.Learn(second, "peer", Difference{Cursor: Cursor{Life: "other", Seen: 1}, Records: []Record{{ID: "e1", CallSeq: 7, Digest: digestOf(word), Heard: second, Word: &word}}}, nil)
	for now := second; now < 2000*second; now += second / 2 {
		c.Judge(now, time.Second, soleControl(now))
	}
	if engine := c.View().Engines["e1"]; engine == nil || !engine.Usable() {
		t.Errorf("%+v", engine)
	}
}

func TestWhoFollowsAtAnAddressEndsWhoWasThere(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.Hear(second, engineWord("e1", 7))
	next := engineWord("e2", 1)
	next.Address = engineWord("e1", 7).Address
	c.Hear(2*second, next)
	if c.View().Engines["e1"].Usable() || !c.View().Engines["e2"].Usable() {
		t.Error("the one heard later counts")
	}
	// A late word of the old one, from a frozen machine's buffers, does not end the new one for good.
	c.Hear(2*second+1, engineWord("e1", 8))
	for now := 3 * second; now < 10*second; now += second / 2 {
		next.CallSeq++
		c.Hear(now, next)
		c.Judge(now, time.Second, soleControl(now))
	}
	if e1, e2 := c.View().Engines["e1"], c.View().Engines["e2"]; !e1.Gone || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
}

// TestALateBeatDoesNotDisplaceWhoFollowed: beats may come seconds late, and an address is given on sooner.
func TestALateBeatDoesNotDisplaceWhoFollowed(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	first, next := engineWord("e1", 7), engineWord("e2", 1)
	next.Address = first.Address
	c.Hear(second, first)
	c.Hear(4*second, next)
	first.CallSeq++
	if hearing := c.Hear(5*second, first); !hearing.Late {
		t.Error("it is taken for one that still lives")
	}
	if e1, e2 := c.View().Engines["e1"], c.View().Engines["e2"]; e1.Usable() || !e2.Usable() {
		t.Errorf("%+v %+v", e1, e2)
	}
	// Where the one that followed has fallen silent, there is nobody to protect.
	for now := 5 * second; now < 12*second; now += second / 4 {
		c.Judge(now, time.Second, soleControl(now))
	}
	first.CallSeq++
	c.Hear(12*second, first)
	if c.View().Engines["e2"].Usable() {
		t.Error("one that is silent is in use")
	}
}

// TestWhoSaysItIsGoneAndServesOnStaysOut: some engines say first that they are gone, and serve and beat on for a
// while. Whatever comes after, late or not, at that daemon or at one that has it from the group alone, none uses them.
func TestWhoSaysItIsGoneAndServesOnStaysOut(t *testing.T) {
	told, heard := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0)
	for _, c := range []*Core{told, heard} {
		c.Hear(second, engineWord("e1", 5))
		c.Hear(second, engineWord("e2", 5))
	}
	told.End(2*second, "e1")
	heard.Leave(2*second, "e1", false, true)
	for at, callSeq := range []uint64{6, 3, 9, 7, 12, 4} {
		now := 2*second + clock.Mark(at)*second/2
		for _, c := range []*Core{told, heard} {
			hearing := c.Hear(now, engineWord("e1", callSeq))
			c.Judge(now, time.Second, soleControl(now))
			if c.View().Engines["e1"].Usable() {
				t.Errorf("it is back by beat %d: %+v", callSeq, hearing)
			}
			if hearing.Left != (c == heard) {
				t.Errorf("beat %d: %+v", callSeq, hearing)
			}
		}
	}
}

func TestOnlyWhatAPeerLacksIsTold(t *testing.T) {
	one, two := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	for i := range 10 {
		one.Hear(second, engineWord(fmt.Sprint("e", i), 1))
	}
	pull := func(beats bool, most int) Difference {
		cursor, wanted := two.Asked("one")
		question := Question{Cursor: cursor, Wanted: wanted}
		if beats {
			question.Kind = WithBeats
		}
		difference := one.Since(question, most)
		two.Learn(second, "one", difference, wanted)
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
	one.Hear(2*second, engineWord("e1", 2))
	if n := len(pull(false, 3).Records); n != 0 {
		t.Errorf("%d told of a beat that brought nothing new", n)
	}
	one.Hear(2*second, engineWord("e2", 2))
	if d := pull(true, 3); len(d.Records) != 1 || d.Records[0].Word != nil || two.Beats()["e2"] != (Beat{CallSeq: 2, Heard: 2 * second}) {
		t.Errorf("%+v", d)
	}
	one.Leave(3*second, "e3", false, true)
	if d := pull(false, 3); len(d.Records) != 1 || d.Records[0].Word != nil || two.View().Engines["e3"].Usable() {
		t.Errorf("%+v", d)
	}
}

func TestOfWhatIsUrgentAllIsToldInShort(t *testing.T) {
	control, edge := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	pull := func() Difference {
		cursor, wanted := edge.Asked("one urgent")
		difference := control.Since(Question{Cursor: cursor, Wanted: wanted, Kind: UrgentOnly}, 100)
		edge.Learn(second, "one urgent", difference, wanted)
		return difference
	}
	control.Hear(second, engineWord("e1", 1))
	if d := pull(); len(d.Records) != 1 || d.Records[0].Word != nil {
		t.Errorf("%+v", d.Records)
	}
	// It knew nothing of that one, so it asks for it.
	if pull(); !edge.View().Engines["e1"].Usable() {
		t.Error("the engine that came is not known")
	}
	more := engineWord("e1", 2)
	more.Models = append(more.Models, Held{Model: "n", Generation: 1})
	control.Hear(2*second, more)
	control.TellPlan(2*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 1}})
	if d := pull(); len(d.Records) != 0 {
		t.Errorf("what is held is not urgent: %+v", d.Records)
	}
	control.Hear(3*second, engineWord("e2", 1))
	if pull(); pull().More || !edge.View().Engines["e2"].Usable() {
		t.Error("who came later is urgent too")
	}
	control.Leave(4*second, "e1", false, true)
	if pull(); edge.View().Engines["e1"].Usable() {
		t.Error("leaving is urgent")
	}
	control.Judge(4*second, time.Second, Contact{})
	for now := 5 * second; now < 10*second; now += second / 2 {
		control.Judge(now, time.Second, soleControl(now))
	}
	if pull(); edge.View().Engines["e2"].Usable() {
		t.Error("silence is urgent")
	}
}

func TestWhoHeardTheNewestBeatSaysSoToThoseWhoWereToldOfSilence(t *testing.T) {
	judge, hearer, edge := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", false, time.Second, 0)
	tell := func(from, to *Core, name string) {
		cursor, wanted := to.Asked(name)
		to.Learn(20*second, name, from.Since(Question{Cursor: cursor, Wanted: wanted}, 100), wanted)
	}
	judge.Hear(second, engineWord("e1", 1))
	tell(judge, hearer, "one")
	tell(hearer, edge, "two")
	hearer.Hear(2*second, engineWord("e1", 2))
	for now := second; now < 10*second; now += second / 2 {
		judge.Judge(now, time.Second, soleControl(now))
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
		before.Hear(second, engineWord(fmt.Sprint("e", i), 1))
	}
	pull := func(from *Core) Difference {
		cursor, wanted := edge.Asked("one")
		difference := from.Since(Question{Cursor: cursor, Wanted: wanted}, 100)
		edge.Learn(second, "one", difference, wanted)
		return difference
	}
	pull(before)
	after := NewCore("one'", true, time.Second, 2*second)
	for i := range 9 {
		after.Hear(3*second, engineWord(fmt.Sprint("e", i), 2))
	}
	for _, record := range pull(after).Records {
		if record.Word != nil {
			t.Errorf("%s is told whole", record.ID)
		}
	}
	if d := pull(after); len(d.Records) != 1 || len(edge.View().Engines) != 9 {
		t.Errorf("%d records, %d engines", len(d.Records), len(edge.View().Engines))
	}
}

func TestLoadsAreToldNowAndThen(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.Hear(second, engineWord("e1", 1))
	c.TellPlan(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 1, Active: 1}})
	seen := c.Since(Question{}, 100).Cursor
	c.TellPlan(second+second/10, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 2, Active: 2}})
	if d := c.Since(Question{Cursor: seen}, 100); len(d.Records) != 0 || c.View().Engines["e1"].Plan.Active != 2 {
		t.Errorf("%+v", d.Records)
	}
	c.Judge(2*second, time.Second, Contact{})
	if d := c.Since(Question{Cursor: seen}, 100); len(d.Records) != 1 || d.Records[0].Part != LoadsOnly {
		t.Errorf("%+v", d.Records)
	}
	// Those of another zone hear of it more seldom, where there are many.
	many := NewCore("many", true, time.Second, 0)
	for i := range 200 {
		many.Hear(second, engineWord(fmt.Sprint("e", i), 1))
	}
	many.TellPlan(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 1, Active: 1}})
	there := many.Since(Question{}, 1000).Cursor
	many.TellPlan(2*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 2, Active: 2}})
	if d := many.Since(Question{Cursor: there, Zone: "z"}, 1000); len(d.Records) != 1 {
		t.Errorf("its own zone is not told: %+v", d.Records)
	}
	if d := many.Since(Question{Cursor: there, Zone: "y"}, 1000); len(d.Records) != 0 {
		t.Errorf("another zone is told at once: %+v", d.Records)
	}
	many.Judge(3*second, time.Second, Contact{})
	if d := many.Since(Question{Cursor: there, Zone: "y"}, 1000); len(d.Records) != 1 || d.Records[0].Plan.Active != 2 {
		t.Errorf("another zone is never told: %+v", d.Records)
	}
	// What it is to hold is told at once.
	c.TellPlan(2*second+1, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 3, Active: 2, Retiring: []Target{{Model: "m"}}}})
	if d := c.Since(Question{Cursor: seen}, 100); len(d.Records) != 1 || d.Records[0].Part != WholePlan {
		t.Errorf("%+v", d.Records)
	}
}

// The planner alone tells other control daemons how busy engines are; whoever has it from there passes on what
// stands where, and its own beats, but not that.
func TestControlDaemonsHearLoadsFromThePlannerAlone(t *testing.T) {
	planner, relay, third := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", true, time.Second, 0)
	tell := func(from, to *Core, now clock.Mark, peer string) []Record {
		cursor, wanted := to.Asked(peer)
		told := from.Since(Question{Cursor: cursor, Wanted: wanted, Kind: WithBeats}, 100)
		to.Learn(now, peer, told, wanted)
		return told.Records
	}
	planner.Hear(second, engineWord("e1", 1))
	planner.TellPlan(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 1, Active: 1, Models: []Held{{Model: "m"}}}})
	tell(planner, relay, second, "planner")
	if told := tell(relay, third, second, "relay"); len(told) != 1 || third.View().Engines["e1"].Plan.Active != 1 {
		t.Fatalf("what stands where is passed on: %+v", told)
	}
	solid := relay.Solid()
	planner.TellPlan(3*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Turn: 2, Active: 9, Models: []Held{{Model: "m"}}}})
	if told := tell(planner, relay, 3*second, "planner"); len(told) != 1 || told[0].Part != LoadsOnly || relay.View().Engines["e1"].Plan.Active != 9 {
		t.Fatalf("the planner tells of loads: %+v", told)
	}
	if relay.Solid() != solid || relay.Newest() <= solid {
		t.Errorf("loads alone are news of their own kind: %d, %d, %d", solid, relay.Solid(), relay.Newest())
	}
	if told := tell(relay, third, 3*second, "relay"); len(told) != 0 {
		t.Errorf("loads are not passed on: %+v", told)
	}
	// A beat is told, without them.
	relay.Hear(4*second, engineWord("e1", 2))
	if told := tell(relay, third, 4*second, "relay"); len(told) != 1 || told[0].CallSeq != 2 || told[0].Plan != nil {
		t.Errorf("%+v", told)
	}
	// Daemons that only route hear of them from any control daemon.
	if told := relay.Since(Question{Zone: "z"}, 100); len(told.Records) != 1 || told.Records[0].Plan.Active != 9 {
		t.Errorf("%+v", told)
	}
	// So does a control daemon from whoever plans next.
	relay.TellPlan(6*second, map[ident.EngineID]Plan{"e1": {Claim: 2, Turn: 1, Active: 5, Models: []Held{{Model: "m"}}}})
	if tell(relay, third, 6*second, "relay"); third.View().Engines["e1"].Plan.Active != 5 {
		t.Errorf("%+v", third.View().Engines["e1"].Plan)
	}
}
