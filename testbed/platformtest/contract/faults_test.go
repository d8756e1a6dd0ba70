package contract

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/engine"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// TestAnAnswerCutAtAnyByteNeverLooksWhole: an engine closes or resets after each byte of its answer, in each
// framing. What may run twice is served all the same; what may not, arrives once.
func TestAnAnswerCutAtAnyByteNeverLooksWhole(t *testing.T) {
	for _, class := range []string{"again", "once", "stream", "resume"} {
		for _, chunked := range []bool{false, true} {
			if chunked && (class == "stream" || class == "resume") {
				continue
			}
			t.Run(fmt.Sprintf("%s/%t", class, chunked), func(t *testing.T) {
				b := newBench(t)
				start := b.plain
				if class == "stream" || class == "resume" {
					start = b.model
				}
				count := 1
				if class == "again" || class == "resume" {
					count = 2
				}
				for range count {
					start(func(c *engine.Config) { c.Chunked = chunked })
				}
				b.known(class, 1)
				c := b.newClient()
				rescued := 0
				for at, broken := 0, true; broken; at++ {
					broken = false
					var once sync.Once
					for _, e := range b.engines {
						e.FaultEach(func(string) (fault *engine.Fault) {
							once.Do(func() { fault = &engine.Fault{Kind: engine.Break, At: at, Reset: at%2 == 0} })
							return fault
						})
					}
					try := c.Do(context.Background(), b.request(class))[0]
					arrivals := b.of(try.Attempt)
					for _, arrival := range arrivals {
						broken = broken || arrival.Broke
					}
					switch class {
					case "again", "resume":
						if broken && try.Success() {
							rescued++
						}
					default:
						if broken && try.Success() {
							t.Errorf("cut at %d, and it looks whole", at)
						}
						if len(arrivals) > 1 {
							t.Errorf("cut at %d, and it was sent %d times", at, len(arrivals))
						}
						if broken && try.Promise() {
							t.Errorf("cut at %d, and answered %d, which promises that it has not run", at, try.Status)
						}
					}
					if at > 3000 {
						t.Fatal("no answer was ever whole")
					}
					// One that goes well between, so that the engines do not have to rest for what is done to them here.
					c.Do(context.Background(), b.request(class))
				}
				if count > 1 && rescued == 0 {
					t.Error("nothing that may run twice was served by the other engine")
				}
				b.sound()
			})
		}
	}
}

// TestWhatAnEngineSaysWronglyReachesNobody brings about each kind of wrong answer on kept connections.
func TestWhatAnEngineSaysWronglyReachesNobody(t *testing.T) {
	for _, class := range []string{"again", "once", "stream", "resume"} {
		t.Run(class, func(t *testing.T) {
			b := newBench(t)
			start := b.plain
			if class == "stream" || class == "resume" {
				start = b.model
			}
			start(nil)
			start(nil)
			b.known(class, 1)
			c := b.newClient()
			c.Keeps = true
			for _, kind := range []engine.FaultKind{engine.Surplus, engine.LateSurplus, engine.Junk, engine.Foreign, engine.NoID, engine.Own, engine.Unread} {
				for range 4 {
					for _, e := range b.engines {
						e.Inject(engine.Fault{Kind: kind, Status: 500})
					}
					for range 3 {
						try := c.Do(context.Background(), b.request(class))[0]
						if try.Status == 0 {
							t.Errorf("%s: no answer: %s", kind, try.Err)
						}
					}
				}
			}
			// What was injected and not met yet must not outlive the test of its kind.
			b.await("all is served again", func() bool { return c.Do(context.Background(), b.request(class))[0].Success() })
			b.sound()
		})
	}
}

// TestASilentEngineCostsOneRequestItsTimeAndNoPromise: what was sent may have run.
func TestASilentEngineCostsOneRequestItsTimeAndNoPromise(t *testing.T) {
	b := newBench(t)
	e := b.plain(nil)
	b.known("once", 1)
	e.Inject(engine.Fault{Kind: engine.Silence})
	r := b.request("once")
	r.Deadline = 400 * time.Millisecond
	began := b.book.Now()
	try := b.ask(r)
	if try.Success() || try.Promise() || try.Status != 502 && try.Status != 504 && !try.GaveUp {
		t.Errorf("%+v", try)
	}
	if took := b.book.Now().Since(began); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
	b.sound()
}

