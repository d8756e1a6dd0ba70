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
func (b *bench) loading(n int, ready clock.Mark) *registry.Engine {
	engine := engineOf("batch", n, 64)
	engine.Plan = &registry.Plan{PendingLoads: []registry.PendingLoad{{Target: registry.Target{Model: "m"}, Ready: ready}}, Received: b.now}
	return engine
}

// look moves on to the next look, as the actor does.
func (b *bench) look() {
	b.now, _ = b.core.NextLook(b.now)
	b.core.Pass(b.world())
}

// TestALoadThatIsDueIsNotWaitedForUntilTheNews: reports are late, and while nobody plans none come; what was
// to be loaded by now is asked for, by one request first.
func TestALoadThatIsDueIsNotWaitedForUntilTheNews(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Stream, "batch"))
	ready := b.now + ms(300)
	b.register(b.loading(0, ready))
	first, second := b.admit("p", prompt("m", 100)), b.admit("p", prompt("m", 100))
	for first.stage == Held {
		b.look()
	}
	if late := b.now.Since(ready); late < 0 || late > 100*time.Millisecond || second.stage != Held {
		t.Fatalf("sent %v after it was due, the other one is %s", late, second.stage)
	}
	b.sent(first)
	for second.stage == Held {
		b.look()
	}
	b.sent(second)
	if late := b.now.Since(ready); late > 200*time.Millisecond {
		t.Errorf("the second one went %v after it was due", late)
	}
	b.core.Begun(first, b.world())
	if b.core.Counters.Speculative != 2 || b.core.spreadTook > 200*time.Millisecond {
		t.Errorf("%+v, learned %v", b.core.Counters, b.core.spreadTook)
	}
}

// TestALoadThatTakesLongerIsAskedForSeldom: each refusal doubles the pause, the request stays with the one
// engine where its path allows no second, and goes when the engine takes it.
func TestALoadThatTakesLongerIsAskedForSeldom(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.Attempts, path.TargetMs = 1, 4000
	b := newBench(t, path)
	b.core.settings.RetrySlack = 100
	b.register(b.loading(0, b.now+ms(100)))
	r := b.admit("p", prompt("m", 100))
	began, tries := b.now, 0
	for b.now.Since(began) < 1500*time.Millisecond {
		b.look()
		if r.stage == Sending {
			tries++
			b.sent(r)
			b.core.Attempted(r, []Outcome{EngineRefused, Misdirected}[tries%2], b.world())
		}
		if r.stage != Held {
			t.Fatal(r.stage)
		}
	}
	if tries < 3 || tries > 5 {
		t.Errorf("asked %d times in 1.5 s", tries)
	}
	// Another engine has it now, but the path allows one engine.
	with := engineOf("batch", 1, 64, "m")
	loading := b.loading(0, began+ms(100))
	b.register(loading, with)
	b.core.Pass(b.world())
	if r.stage != Held {
		t.Fatalf("went to a second engine: %s", r.stage)
	}
	shown := engineOf("batch", 0, 64, "m")
	b.register(shown, with)
	b.core.Pass(b.world())
	if sent := b.sent(r); sent.Engine != shown.ID {
		t.Error(sent.Engine)
	}
}

// TestAGuessNeverSpendsWhatIsKeptForFailures: where the budget is used up, a request waits for the news.
func TestAGuessNeverSpendsWhatIsKeptForFailures(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.TargetMs = 4000
	b := newBench(t, path)
	b.core.settings.RetryRatio, b.core.settings.RetrySlack = 0, 0
	b.register(b.loading(0, b.now))
	r := b.admit("p", prompt("m", 100))
	for range 10 {
		b.look()
		if r.stage == Sending {
			b.sent(r)
			b.core.Attempted(r, EngineRefused, b.world())
		}
	}
	if r.stage != Held || b.core.Counters.Sent+b.core.Counters.SentAgain != 1 {
		t.Fatalf("%s, %+v", r.stage, b.core.Counters)
	}
	b.register(engineOf("batch", 0, 64, "m"))
	b.core.Pass(b.world())
	if b.ended(r, fasthttp.StatusServiceUnavailable, Spent); b.core.Counters.AgainDenied != 1 {
		t.Errorf("%+v", b.core.Counters)
	}
}

// TestNothingGoesAheadOfAnOrderThatHasNotLeft: while something must make way, when a load ends is a guess.
func TestNothingGoesAheadOfAnOrderThatHasNotLeft(t *testing.T) {
	b := newBench(t, pathOf("p", upstream.Stream, "batch"))
	engine := b.loading(0, b.now-ms(200))
	engine.Plan.Retiring = []registry.Target{{Model: "other"}}
	b.register(engine)
	if r := b.admit("p", prompt("m", 100)); r.stage != Held {
		t.Error(r.stage)
	}
}

// TestAGuessThatNeverLeftDoesNotPassForAnAcceptedOne: the others wait for one that was sent.
func TestAGuessThatNeverLeftDoesNotPassForAnAcceptedOne(t *testing.T) {
	for _, outcome := range []Outcome{HeldBack, NeverSent, Left} {
		b := newBench(t, pathOf("p", upstream.Stream, "batch"))
		b.register(b.loading(0, b.now-ms(100)))
		first := b.admit("p", prompt("m", 100))
		b.sent(first)
		second, third := b.admit("p", prompt("m", 100)), b.admit("p", prompt("m", 100))
		b.now += ms(5)
		b.core.Attempted(first, outcome, b.world())
		// The first one would have been refused by now, the one that went in its place not yet.
		b.now += ms(27)
		b.core.Pass(b.world())
		if outcome == NeverSent {
			if second.stage != Held || third.stage != Held {
				t.Errorf("%d: %s, %s at an engine that can't be reached", outcome, second.stage, third.stage)
			}
			continue
		}
		if going := b.core.running["batch"]; going != 1 {
			t.Errorf("%d: %d under way", outcome, going)
		}
	}
}
