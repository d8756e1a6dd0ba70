package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

func TestLoadsArePublishedAtIntervals(t *testing.T) {
	c := NewCore("one", true, time.Second, 0)
	c.ReceiveHeartbeat(second, testRegistration("e1", 1))
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
		many.ReceiveHeartbeat(second, testRegistration(fmt.Sprint("e", i), 1))
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
func TestControlDaemonsReceiveLoadsFromPlannerOnly(t *testing.T) {
	planner, relay, third := NewCore("one", true, time.Second, 0), NewCore("two", true, time.Second, 0), NewCore("three", true, time.Second, 0)
	tell := func(from, to *Core, now clock.Mark, peer string) []Record {
		cursor, wanted := to.NextRequest(peer)
		told := from.DeltaSince(DeltaRequest{Cursor: cursor, FullRecordsOf: wanted, Filter: WithHeartbeats}, 100)
		to.ApplyDelta(now, peer, told, wanted)
		return told.Records
	}
	planner.ReceiveHeartbeat(second, testRegistration("e1", 1))
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
	relay.ReceiveHeartbeat(4*second, testRegistration("e1", 2))
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
