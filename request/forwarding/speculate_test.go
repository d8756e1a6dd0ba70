package forwarding

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// loading is an engine that by the planner's word loads the model until a time, and whose report does not show it.
func (fixture *coreFixture) loading(n int, ready clock.Mark) *registry.Engine {
	engine := engineOf("batch", n, 64)
	engine.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: ready}}, Received: fixture.now}
	return engine
}

// look moves on to the next look, as the actor does.
func (fixture *coreFixture) look() {
	fixture.now, _ = fixture.core.NextWake(fixture.now)
	fixture.core.DispatchQueued(fixture.world())
}

// TestDueLoadIsTriedBeforeItIsReported: reports are late, and none come while there is no planner; one request tries
// first whether the load is done.
func TestDueLoadIsTriedBeforeItIsReported(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
	ready := fixture.now + ms(300)
	fixture.register(fixture.loading(0, ready))
	first, second := fixture.admit("p", prompt("m", 100)), fixture.admit("p", prompt("m", 100))
	for first.stage == StageQueued {
		fixture.look()
	}
	if late := fixture.now.Since(ready); late < 0 || late > 100*time.Millisecond || second.stage != StageQueued {
		t.Fatalf("sent %v after it was due, the other one is %s", late, second.stage)
	}
	fixture.sent(first)
	for second.stage == StageQueued {
		fixture.look()
	}
	fixture.sent(second)
	if late := fixture.now.Since(ready); late > 200*time.Millisecond {
		t.Errorf("the second one went %v after it was due", late)
	}
	fixture.core.ResponseBegun(first, fixture.world())
	if fixture.core.Counters.Speculative != 2 || fixture.core.propagationTime > 200*time.Millisecond {
		t.Errorf("%+v, learned %v", fixture.core.Counters, fixture.core.propagationTime)
	}
}

// TestSpeculationBacksOffWhileLoadIsOverdue: each rejection doubles the backoff; where the path allows one engine the
// request stays with it, and is sent when the engine accepts.
func TestSpeculationBacksOffWhileLoadIsOverdue(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.Attempts, path.TargetMs = 1, 4000
	fixture := newCoreFixture(t, path)
	fixture.core.settings.RetrySlack = 100
	fixture.register(fixture.loading(0, fixture.now+ms(100)))
	request := fixture.admit("p", prompt("m", 100))
	began, attempts := fixture.now, 0
	for fixture.now.Since(began) < 1500*time.Millisecond {
		fixture.look()
		if request.stage == StageSending {
			attempts++
			fixture.sent(request)
			fixture.core.AttemptEnded(request, []Outcome{OutcomeRejected, OutcomeMisdirected}[attempts%2], fixture.world())
		}
		if request.stage != StageQueued {
			t.Fatal(request.stage)
		}
	}
	if attempts < 3 || attempts > 5 {
		t.Errorf("%d attempts in 1.5 s", attempts)
	}
	// Another engine has it now, but the path allows one engine.
	with := engineOf("batch", 1, 64, "m")
	loading := fixture.loading(0, began+ms(100))
	fixture.register(loading, with)
	fixture.core.DispatchQueued(fixture.world())
	if request.stage != StageQueued {
		t.Fatalf("went to a second engine: %s", request.stage)
	}
	shown := engineOf("batch", 0, 64, "m")
	fixture.register(shown, with)
	fixture.core.DispatchQueued(fixture.world())
	if sent := fixture.sent(request); sent.Engine != shown.ID {
		t.Error(sent.Engine)
	}
}

// TestSpeculationDoesNotExhaustRetryBudget: once the budget is used up a request waits for the report.
func TestSpeculationDoesNotExhaustRetryBudget(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.TargetMs = 4000
	fixture := newCoreFixture(t, path)
	fixture.core.settings.RetryRatio, fixture.core.settings.RetrySlack = 0, 0
	fixture.register(fixture.loading(0, fixture.now))
	request := fixture.admit("p", prompt("m", 100))
	for range 10 {
		fixture.look()
		if request.stage == StageSending {
			fixture.sent(request)
			fixture.core.AttemptEnded(request, OutcomeRejected, fixture.world())
		}
	}
	if request.stage != StageQueued || fixture.core.Counters.Sent+fixture.core.Counters.Retried != 1 {
		t.Fatalf("%s, %+v", request.stage, fixture.core.Counters)
	}
	fixture.register(engineOf("batch", 0, 64, "m"))
	fixture.core.DispatchQueued(fixture.world())
	if fixture.ended(request, fasthttp.StatusServiceUnavailable, CauseRetriesExhausted); fixture.core.Counters.RetriesDenied != 1 {
		t.Errorf("%+v", fixture.core.Counters)
	}
}

// TestNoSpeculationWhileAnotherModelIsRetiring: while another model is to be unloaded first, the announced time is a
// guess.
func TestNoSpeculationWhileAnotherModelIsRetiring(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
	engine := fixture.loading(0, fixture.now-ms(200))
	engine.Plan.Retiring = []registry.Target{{Model: "other"}}
	fixture.register(engine)
	if request := fixture.admit("p", prompt("m", 100)); request.stage != StageQueued {
		t.Error(request.stage)
	}
}

// TestUnsentSpeculationDoesNotCountAsAccepted: other requests wait for a speculative attempt that was sent.
func TestUnsentSpeculationDoesNotCountAsAccepted(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeWithheld, OutcomeUnreachable, OutcomeCallerLeft} {
		fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
		fixture.register(fixture.loading(0, fixture.now-ms(100)))
		first := fixture.admit("p", prompt("m", 100))
		fixture.sent(first)
		second, third := fixture.admit("p", prompt("m", 100)), fixture.admit("p", prompt("m", 100))
		fixture.now += ms(5)
		fixture.core.AttemptEnded(first, outcome, fixture.world())
		// The first one would have been refused by now, the one that went in its place not yet.
		fixture.now += ms(27)
		fixture.core.DispatchQueued(fixture.world())
		if outcome == OutcomeUnreachable {
			if second.stage != StageQueued || third.stage != StageQueued {
				t.Errorf("%d: %s, %s at an engine that can't be reached", outcome, second.stage, third.stage)
			}
			continue
		}
		if going := fixture.core.attemptsByPool["batch"]; going != 1 {
			t.Errorf("%d: %d under way", outcome, going)
		}
	}
}