// TestAnEngineThatTurnsAwayLosesNothing: what was turned away by its word goes to another, also what may run once.
func TestAnEngineThatTurnsAwayLosesNothing(t *testing.T) {
	b := newBench(t)
	b.plain(func(c *engine.Config) { c.Slots, c.Waiting, c.Work = 1, 0, 20*time.Millisecond })
	b.plain(func(c *engine.Config) { c.Slots, c.Waiting = 32, 32 })
	b.known("once", 2)
	var done sync.WaitGroup
	results := make(chan *history.Try, 24)
	for range cap(results) {
		done.Add(1)
		go func() {
			defer done.Done()
			results <- b.newClient().Do(context.Background(), b.request("once"))[0]
		}()
	}
	done.Wait()
	close(results)
	for try := range results {
		if !try.Success() {
			t.Errorf("%d %s after %d arrivals", try.Status, try.Err, len(b.of(try.Attempt)))
		}
	}
	b.sound()
}

// TestARefusalHasNotRunAndSaysWhenToComeBack: all engines are full, for longer than the client waits.
func TestARefusalHasNotRunAndSaysWhenToComeBack(t *testing.T) {
	b := newBench(t)
	b.plain(func(c *engine.Config) { c.Slots, c.Waiting = 1, 0 })
	b.known("once", 1)
	b.engines[0].Inject(engine.Fault{Kind: engine.Hang})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); b.newClient().Do(ctx, b.request("once")) }()
	b.await("the engine is taken", func() bool {
		list := b.arrivals()
		last := list[len(list)-1]
		return last.Ran() && last.Ended == 0
	})
	r := b.request("once")
	r.Deadline = 900 * time.Millisecond
	try := b.ask(r)
	if !try.Promise() || !try.HasRetryAfter {
		t.Errorf("%+v, after %d arrivals", try, len(b.of(try.Attempt)))
	}
	cancel()
	done.Wait()
	b.sound()
}

// TestAClientThatLeavesFreesItsEngine: its run ends, and nobody else's.
func TestAClientThatLeavesFreesItsEngine(t *testing.T) {
	b := newBench(t)
	b.model(func(c *engine.Config) { c.Pace.Step = 5 * time.Millisecond })
	b.known("stream", 1)
	long := b.request("stream")
	long.Prompt.TokensOut = 1500
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan []*history.Try, 1)
	go func() { ended <- b.newClient().Do(ctx, long) }()
	var running *history.Arrival
	b.await("it runs", func() bool {
		for _, arrival := range b.arrivals() {
			if arrival.Prompt.TokensOut == 1500 && arrival.Events > 2 {
				running = arrival
			}
		}
		return running != nil
	})
	cancel()
	<-ended
	b.await("its engine is free", func() bool {
		for _, arrival := range b.of(running.Attempt) {
			if arrival.Left {
				return true
			}
		}
		return false
	})
	if try := b.answered(b.request("stream")); !try.Success() {
		t.Errorf("%+v", try)
	}
	b.sound()
}

// TestAnEngineThatCrashesMidStream: a resumable stream goes on at another under its first head, another shows its cut.
func TestAnEngineThatCrashesMidStream(t *testing.T) {
	for _, class := range []string{"stream", "resume"} {
		t.Run(class, func(t *testing.T) {
			b := newBench(t)
			slow := func(c *engine.Config) { c.Pace.Step = 5 * time.Millisecond }
			b.model(slow)
			b.model(slow)
			// Both are known, or there is nothing to go on with.
			b.known(class, 2)
			r := b.request(class)
			r.Prompt.TokensOut = 200
			ended := make(chan *history.Try, 1)
			go func() { ended <- b.newClient().Do(context.Background(), r)[0] }()
			var at string
			b.await("it is under way", func() bool {
				for _, arrival := range b.arrivals() {
					if arrival.Prompt.TokensOut == 200 && arrival.Events > 5 {
						at = arrival.Engine
					}
				}
				return at != ""
			})
			for _, e := range b.engines {
				if e.Current() == at {
					e.Crash()
				}
			}
			try := <-ended
			if try.Success() != (class == "resume") {
				t.Errorf("%d, whole %t, %d events, %s", try.Status, try.Whole, len(try.Events), try.Err)
			}
			b.sound()
		})
	}
}

// TestAnEngineAtItsConnectionsLimitDoesNotLoseWhatMayRunOnce: connections beyond are reset by the engine.
func TestAnEngineAtItsConnectionsLimitDoesNotLoseWhatMayRunOnce(t *testing.T) {
	b := newBench(t)
	b.plain(func(c *engine.Config) { c.MaxConns, c.Slots, c.Waiting, c.Work = 60, 40, 40, 5*time.Millisecond })
	b.known("once", 1)
	var done sync.WaitGroup
	for range 30 {
		done.Add(1)
		go func() {
			defer done.Done()
			if try := b.newClient().Do(context.Background(), b.request("once"))[0]; !try.Success() {
				t.Errorf("%d %s after %d arrivals", try.Status, try.Err, len(b.of(try.Attempt)))
			}
		}()
	}
	done.Wait()
	b.sound()
}
