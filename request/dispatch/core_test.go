package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/discovery"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// world is one engine that holds model m, in a spec that allows it.
func world(now clock.Mark, minted bool) World {
	s := &document.Configuration{Name: "x", Zones: []document.Zone{{Name: "z"}}, Engines: []document.Engine{{ID: "e", Zone: "z", Capacity: 10, Slots: 1}},
		Models: []document.Model{{Name: "m", Size: 5}}, Routes: []document.Route{{Name: "r", Tenant: "h", Models: []string{"m"}}},
		Limits: document.Limits{MaxPending: 10, MaxPendingBytes: 1000, MaxRetryRatio: 0.1, AssignmentIdleMs: 60000}}
	return World{Now: now, Table: routingtable.Build(1, nil, s, closure.Set{}), Zone: "z",
		Engines: &discovery.View{Engines: map[ident.EngineID]*discovery.Engine{"e": {ID: "e", Zone: "z", Condition: discovery.Healthy, ReportRequested: now,
			Report: engineapi.Report{Models: []engineapi.ModelReport{{Model: "m", State: engineapi.Loaded}}}}}},
		Mint: func() (ident.SnowflakeID, snowflake.Outcome) {
			if minted {
				return 1, snowflake.Generated
			}
			return 0, snowflake.NoLease
		}}
}

func arrive(id RecordID, deadline clock.Mark) Arrive {
	return Arrive{ID: id, Request: Request{Attempt: fmt.Sprint("a", id), Route: "r", Tenant: "h", Model: "m", Deadline: deadline}}
}

const start = clock.Mark(time.Hour)

func TestWithoutALeaseOnlyFirstAttemptsAreSent(t *testing.T) {
	c := NewCore()
	w := world(start, false)
	first := c.Step(w, arrive(1, start+clock.Mark(10*time.Second)))
	if len(first.Sends) != 1 || first.Sends[0].Stamped {
		t.Fatalf("a direct first attempt needs no lease: %+v", first)
	}
	second := c.Step(w, arrive(2, start+clock.Mark(10*time.Second)))
	if len(second.Sends) != 0 || len(second.Replies) != 1 || second.Replies[0].Answer.Kind != Refused {
		t.Fatalf("what would have to be queued must be refused at once: %+v", second)
	}
	after := c.Step(w, AttemptEnded{ID: 1, Outcome: EngineRefused})
	if len(after.Sends) != 0 || len(after.Replies) != 1 || after.Replies[0].Answer.Kind != Refused {
		t.Fatalf("a second attempt needs a stamp: %+v", after)
	}
}

func TestRequestThatMayHaveRunIsNeverCalledRefused(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		c := NewCore()
		event := arrive(1, start+clock.Mark(2*time.Second))
		event.Request.Idempotent = repeatable
		c.Step(world(start, true), event)
		effects := c.Step(world(start, true), AttemptEnded{ID: 1, Outcome: Lost, Reason: "gone"})
		for later := start; len(effects.Replies) == 0 && later < start+clock.Mark(5*time.Second); later += clock.Mark(100 * time.Millisecond) {
			w := world(later, true)
			w.Engines = &discovery.View{}
			effects = c.Step(w, Tick{})
		}
		if len(effects.Replies) != 1 || effects.Replies[0].Answer.Kind != Unknown {
			t.Errorf("repeatable %t: %+v", repeatable, effects)
		}
	}
}

func TestPastAttemptsAreKnownAndTheOldestForgottenFirst(t *testing.T) {
	c := NewCore()
	now := start
	for i := range RecordID(maxPastAttempts + 10) {
		now++
		c.Step(world(now, true), arrive(i, now+clock.Mark(time.Minute)))
		c.Step(world(now, true), AttemptEnded{ID: i, Outcome: Completed})
		if i > 100 {
			// Filling the rest one by one through the passes takes long; the book-keeping is the same.
			for j := i + 1; j < maxPastAttempts+10; j++ {
				now++
				c.end(&Record{ID: j, Request: Request{Attempt: fmt.Sprint("a", j)}, stage: Attempting})
			}
			break
		}
	}
	replayed := func(id RecordID) bool {
		effects := c.Step(world(now, true), arrive(id, now+clock.Mark(time.Minute)))
		return len(effects.Replies) == 1 && effects.Replies[0].Answer.Kind == Replay
	}
	if !replayed(maxPastAttempts+9) || !replayed(50) || replayed(3) {
		t.Error("the newest must be known, and the oldest forgotten")
	}
	if len(c.pastAttempts) > maxPastAttempts+1 || len(c.pastOrder) > maxPastAttempts+1 {
		t.Errorf("%d attempts are kept", len(c.pastAttempts))
	}
}

