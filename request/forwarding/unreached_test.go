package forwarding

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/configuration/upstream"
)

// TestAModelWhoseEngineCannotBeReachedCountsAsNotThere: a client is told when the model is likely to be
// loaded elsewhere, not to ask the same engine again a moment later, and it is wanted of the planner meanwhile.
func TestAModelWhoseEngineCannotBeReachedCountsAsNotThere(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.DeadlineMs = 10_000
	b := newBench(t, path)
	b.register(engineOf("batch", 0, 64, "m"), engineOf("batch", 1, 64))
	long := func(r *Record) { r.Deadline = b.now + ms(10_000) }
	first := b.admit("p", prompt("m", 100), long)
	b.sent(first)
	b.core.Attempted(first, NeverSent, b.world())
	// One that comes while the engine rests fares no worse than the one that found it out.
	for _, r := range []*Record{first, b.admit("p", prompt("m", 100), long)} {
		for r.stage == Held {
			b.look()
		}
		answer := b.ended(r, fasthttp.StatusServiceUnavailable, NoRoom)
		if waited := b.now.Since(r.Arrived); waited > 200*time.Millisecond || answer.ComeBack < 1500*time.Millisecond {
			t.Errorf("after %v, come back in %v", waited, answer.ComeBack)
		}
	}
	if demands := b.core.Demands(b.now); len(demands) != 1 || demands[0].Held != 2 {
		t.Errorf("%+v", demands)
	}
}

// TestAStreamGoesOnOnceAnotherEngineHasItsModel: where none but the engine that failed holds it, a stream
// that may be taken up waits for the load instead of ending.
func TestAStreamGoesOnOnceAnotherEngineHasItsModel(t *testing.T) {
	for _, begun := range []bool{true, false} {
		path := pathOf("p", upstream.Stream, "batch")
		path.Resumable = true
		b := newBench(t, path)
		b.register(engineOf("batch", 0, 64, "m"))
		r := b.admit("p", prompt("m", 100))
		b.sent(r)
		if begun {
			b.core.Begun(r, b.world())
			r.lastEvent = "3"
		}
		b.core.Attempted(r, map[bool]Outcome{true: Cut, false: Lost}[begun], b.world())
		if r.stage != Held {
			t.Fatalf("begun %t: %s", begun, r.stage)
		}
		other := engineOf("batch", 1, 64, "m")
		b.register(engineOf("batch", 0, 64, "m"), other)
		b.now += ms(800)
		b.core.Pass(b.world())
		if sent := b.sent(r); sent.Engine != other.ID || sent.Resumes != begun {
			t.Errorf("begun %t: %+v", begun, sent)
		}
	}
}

// TestAStreamThatNothingTakesUpEndsInTime: it isn't held for half of its time.
func TestAStreamThatNothingTakesUpEndsInTime(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.Resumable = true
	b := newBench(t, path)
	b.register(engineOf("batch", 0, 64, "m"))
	r := b.admit("p", prompt("m", 100))
	b.sent(r)
	b.core.Attempted(r, Lost, b.world())
	for r.stage == Held {
		b.look()
	}
	if b.ended(r, fasthttp.StatusBadGateway, NoRoom); b.now.Since(r.Arrived) >= 2*time.Second {
		t.Error(b.now.Since(r.Arrived))
	}
}

// TestAnUnreachableEngineStillCountsWhereModelsDoNot: on a plain pool a moment's rest is waited for.
func TestAnUnreachableEngineStillCountsWhereModelsDoNot(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Idempotent, "plain"))
	b.register(engineOf("plain", 0, 4))
	first := b.admit("p")
	b.sent(first)
	b.core.Attempted(first, NeverSent, b.world())
	b.ended(first, fasthttp.StatusServiceUnavailable, NoRoom)
	if second := b.admit("p"); second.stage != Held {
		t.Error(second.stage)
	}
}
