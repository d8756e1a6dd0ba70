package forwarding

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// onlyLoss gives the one loss that a core has counted, and fails if there is another number of them.
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

// TestEachLossBearsOneReason: each way to lose a request, or to answer it late, is counted once under its own reason.
func TestEachLossBearsOneReason(t *testing.T) {
	coming := func(model, adapter string) *registry.Engine {
		engine := engineOf("batch", 1, 64)
		engine.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: model, Adapter: adapter}, Ready: ms(1_900_000)}}}
		return engine
	}
	withAdapter := func(r *Record) { r.Ask.Model, r.Ask.Adapter, r.Ask.TokensIn = "m", "a1", 100 }
	refuseUntilEnded := func(b *bench, r *Record) {
		for r.stage != Ended {
			if step, _ := taken(r); step.Send != nil {
				b.core.Attempted(r, EngineRefused, b.world())
				continue
			}
			b.now += ms(50)
			b.core.Pass(b.world())
		}
	}
	for _, one := range []struct {
		want Reason
		play func(b *bench)
	}{
		{ReasonNoPath, func(b *bench) { b.admit("none") }},
		{ReasonNoTable, func(b *bench) { b.current = false; b.admit("none") }},
		{ReasonNoLease, func(b *bench) { b.lease = false; b.admit("p") }},
		{ReasonNoEngine, func(b *bench) { refuseUntilEnded(b, b.admit("p")) }},
		{ReasonModelAbsent, func(b *bench) {
			b.lacks["m/"] = time.Hour
			b.register(engineOf("batch", 0, 64))
			b.admit("p", prompt("m", 100))
		}},
		{ReasonModelLoading, func(b *bench) {
			b.register(engineOf("batch", 0, 64), coming("m", ""))
			b.admit("p", prompt("m", 100))
		}},
		{ReasonAdapterAbsent, func(b *bench) {
			b.lacks["m/a1"] = time.Hour
			b.register(engineOf("batch", 0, 64, "m"))
			b.admit("p", withAdapter)
		}},
		{ReasonAdapterLoading, func(b *bench) {
			b.register(engineOf("batch", 0, 64, "m"), coming("m", "a1"))
			b.admit("p", withAdapter)
		}},
		{ReasonEnginesTried, func(b *bench) {
			b.register(enginesOf("batch", 2, 64, "m")...)
			refuseUntilEnded(b, b.admit("p", prompt("m", 100)))
		}},
		{ReasonEngineFailure, func(b *bench) {
			b.register(engineOf("batch", 0, 64, "m"))
			r := b.admit("p", prompt("m", 100))
			b.sent(r)
			b.core.Attempted(r, Failed, b.world())
		}},
		{ReasonEngineLost, func(b *bench) {
			b.register(engineOf("batch", 0, 64, "m"))
			r := b.admit("p", prompt("m", 100))
			b.sent(r)
			b.core.Attempted(r, Lost, b.world())
		}},
		{ReasonCallerLeftHeld, func(b *bench) { b.core.CallerLeft(b.admit("p"), b.world()) }},
		{ReasonStopping, func(b *bench) { b.admit("p"); b.core.Stop(b.world()) }},
		{ReasonLateEngine, func(b *bench) {
			b.register(engineOf("batch", 0, 64, "m"))
			r := b.admit("p", prompt("m", 100))
			b.sent(r)
			b.now += ms(601)
			b.core.Begun(r, b.world())
			b.core.Attempted(r, Whole, b.world())
		}},
		{ReasonLateLoad, func(b *bench) {
			b.register(engineOf("batch", 0, 64))
			r := b.admit("p", func(r *Record) { prompt("m", 100)(r); r.returned = true; r.Ask.Deadline = 3_500 * time.Millisecond })
			b.now += ms(590)
			b.register(engineOf("batch", 0, 64, "m"))
			b.core.Pass(b.world())
			b.sent(r)
			b.core.Begun(r, b.world())
		}},
		{ReasonLateReturn, func(b *bench) {
			b.register(engineOf("batch", 0, 64, "m"))
			r := b.admit("p", prompt("m", 100), func(r *Record) { r.Ask.Deadline = 3 * time.Second })
			b.sent(r)
			b.core.Begun(r, b.world())
		}},
	} {
		b := newBench(t, pathOf("p", upstream.Stream, "batch"))
		one.play(b)
		if key := onlyLoss(t, b.core); key.Reason != one.want {
			t.Errorf("counted under %s, want %s", key.Reason, one.want)
		}
	}
}

// TestAnAnswerInTimeIsNoLoss: neither one that begins within its target, nor one whose engine's answer came whole.
func TestAnAnswerInTimeIsNoLoss(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Stream, "batch"))
	b.register(engineOf("batch", 0, 64, "m"))
	r := b.admit("p", prompt("m", 100))
	b.sent(r)
	b.now += ms(599)
	b.core.Begun(r, b.world())
	b.now += ms(5_000)
	b.core.Attempted(r, Whole, b.world())
	if losses := b.core.Losses(); len(losses) > 0 {
		t.Error(losses)
	}
}

// TestLossesOfManyModelsAreBounded: models beyond the bound are counted together, and none is forgotten.
func TestLossesOfManyModelsAreBounded(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Stream, "batch"))
	const models = mostLossKeys + 50
	for n := range models {
		b.core.lost(b.record("p", prompt(string(rune('a'+n%26))+time.Duration(n).String(), 1)), ReasonModelAbsent, b.now)
	}
	total := uint64(0)
	for _, count := range b.core.Losses() {
		total += count
	}
	if len(b.core.Losses()) != mostLossKeys+1 || total != models {
		t.Errorf("%d keys, %d losses", len(b.core.Losses()), total)
	}
}

// TestReasonsHaveNames: no two share one.
func TestReasonsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for r := range reasons {
		if name := r.String(); name == "" || seen[name] {
			t.Errorf("reason %d is called %q", r, name)
		}
		seen[r.String()] = true
	}
}
