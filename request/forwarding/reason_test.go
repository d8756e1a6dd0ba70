package forwarding

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// onlyLoss gives the one loss that a core has counted, and fails if there is another number.
func onlyLoss(t *testing.T, c *Core) LossKey {
	t.Helper()
	losses := c.Losses()
	if len(losses) != 1 {
		t.Fatalf("losses: %v", losses)
	}
	for key, count := range losses {
		if count != 1 {
			t.Fatalf("losses: %v", losses)
		}
		return key
	}
	return LossKey{}
}

// TestEachLossHasOneReason: each way to lose a request, or to answer it late, is counted once under its own reason.
func TestEachLossHasOneReason(t *testing.T) {
	coming := func(model, adapter string) *registry.Engine {
		engine := engineOf("batch", 1, 64)
		engine.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: model, Adapter: adapter}, Ready: ms(1_900_000)}}}
		return engine
	}
	withAdapter := func(request *Request) {
		request.Attributes.Model, request.Attributes.Adapter, request.Attributes.TokensIn = "m", "a1", 100
	}
	refuseUntilEnded := func(fixture *coreFixture, request *Request) {
		for request.stage != StageEnded {
			if step, _ := pendingStep(request); step.Attempt != nil {
				fixture.core.AttemptEnded(request, OutcomeRejected, fixture.world())
				continue
			}
			fixture.now += ms(50)
			fixture.core.DispatchQueued(fixture.world())
		}
	}
	for _, option := range []struct {
		want Reason
		play func(fixture *coreFixture)
	}{
		{ReasonNoPath, func(fixture *coreFixture) { fixture.admit("none") }},
		{ReasonNoTable, func(fixture *coreFixture) { fixture.current = false; fixture.admit("none") }},
		{ReasonNoWorkerID, func(fixture *coreFixture) { fixture.hasWorkerID = false; fixture.admit("p") }},
		{ReasonNoEngine, func(fixture *coreFixture) { refuseUntilEnded(fixture, fixture.admit("p")) }},
		{ReasonModelAbsent, func(fixture *coreFixture) {
			fixture.notLoadedFor["m/"] = time.Hour
			fixture.register(engineOf("batch", 0, 64))
			fixture.admit("p", prompt("m", 100))
		}},
		{ReasonModelLoading, func(fixture *coreFixture) {
			fixture.register(engineOf("batch", 0, 64), coming("m", ""))
			fixture.admit("p", prompt("m", 100))
		}},
		{ReasonAdapterAbsent, func(fixture *coreFixture) {
			fixture.notLoadedFor["m/a1"] = time.Hour
			fixture.register(engineOf("batch", 0, 64, "m"))
			fixture.admit("p", withAdapter)
		}},
		{ReasonAdapterLoading, func(fixture *coreFixture) {
			fixture.register(engineOf("batch", 0, 64, "m"), coming("m", "a1"))
			fixture.admit("p", withAdapter)
		}},
		{ReasonEnginesTried, func(fixture *coreFixture) {
			fixture.register(enginesOf("batch", 2, 64, "m")...)
			refuseUntilEnded(fixture, fixture.admit("p", prompt("m", 100)))
		}},
		{ReasonEngineError, func(fixture *coreFixture) {
			fixture.register(engineOf("batch", 0, 64, "m"))
			request := fixture.admit("p", prompt("m", 100))
			fixture.sent(request)
			fixture.core.AttemptEnded(request, OutcomeEngineError, fixture.world())
		}},
		{ReasonResponseLost, func(fixture *coreFixture) {
			fixture.register(engineOf("batch", 0, 64, "m"))
			request := fixture.admit("p", prompt("m", 100))
			fixture.sent(request)
			fixture.core.AttemptEnded(request, OutcomeResponseLost, fixture.world())
		}},
		{ReasonCallerLeftQueued, func(fixture *coreFixture) { fixture.core.CallerLeft(fixture.admit("p"), fixture.world()) }},
		{ReasonShuttingDown, func(fixture *coreFixture) { fixture.admit("p"); fixture.core.Stop(fixture.world()) }},
		{ReasonLateEngine, func(fixture *coreFixture) {
			fixture.register(engineOf("batch", 0, 64, "m"))
			request := fixture.admit("p", prompt("m", 100))
			fixture.sent(request)
			fixture.now += ms(601)
			fixture.core.ResponseBegun(request, fixture.world())
			fixture.core.AttemptEnded(request, OutcomeCompleted, fixture.world())
		}},
		{ReasonLateLoad, func(fixture *coreFixture) {
			fixture.register(engineOf("batch", 0, 64))
			request := fixture.admit("p", func(request *Request) {
				prompt("m", 100)(request)
				request.resubmitted = true
				request.Attributes.Deadline = 3_500 * time.Millisecond
			})
			fixture.now += ms(590)
			fixture.register(engineOf("batch", 0, 64, "m"))
			fixture.core.DispatchQueued(fixture.world())
			fixture.sent(request)
			fixture.core.ResponseBegun(request, fixture.world())
		}},
		{ReasonLateResubmission, func(fixture *coreFixture) {
			fixture.register(engineOf("batch", 0, 64, "m"))
			request := fixture.admit("p", prompt("m", 100), func(request *Request) { request.Attributes.Deadline = 3 * time.Second })
			fixture.sent(request)
			fixture.core.ResponseBegun(request, fixture.world())
		}},
	} {
		fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
		option.play(fixture)
		if key := onlyLoss(t, fixture.core); key.Reason != option.want {
			t.Errorf("counted under %s, want %s", key.Reason, option.want)
		}
	}
}

// TestAnswerInTimeIsNoLoss: neither a response that begins within its target, nor one that then takes long to complete.
func TestAnswerInTimeIsNoLoss(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
	fixture.register(engineOf("batch", 0, 64, "m"))
	request := fixture.admit("p", prompt("m", 100))
	fixture.sent(request)
	fixture.now += ms(599)
	fixture.core.ResponseBegun(request, fixture.world())
	fixture.now += ms(5_000)
	fixture.core.AttemptEnded(request, OutcomeCompleted, fixture.world())
	if losses := fixture.core.Losses(); len(losses) > 0 {
		t.Error(losses)
	}
}

// TestLossesOfManyModelsAreBounded: models beyond the bound are counted together, and no loss is forgotten.
func TestLossesOfManyModelsAreBounded(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Stream, "batch"))
	const models = maxLossKeys + 50
	for n := range models {
		fixture.core.recordLoss(fixture.record("p", prompt(string(rune('a'+n%26))+time.Duration(n).String(), 1)), ReasonModelAbsent, fixture.now)
	}
	total := uint64(0)
	for _, count := range fixture.core.Losses() {
		total += count
	}
	if len(fixture.core.Losses()) != maxLossKeys+1 || total != models {
		t.Errorf("%d keys, %d losses", len(fixture.core.Losses()), total)
	}
}

func TestReasonNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for request := range reasonCount {
		if name := request.String(); name == "" || seen[name] {
			t.Errorf("reason %d is called %q", request, name)
		}
		seen[request.String()] = true
	}
}
