package registry

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

func TestTimeoutRequiresUninterruptedListening(t *testing.T) {
	core := NewCore("one", true, time.Second, 0)
	core.ApplyDelta(second, "peer", Delta{Cursor: Cursor{Incarnation: "other", Seen: 1}, FullResync: true, Records: []Record{func() Record {
		registration := testRegistration("e1", 7)
		return Record{ID: "e1", CallSeq: 7, Digest: digestOfRegistration(registration), LastHeartbeat: -100 * second, Registration: &registration}
	}()}}, nil)
	timedOutAt := clock.Mark(0)
	for now := second; now < 20*second && timedOutAt == 0; now += second / 4 {
		core.Tick(now, time.Second, connected(now))
		if core.View().Engines["e1"].TimedOut {
			timedOutAt = now
		}
	}
	if timedOutAt < second+3*second || timedOutAt > 6*second {
		t.Errorf("timed out at %v", time.Duration(timedOutAt))
	}
	core.ReceiveHeartbeat(21*second, testRegistration("e1", 8))
	if !core.View().Engines["e1"].Usable() {
		t.Error("a heartbeat does not end a timeout")
	}
	// A daemon that was not running, or is cut off, times out no engine.
	for now := 60 * second; now < 63*second; now += second / 2 {
		core.Tick(now, time.Second, connected(now))
	}
	for now := 63 * second; now < 70*second; now += second / 2 {
		core.Tick(now, time.Second, Connectivity{Horizon: now})
	}
	if !core.View().Engines["e1"].Usable() {
		t.Error("timed out by a daemon that was not receiving")
	}
}

func TestEdgeDaemonTimesOutNoEngine(t *testing.T) {
	core := NewCore("one", false, time.Second, 0)
	registration := testRegistration("e1", 7)
	core.ApplyDelta(second, "peer", Delta{Cursor: Cursor{Incarnation: "other", Seen: 1}, Records: []Record{{ID: "e1", CallSeq: 7, Digest: digestOfRegistration(registration), LastHeartbeat: second, Registration: &registration}}}, nil)
	for now := second; now < 2000*second; now += second / 2 {
		core.Tick(now, time.Second, connected(now))
	}
	if engine := core.View().Engines["e1"]; engine == nil || !engine.Usable() {
		t.Errorf("%+v", engine)
	}
}

func TestNewerHeartbeatOverridesTimeoutAtPeers(t *testing.T) {
	detector, receiver, edge := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", false, time.Second, 0)
	send := func(from, to *Core, name string) {
		cursor, wanted := to.NextRequest(name)
		to.ApplyDelta(20*second, name, from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted}, 100), wanted)
	}
	detector.ReceiveHeartbeat(second, testRegistration("e1", 1))
	send(detector, receiver, "one")
	send(receiver, edge, "two")
	receiver.ReceiveHeartbeat(2*second, testRegistration("e1", 2))
	for now := second; now < 10*second; now += second / 2 {
		detector.Tick(now, time.Second, connected(now))
	}
	send(detector, edge, "one")
	if edge.View().Engines["e1"].Usable() {
		t.Fatal("the edge did not get the timeout")
	}
	// The daemon that detected the timeout goes down; the one that received the heartbeat corrects it.
	send(detector, receiver, "one")
	send(receiver, edge, "two")
	if !edge.View().Engines["e1"].Usable() {
		t.Error("an engine that sent a heartbeat is still timed out")
	}
}
