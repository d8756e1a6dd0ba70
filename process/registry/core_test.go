package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/process/ident"
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
	}()}})
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
	c.Judge(60*second, time.Second, soleControl(60*second))
	c.Judge(61*second, time.Second, Contact{Horizon: 61 * second})
	if !c.View().Engines["e1"].Usable() {
		t.Error("judged without having listened")
	}
}

func TestAnEdgeJudgesNobody(t *testing.T) {
	c := NewCore("one", false, time.Second, 0)
	word := engineWord("e1", 7)
	c.Learn(second, "peer", Difference{Cursor: Cursor{Life: "other", Seen: 1}, Records: []Record{{ID: "e1", CallSeq: 7, Digest: digestOf(word), Heard: second, Word: &word}}})
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

func TestOnlyWhatAPeerLacksIsTold(t *testing.T) {
	one, two := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	for i := range 10 {
		one.Hear(second, engineWord(fmt.Sprint("e", i), 1))
	}
	pull := func(beats bool, most int) Difference {
		cursor, wanted := two.Asked("one")
		difference := one.Since(cursor, wanted, beats, most)
		two.Learn(second, "one", difference)
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
	if d := pull(true, 3); len(d.Records) != 1 || d.Records[0].Word != nil || two.Heard()["e2"] != 2*second {
		t.Errorf("%+v", d)
	}
	one.Leave(3*second, "e3", false, true)
	if d := pull(false, 3); len(d.Records) != 1 || d.Records[0].Word != nil || two.View().Engines["e3"].Usable() {
		t.Errorf("%+v", d)
	}
}
