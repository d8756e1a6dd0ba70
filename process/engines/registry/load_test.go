package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

func TestLoadsArePublishedAtIntervals(t *testing.T) {
	core := NewCore("one", true, time.Second, 0)
	core.ReceiveHeartbeat(second, testRegistration("e1", 1))
	core.PublishPlans(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1, Active: 1}})
	seen := core.DeltaSince(DeltaRequest{}, 100).Cursor
	core.PublishPlans(second+second/10, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 2, Active: 2}})
	if d := core.DeltaSince(DeltaRequest{Cursor: seen}, 100); len(d.Records) != 0 || core.View().Engines["e1"].Plan.Active != 2 {
		t.Errorf("%+v", d.Records)
	}
	core.Tick(2*second, time.Second, Connectivity{})
	if d := core.DeltaSince(DeltaRequest{Cursor: seen}, 100); len(d.Records) != 1 || d.Records[0].PlanExtent != LoadsOnly {
		t.Errorf("%+v", d.Records)
	}
	// Where there are many engines, other zones get load figures less often.
	many := NewCore("many", true, time.Second, 0)
	for i := range 200 {
		many.ReceiveHeartbeat(second, testRegistration(fmt.Sprint("e", i), 1))
	}
	many.PublishPlans(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1, Active: 1}})
	there := many.DeltaSince(DeltaRequest{}, 1000).Cursor
	many.PublishPlans(2*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 2, Active: 2}})
	if d := many.DeltaSince(DeltaRequest{Cursor: there, Zone: "z"}, 1000); len(d.Records) != 1 {
		t.Errorf("its own zone does not get them: %+v", d.Records)
	}
	if d := many.DeltaSince(DeltaRequest{Cursor: there, Zone: "y"}, 1000); len(d.Records) != 0 {
		t.Errorf("another zone gets them at once: %+v", d.Records)
	}
	many.Tick(3*second, time.Second, Connectivity{})
	if d := many.DeltaSince(DeltaRequest{Cursor: there, Zone: "y"}, 1000); len(d.Records) != 1 || d.Records[0].Plan.Active != 2 {
		t.Errorf("another zone never gets them: %+v", d.Records)
	}
	// Which models it is to unload is published at once.
	core.PublishPlans(2*second+1, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 3, Active: 2, Retiring: []Target{{Model: "m"}}}})
	if d := core.DeltaSince(DeltaRequest{Cursor: seen}, 100); len(d.Records) != 1 || d.Records[0].PlanExtent != FullPlan {
		t.Errorf("%+v", d.Records)
	}
}

// Control daemons get load figures from the planner's daemon alone; the others pass on the models and the heartbeats that
// they received themselves, but no load figures.
func TestControlDaemonsReceiveLoadsFromPlannerOnly(t *testing.T) {
	planner, relay, third := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", true, time.Second, 0)
	send := func(from, to *Core, now clock.Mark, peer string) []Record {
		cursor, wanted := to.NextRequest(peer)
		records := from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted, Filter: WithHeartbeats}, 100)
		to.ApplyDelta(now, peer, records, wanted)
		return records.Records
	}
	planner.ReceiveHeartbeat(second, testRegistration("e1", 1))
	planner.PublishPlans(second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 1, Active: 1, Models: []LoadedModel{{Model: "m"}}}})
	send(planner, relay, second, "planner")
	if records := send(relay, third, second, "relay"); len(records) != 1 || third.View().Engines["e1"].Plan.Active != 1 {
		t.Fatalf("models are not passed on: %+v", records)
	}
	solid := relay.LatestNonLoadChange()
	planner.PublishPlans(3*second, map[ident.EngineID]Plan{"e1": {Claim: 1, Sequence: 2, Active: 9, Models: []LoadedModel{{Model: "m"}}}})
	if records := send(planner, relay, 3*second, "planner"); len(records) != 1 || records[0].PlanExtent != LoadsOnly || relay.View().Engines["e1"].Plan.Active != 9 {
		t.Fatalf("the planner's daemon does not send load figures: %+v", records)
	}
	if relay.LatestNonLoadChange() != solid || relay.LatestChange() <= solid {
		t.Errorf("load figures alone are changes of their own kind: %d, %d, %d", solid, relay.LatestNonLoadChange(), relay.LatestChange())
	}
	if records := send(relay, third, 3*second, "relay"); len(records) != 0 {
		t.Errorf("load figures are passed on: %+v", records)
	}
	// A heartbeat is sent, without them.
	relay.ReceiveHeartbeat(4*second, testRegistration("e1", 2))
	if records := send(relay, third, 4*second, "relay"); len(records) != 1 || records[0].CallSeq != 2 || records[0].Plan != nil {
		t.Errorf("%+v", records)
	}
	// Daemons that only route get them from any control daemon.
	if records := relay.DeltaSince(DeltaRequest{Zone: "z"}, 100); len(records.Records) != 1 || records.Records[0].Plan.Active != 9 {
		t.Errorf("%+v", records)
	}
	// So does a control daemon from the next planner.
	relay.PublishPlans(6*second, map[ident.EngineID]Plan{"e1": {Claim: 2, Sequence: 1, Active: 5, Models: []LoadedModel{{Model: "m"}}}})
	if send(relay, third, 6*second, "relay"); third.View().Engines["e1"].Plan.Active != 5 {
		t.Errorf("%+v", third.View().Engines["e1"].Plan)
	}
}
