package forwarding

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// TestEngineWithIdleConnectionIsPreferred: to one that is no better otherwise, and not to one with far less to do.
func TestEngineWithIdleConnectionIsPreferred(t *testing.T) {
	for _, one := range []struct {
		pool  string
		model string
	}{{"batch", "m"}, {"plain", ""}} {
		fixture := newCoreFixture(t, pathOf("p", upstream.Idempotent, one.pool))
		fixture.core.meanPromptTokens = 1_000
		fixture.register(enginesOf(one.pool, 30, 64, one.model)...)
		warm := ident.EngineID(one.pool + "-7")
		world := func() Environment {
			env := fixture.world()
			env.HasIdleConnection = func(engine *registry.Engine, pool string, careful bool) bool {
				if pool != one.pool || careful {
					t.Errorf("asked for a pool %q, careful %t", pool, careful)
				}
				return engine.ID == warm
			}
			return env
		}
		for range 5 {
			request := fixture.record("p", prompt(one.model, 1_000))
			fixture.core.Admit(request, world())
			if send := fixture.sent(request); send.Engine != warm {
				t.Errorf("%s: sent to %s, and not where a connection is kept to", one.pool, send.Engine)
			}
			fixture.core.AttemptEnded(request, OutcomeCompleted, world())
		}
		fixture.core.engineState(warm).inFlight = 60
		request := fixture.record("p", prompt(one.model, 1_000))
		fixture.core.Admit(request, world())
		if send := fixture.sent(request); send.Engine == warm {
			t.Errorf("%s: sent to an engine that is nearly full", one.pool)
		}
	}
}
