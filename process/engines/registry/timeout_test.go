package registry

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

func TestTimeoutRequiresUninterruptedListening(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ApplyDelta(second, "peer", Delta{Cursor: Cursor{Incarnation: "other", Seen: 1}, FullResync: true, Records: []Record{func() Record {
		registration := testRegistration("e1", 7)
		return Record{ID: "e1", CallSeq: 7, Digest: digestOfRegistration(registration), LastHeartbeat: -100 * second, Registration: &registration}
	}()}}, nil)
	silentAt := clock.Mark(0)
	for now := second; now < 20*second && silentAt == 0; now += second / 4 {
		c.Tick(now, time.Second, connected(now))
		if c.View().Engines["e1"].TimedOut {
			silentAt = now
		}
	}
	if silentAt < second+3*second || silentAt > 6*second {
		t.Errorf("silent at %v", time.Duration(silentAt))
	}
	c.ReceiveHeartbeat(21*second, testRegistration("e1", 8))
	if !c.View().Engines["e1"].Usable() {
		t.Error("a beat ends silence")
	}
	// One that slept, or is out of touch, judges nobody.
	for now := 60 * second; now < 63*second; now += second / 2 {
		c.Tick(now, time.Second, connected(now))
	}
	for now := 63 * second; now < 70*second; now += second / 2 {
		c.Tick(now, time.Second, Connectivity{Horizon: now})
	}
	if !c.View().Engines["e1"].Usable() {
		t.Error("judged without having listened")
	}
}

func TestEdgeDaemonTimesOutNoEngine(t *testing.T) {
	c := NewCore("one", false, time.Second, 0)
	registration := testRegistration("e1", 7)
	c.ApplyDelta(second, "peer", Delta{Cursor: Cursor{Incarnation: "other", Seen: 1}, Records: []Record{{ID: "e1", CallSeq: 7, Digest: digestOfRegistration(registration), LastHeartbeat: second, Registration: &registration}}}, nil)
	for now := second; now < 2000*second; now += second / 2 {
		c.Tick(now, time.Second, connected(now))
	}
	if engine := c.View().Engines["e1"]; engine == nil || !engine.Usable() {
		t.Errorf("%+v", engine)
	}
}

func TestNewerHeartbeatOverridesTimeoutAtPeers(t *testing.T) {
	judge, hearer, edge := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", false, time.Second, 0)
	tell := func(from, to *Core, name string) {
		cursor, wanted := to.NextRequest(name)
		to.ApplyDelta(20*second, name, from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted}, 100), wanted)
	}
	judge.ReceiveHeartbeat(second, testRegistration("e1", 1))
	tell(judge, hearer, "one")
	tell(hearer, edge, "two")
	hearer.ReceiveHeartbeat(2*second, testRegistration("e1", 2))
	for now := second; now < 10*second; now += second / 2 {
		judge.Tick(now, time.Second, connected(now))
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
