package forwarding

import (
	"testing"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// TestAnEngineThatAConnectionIsKeptToIsPreferred: to one that is no better otherwise, and not to one with far less to do.
func TestAnEngineThatAConnectionIsKeptToIsPreferred(t *testing.T) {
	for _, one := range []struct {
		pool  string
		model string
	}{{"batch", "m"}, {"plain", ""}} {
		b := newBench(t, pathOf("p", upstream.Idempotent, one.pool))
		b.core.meanTokens = 1_000
		b.register(enginesOf(one.pool, 30, 64, one.model)...)
		warm := ident.EngineID(one.pool + "-7")
		world := func() World {
			w := b.world()
			w.Warm = func(engine *registry.Engine, pool string, careful bool) bool {
				if pool != one.pool || careful {
					t.Errorf("asked for a pool %q, careful %t", pool, careful)
				}
				return engine.ID == warm
			}
			return w
		}
		for range 5 {
			r := b.record("p", prompt(one.model, 1_000))
			b.core.Admit(r, world())
			if send := b.sent(r); send.Engine != warm {
				t.Errorf("%s: sent to %s, and not where a connection is kept to", one.pool, send.Engine)
			}
			b.core.Attempted(r, Whole, world())
		}
		b.core.engine(warm).inFlight = 60
		r := b.record("p", prompt(one.model, 1_000))
		b.core.Admit(r, world())
		if send := b.sent(r); send.Engine == warm {
			t.Errorf("%s: sent to an engine that is nearly full", one.pool)
		}
	}
}