func TestOnlyRequestsWhoseModelComesTooLateAreRefusedAtOnce(t *testing.T) {
	lacking := func(wait time.Duration, adapter string) World {
		w := world(start, true)
		w.Engines.Engines["e"].Report.Models = nil
		w.UnplacedWaits = map[Wanted]time.Duration{{Model: "m", Adapter: adapter}: wait}
		return w
	}
	deadline := start + clock.Mark(10*time.Second)
	for name, one := range map[string]struct {
		world   World
		refused bool
	}{
		"not before the deadline":             {lacking(11*time.Second, ""), true},
		"in time":                             {lacking(9*time.Second, ""), false},
		"of an adapter that is not asked for": {lacking(time.Minute, "a"), false},
		"nobody plans, so nothing is known":   {func() World { w := lacking(0, ""); w.UnplacedWaits = nil; return w }(), false},
		"it stands, whatever the planner says": {func() World {
			w := world(start, true)
			w.UnplacedWaits = lacking(time.Minute, "").UnplacedWaits
			return w
		}(), false},
	} {
		c := NewCore()
		out := c.Step(one.world, arrive(1, deadline))
		if len(out.Replies) == 0 {
			// It is queued first; the next event finds it.
			out = c.Step(one.world, Tick{})
		}
		refused := len(out.Replies) == 1 && out.Replies[0].Answer.Kind == Refused
		if refused != one.refused {
			t.Errorf("%s: %+v", name, out)
		}
		if refused && (out.Replies[0].Answer.RetryAfter < 10*time.Second || out.Replies[0].Answer.RetryAfter > maxRetryAfter) {
			t.Errorf("%s: come back after %v", name, out.Replies[0].Answer.RetryAfter)
		}
	}
	// A session that must be reassigned waits to the end.
	c := NewCore()
	w := lacking(time.Minute, "")
	event := arrive(1, deadline)
	event.Request.Session = "s"
	c.assignments["s"] = &Assignment{Engine: "gone"}
	c.Step(w, event)
	if out := c.Step(w, Tick{}); len(out.Replies) != 0 {
		t.Errorf("a session with an assignment was given up: %+v", out)
	}
}

// TestOwnerIsAskedBeforeALostAssignmentIsReplaced: this daemon remembers an assignment to an engine that is gone; another
// daemon has given the session a new one since, and the owner's answer on that stands.
func TestOwnerIsAskedBeforeALostAssignmentIsReplaced(t *testing.T) {
	c := NewCore()
	w := world(start, true)
	w.ShareAssignments = true
	// Two engines hold the model; the owner says that the session is assigned to the one that would not be picked.
	s := w.Table.Configuration
	s.Engines = append(s.Engines, document.Engine{ID: "f", Zone: "z", Capacity: 10, Slots: 1})
	w.Table = routingtable.Build(1, nil, s, closure.Set{})
	other := *w.Engines.Engines["e"]
	other.ID = "f"
	w.Engines.Engines["f"] = &other
	c.assignments["s"] = &Assignment{Engine: "gone"}
	event := arrive(1, start+clock.Mark(10*time.Second))
	event.Request.Session = "s"
	out := c.Step(w, event)
	if len(out.Sends) != 0 || len(out.AssignmentQueries) != 1 || out.AssignmentQueries[0].Replaces != "gone" || out.AssignmentQueries[0].Engine != "e" {
		t.Fatalf("the owner was not asked first: %+v", out)
	}
	out = c.Step(w, AssignmentFound{ID: 1, Session: "s", Engine: "f"})
	if len(out.Sends) != 1 || out.Sends[0].Engine != "f" {
		t.Fatalf("the owner's answer did not stand: %+v", out)
	}
}
