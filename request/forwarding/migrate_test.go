package forwarding

import (
	"testing"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// evacuating is a world in which one engine was shut by rank.
func (fixture *coreFixture) evacuating(id string) Environment {
	env := fixture.world()
	env.EngineEvacuated = func(engine *registry.Engine) bool { return string(engine.ID) == id }
	env.EngineOpen = func(engine *registry.Engine) bool { return string(engine.ID) != id }
	return env
}

func newMigrationFixture(t *testing.T) *coreFixture {
	resumable := pathOf("resume", upstream.Stream, "plain")
	resumable.Resumable = true
	single := pathOf("single", upstream.Idempotent, "plain")
	single.Attempts = 1
	fixture := newCoreFixture(t, resumable, pathOf("stream", upstream.Stream, "plain"), pathOf("again", upstream.Idempotent, "plain"), pathOf("once", upstream.Once, "plain"), single)
	fixture.register(enginesOf("plain", 2, 64)...)
	return fixture
}

func TestRepeatableRequestMigratesFromEvacuatedEngine(t *testing.T) {
	for _, c := range []struct {
		path  string
		begun bool
		moves bool
	}{{"resume", true, true}, {"resume", false, true}, {"again", false, true}, {"again", true, false}, {"stream", false, false}, {"stream", true, false},
		{"once", false, false}, {"single", false, false}} {
		fixture := newMigrationFixture(t)
		request := fixture.admit(c.path)
		first := fixture.sent(request)
		if c.begun {
			fixture.core.ResponseBegun(request, fixture.world())
		}
		env := fixture.evacuating(string(first.Engine))
		if got := fixture.core.Migrate(request, env); got != c.moves {
			t.Fatalf("%s, begun %t: moves %t", c.path, c.begun, got)
		}
		if !c.moves {
			if fixture.core.Counters.MigrationsDeclined != 1 {
				t.Fatal("what stays is counted")
			}
			continue
		}
		if fixture.core.Migrate(request, env) {
			t.Fatal("it moves once")
		}
		request.lastEvent = "7"
		fixture.core.AttemptEnded(request, OutcomeStreamBroken, env)
		second := fixture.sent(request)
		if second.Engine == first.Engine || second.LastEvent != "7" || !second.NeedsWorkerID {
			t.Fatalf("%s goes on elsewhere, stamped, after its last event: %+v", c.path, second)
		}
		state := fixture.core.engineState(first.Engine)
		if state.consecutiveFailures != 0 || state.failureRate != 0 || state.inFlight != 0 {
			t.Fatalf("the stop was ours and says nothing of the engine: %+v", state)
		}
		// The next attempt was counted once: at the decision.
		if fixture.core.Counters.Retried != 1 || len(fixture.core.retryBudget("plain").retries) != 1 {
			t.Fatal("one more attempt is in the budget, and only one")
		}
	}
}

func TestRequestThatCannotMigrateStays(t *testing.T) {
	for name, change := range map[string]func(*coreFixture, *Request) Environment{
		"the engine is open": func(fixture *coreFixture, request *Request) Environment {
			env := fixture.evacuating("nobody")
			return env
		},
		"the other is full": func(fixture *coreFixture, request *Request) Environment {
			fixture.register(engineOf("plain", int(request.engine[len(request.engine)-1]-'0'), 64))
			return fixture.evacuating(string(request.engine))
		},
		"no lease": func(fixture *coreFixture, request *Request) Environment {
			fixture.hasWorkerID = false
			return fixture.evacuating(string(request.engine))
		},
		"no budget": func(fixture *coreFixture, request *Request) Environment {
			fixture.core.settings.RetryRatio, fixture.core.settings.RetrySlack = 0, 0
			return fixture.evacuating(string(request.engine))
		},
		"over soon": func(fixture *coreFixture, request *Request) Environment {
			fixture.now = request.Deadline - clock.Mark(ms(3))
			return fixture.evacuating(string(request.engine))
		},
		"stopping": func(fixture *coreFixture, request *Request) Environment {
			fixture.core.Stop(fixture.world())
			return fixture.evacuating(string(request.engine))
		},
		"nobody says": func(fixture *coreFixture, request *Request) Environment {
			env := fixture.evacuating(string(request.engine))
			env.EngineEvacuated = nil
			return env
		},
	} {
		fixture := newMigrationFixture(t)
		request := fixture.admit("resume")
		fixture.sent(request)
		fixture.core.ResponseBegun(request, fixture.world())
		if fixture.core.Migrate(request, change(fixture, request)) {
			t.Errorf("%s, and it was moved", name)
		}
	}
}

// TestAttemptCarriesEngineLoad: an attempt says how much work is at the engine, and nothing about whose it is.
func TestAttemptCarriesEngineLoad(t *testing.T) {
	path := pathOf("resume", upstream.Stream, "batch")
	path.GapTargetMs = 400
	fixture := newCoreFixture(t, path)
	engine := engineOf("batch", 0, 64, "m")
	engine.Plan = &registry.Plan{Active: 7, Queued: 2, Received: fixture.now, Models: []registry.LoadedModel{{Model: "m"}}}
	fixture.register(engine)
	option := fixture.sent(fixture.admit("resume", prompt("m", 1000, "a", "b")))
	if option.EngineRunning != 10 || option.PrefillTokens != 1000 || option.GapTargetMs != 400 {
		t.Fatalf("nine by the report, and this one: %+v", option)
	}
	fixture.now += clock.Mark(fixture.core.settings.ReportMaxAge)
	two := fixture.sent(fixture.admit("resume", prompt("m", 500, "c", "d")))
	if two.EngineRunning != 2 || two.PrefillTokens != 1500 {
		t.Fatalf("the report is old, its own two are there: %+v", two)
	}
}
