package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/ident"
)

func TestDeltaHoldsOnlyWhatPeerMisses(t *testing.T) {
	one, two := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	for i := range 10 {
		one.ReceiveHeartbeat(second, testRegistration(fmt.Sprint("e", i), 1))
	}
	pull := func(withHeartbeats bool, limit int) Delta {
		cursor, wanted := two.NextRequest("one")
		request := DeltaRequest{Cursor: cursor, FullRecordsOf: wanted}
		if withHeartbeats {
			request.Filter = WithHeartbeats
		}
		delta := one.DeltaSince(request, limit)
		two.ApplyDelta(second, "one", delta, wanted)
		return delta
	}
	received := 0
	for {
		delta := pull(false, 3)
		received += len(delta.Records)
		if !delta.More {
			break
		}
	}
	if received != 10 || len(two.View().Engines) != 10 {
		t.Errorf("%d sent, %d known", received, len(two.View().Engines))
	}
	if n := len(pull(false, 3).Records); n != 0 {
		t.Errorf("%d sent again", n)
	}
	one.ReceiveHeartbeat(2*second, testRegistration("e1", 2))
	if n := len(pull(false, 3).Records); n != 0 {
		t.Errorf("%d sent for a heartbeat without new content", n)
	}
	one.ReceiveHeartbeat(2*second, testRegistration("e2", 2))
	if d := pull(true, 3); len(d.Records) != 1 || d.Records[0].Registration != nil || two.LastHeartbeats()["e2"] != (LastHeartbeat{CallSeq: 2, Received: 2 * second}) {
		t.Errorf("%+v", d)
	}
	one.MarkDraining(3*second, "e3", false, true)
	if d := pull(false, 3); len(d.Records) != 1 || d.Records[0].Registration != nil || two.View().Engines["e3"].Usable() {
		t.Errorf("%+v", d)
	}
}

func TestUrgentDeltaIsAbbreviated(t *testing.T) {
	control, edge := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	pull := func() Delta {
		cursor, wanted := edge.NextRequest("one urgent")
		delta := control.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted, Filter: UrgentOnly}, 100)
		edge.ApplyDelta(second, "one urgent", delta, wanted)
		return delta
	}
	control.ReceiveHeartbeat(second, testRegistration("e1", 1))
	if d := pull(); len(d.Records) != 1 || d.Records[0].Registration != nil {
		t.Errorf("%+v", d.Records)
	}
	// The edge did not know the engine, so it asks for its full record.
	if pull(); !edge.View().Engines["e1"].Usable() {
		t.Error("the new engine is not known")
	}
	more := testRegistration("e1", 2)
	more.Models = append(more.Models, LoadedModel{Model: "n", Generation: 1})
	control.ReceiveHeartbeat(2*second, more)
	control.PublishPlans(2*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1}})
	if d := pull(); len(d.Records) != 0 {
		t.Errorf("loaded models are sent as urgent: %+v", d.Records)
	}
	control.ReceiveHeartbeat(3*second, testRegistration("e2", 1))
	if pull(); pull().More || !edge.View().Engines["e2"].Usable() {
		t.Error("a later engine is not sent as urgent")
	}
	control.MarkDraining(4*second, "e1", false, true)
	if pull(); edge.View().Engines["e1"].Usable() {
		t.Error("draining is not sent as urgent")
	}
	control.Tick(4*second, time.Second, Connectivity{})
	for now := 5 * second; now < 10*second; now += second / 2 {
		control.Tick(now, time.Second, connected(now))
	}
	if pull(); edge.View().Engines["e2"].Usable() {
		t.Error("a timeout is not sent as urgent")
	}
}

func TestRestartedPeerSendsAbbreviatedRecordsFirst(t *testing.T) {
	before, edge := NewCore("one", true, time.Second, 0), NewCore("two", false, time.Second, 0)
	for i := range 8 {
		before.ReceiveHeartbeat(second, testRegistration(fmt.Sprint("e", i), 1))
	}
	pull := func(from *Core) Delta {
		cursor, wanted := edge.NextRequest("one")
		delta := from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted}, 100)
		edge.ApplyDelta(second, "one", delta, wanted)
		return delta
	}
	pull(before)
	after := NewCore("one'", true, time.Second, 2*second)
	for i := range 9 {
		after.ReceiveHeartbeat(3*second, testRegistration(fmt.Sprint("e", i), 2))
	}
	for _, record := range pull(after).Records {
		if record.Registration != nil {
			t.Errorf("the record of %s is not abbreviated", record.ID)
		}
	}
	if d := pull(after); len(d.Records) != 1 || len(edge.View().Engines) != 9 {
		t.Errorf("%d records, %d engines", len(d.Records), len(edge.View().Engines))
	}
}
