package forwarding

import (
	"testing"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// emptied is a world in which one engine was shut by rank.
func (b *bench) emptied(id string) World {
	w := b.world()
	w.Emptied = func(engine *registry.Engine) bool { return string(engine.ID) == id }
	w.Open = func(engine *registry.Engine) bool { return string(engine.ID) != id }
	return w
}

func moveBench(t *testing.T) *bench {
	resumable := pathOf("resume", upstream.Stream, "plain")
	resumable.Resumable = true
	single := pathOf("single", upstream.Idempotent, "plain")
	single.Attempts = 1
	b := newBench(t, resumable, pathOf("stream", upstream.Stream, "plain"), pathOf("again", upstream.Idempotent, "plain"), pathOf("once", upstream.Once, "plain"), single)
	b.register(enginesOf("plain", 2, 64)...)
	return b
}

func TestWhatCanGoOnElsewhereMoves(t *testing.T) {
	for _, c := range []struct {
		path  string
		begun bool
		moves bool
	}{{"resume", true, true}, {"resume", false, true}, {"again", false, true}, {"again", true, false}, {"stream", false, false}, {"stream", true, false},
		{"once", false, false}, {"single", false, false}} {
		b := moveBench(t)
		r := b.admit(c.path)
		first := b.sent(r)
		if c.begun {
			b.core.Begun(r, b.world())
		}
		w := b.emptied(string(first.Engine))
		if got := b.core.MoveOff(r, w); got != c.moves {
			t.Fatalf("%s, begun %t: moves %t", c.path, c.begun, got)
		}
		if !c.moves {
			if b.core.Counters.Stayed != 1 {
				t.Fatal("what stays is counted")
			}
			continue
		}
		if b.core.MoveOff(r, w) {
			t.Fatal("it moves once")
		}
		r.lastEvent = "7"
		b.core.Attempted(r, Cut, w)
		second := b.sent(r)
		if second.Engine == first.Engine || second.LastEvent != "7" || !second.Stamped {
			t.Fatalf("%s goes on elsewhere, stamped, after its last event: %+v", c.path, second)
		}
		state := b.core.engine(first.Engine)
		if state.failures != 0 || state.badness != 0 || state.inFlight != 0 {
			t.Fatalf("the stop was ours and says nothing of the engine: %+v", state)
		}
		// The next attempt was counted once: at the decision.
		if b.core.Counters.SentAgain != 1 || len(b.core.budget("plain").further) != 1 {
			t.Fatal("one more attempt is in the budget, and only one")
		}
	}
}

func TestWhatCantGoOnElsewhereStays(t *testing.T) {
	for name, change := range map[string]func(*bench, *Record) World{
		"the engine is open": func(b *bench, r *Record) World { w := b.emptied("nobody"); return w },
		"the other is full": func(b *bench, r *Record) World {
			b.register(engineOf("plain", int(r.engine[len(r.engine)-1]-'0'), 64))
			return b.emptied(string(r.engine))
		},
		"no lease": func(b *bench, r *Record) World { b.lease = false; return b.emptied(string(r.engine)) },
		"no budget": func(b *bench, r *Record) World {
			b.core.settings.RetryRatio, b.core.settings.RetrySlack = 0, 0
			return b.emptied(string(r.engine))
		},
		"over soon": func(b *bench, r *Record) World {
			b.now = r.Deadline - clock.Mark(ms(3))
			return b.emptied(string(r.engine))
		},
		"stopping": func(b *bench, r *Record) World { b.core.Stop(b.world()); return b.emptied(string(r.engine)) },
		"nobody says": func(b *bench, r *Record) World {
			w := b.emptied(string(r.engine))
			w.Emptied = nil
			return w
		},
	} {
		b := moveBench(t)
		r := b.admit("resume")
		b.sent(r)
		b.core.Begun(r, b.world())
		if b.core.MoveOff(r, change(b, r)) {
			t.Errorf("%s, and it was moved", name)
		}
	}
}

// What a request costs at an engine is told by how much work it is, and by nothing of whose it is.
func TestWorkIsToldWithTheAttempt(t *testing.T) {
	path := pathOf("resume", upstream.Stream, "batch")
	path.GapTargetMs = 400
	b := newBench(t, path)
	engine := engineOf("batch", 0, 64, "m")
	engine.Plan = &registry.Plan{Active: 7, Queued: 2, Received: b.now, Models: []registry.LoadedModel{{Model: "m"}}}
	b.register(engine)
	one := b.sent(b.admit("resume", prompt("m", 1000, "a", "b")))
	if one.Running != 10 || one.Reading != 1000 || one.GapTargetMs != 400 {
		t.Fatalf("nine by the report, and this one: %+v", one)
	}
	b.now += clock.Mark(b.core.settings.ReportFresh)
	two := b.sent(b.admit("resume", prompt("m", 500, "c", "d")))
	if two.Running != 2 || two.Reading != 1500 {
		t.Fatalf("the report is old, its own two are there: %+v", two)
	}
}
