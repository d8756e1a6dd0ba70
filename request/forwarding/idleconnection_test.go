package forwarding

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// TestEngineWithIdleConnectionIsPreferred: over an engine that is no better otherwise, not over one with far less load.
func TestEngineWithIdleConnectionIsPreferred(t *testing.T) {
	for _, option := range []struct {
		pool  string
		model string
	}{{"batch", "m"}, {"plain", ""}} {
		fixture := newCoreFixture(t, pathOf("p", upstream.Idempotent, option.pool))
		fixture.core.meanPromptTokens = 1_000
		fixture.register(enginesOf(option.pool, 30, 64, option.model)...)
		warm := ident.EngineID(option.pool + "-7")
		environment := func() Environment {
			env := fixture.world()
			env.HasIdleConnection = func(engine *registry.Engine, pool string, careful bool) bool {
				if pool != option.pool || careful {
					t.Errorf("asked for a pool %q, careful %t", pool, careful)
				}
				return engine.ID == warm
			}
			return env
		}
		for range 5 {
			request := fixture.record("p", prompt(option.model, 1_000))
			fixture.core.Admit(request, environment())
			if send := fixture.sent(request); send.Engine != warm {
				t.Errorf("%s: sent to %s, and not where a connection is kept to", option.pool, send.Engine)
			}
			fixture.core.AttemptEnded(request, OutcomeCompleted, environment())
		}
		fixture.core.engineState(warm).inFlight = 60
		request := fixture.record("p", prompt(option.model, 1_000))
		fixture.core.Admit(request, environment())
		if send := fixture.sent(request); send.Engine == warm {
			t.Errorf("%s: sent to an engine that is nearly full", option.pool)
		}
	}
}
