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

// TestAnAnswerTruncatedAtAnyByteIsIncomplete: an engine closes or resets after each byte of its answer, in each
// framing. What may run twice is served all the same; what may not, arrives once.
func TestAnAnswerTruncatedAtAnyByteIsIncomplete(t *testing.T) {
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
					attempt := c.Do(context.Background(), b.request(class))[0]
					arrivals := b.of(attempt.AttemptID)
					for _, arrival := range arrivals {
						broken = broken || arrival.Broken
					}
					switch class {
					case "again", "resume":
						if broken && attempt.Success() {
							rescued++
						}
					default:
						if broken && attempt.Success() {
							t.Errorf("cut at %d, and it looks whole", at)
						}
						if len(arrivals) > 1 {
							t.Errorf("cut at %d, and it was sent %d times", at, len(arrivals))
						}
						if broken && attempt.PromisesNotRun() {
							t.Errorf("cut at %d, and answered %d, which promises that it has not run", at, attempt.Status)
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

// TestMalformedEngineAnswersReachNoClient brings about each kind of wrong answer on kept connections.
func TestMalformedEngineAnswersReachNoClient(t *testing.T) {
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
			c.KeepAlive = true
			for _, kind := range []engine.FaultKind{engine.ExtraAnswer, engine.LateExtraAnswer, engine.Malformed, engine.WrongAttemptID, engine.NoAttemptID, engine.EngineError, engine.CloseUnread} {
				for range 4 {
					for _, e := range b.engines {
						e.Inject(engine.Fault{Kind: kind, Status: 500})
					}
					for range 3 {
						attempt := c.Do(context.Background(), b.request(class))[0]
						if attempt.Status == 0 {
							t.Errorf("%s: no answer: %s", kind, attempt.Err)
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

// TestAnUnresponsiveEngineCostsOneRequestItsDeadline: what was sent may have run.
func TestAnUnresponsiveEngineCostsOneRequestItsDeadline(t *testing.T) {
	b := newBench(t)
	e := b.plain(nil)
	b.known("once", 1)
	e.Inject(engine.Fault{Kind: engine.Unresponsive})
	r := b.request("once")
	r.Deadline = 400 * time.Millisecond
	began := b.recorder.Now()
	attempt := b.ask(r)
	if attempt.Success() || attempt.PromisesNotRun() || attempt.Status != 502 && attempt.Status != 504 && !attempt.ClientClosed {
		t.Errorf("%+v", attempt)
	}
	if took := b.recorder.Now().Since(began); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
	b.sound()
}

// TestARejectionByAnEngineLosesNoRequest: what was turned away by its word goes to another, also what may run once.
func TestARejectionByAnEngineLosesNoRequest(t *testing.T) {
	b := newBench(t)
	b.plain(func(c *engine.Config) { c.Slots, c.Waiting, c.Work = 1, 0, 20*time.Millisecond })
	b.plain(func(c *engine.Config) { c.Slots, c.Waiting = 32, 32 })
	b.known("once", 2)
	var done sync.WaitGroup
	results := make(chan *history.Attempt, 24)
	for range cap(results) {
		done.Add(1)
		go func() {
			defer done.Done()
			results <- b.newClient().Do(context.Background(), b.request("once"))[0]
		}()
	}
	done.Wait()
	close(results)
	for attempt := range results {
		if !attempt.Success() {
			t.Errorf("%d %s after %d arrivals", attempt.Status, attempt.Err, len(b.of(attempt.AttemptID)))
		}
	}
	b.sound()
}

// TestARejectedRequestHasNotRunAndCarriesRetryAfter: all engines are full, for longer than the client waits.
func TestARejectedRequestHasNotRunAndCarriesRetryAfter(t *testing.T) {
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
	attempt := b.ask(r)
	if !attempt.PromisesNotRun() || !attempt.HasRetryAfter {
		t.Errorf("%+v, after %d arrivals", attempt, len(b.of(attempt.AttemptID)))
	}
	cancel()
	done.Wait()
	b.sound()
}

// TestADisconnectedClientFreesItsEngine: its run ends, and nobody else's.
func TestADisconnectedClientFreesItsEngine(t *testing.T) {
	b := newBench(t)
	b.model(func(c *engine.Config) { c.Pace.StepTime = 5 * time.Millisecond })
	b.known("stream", 1)
	long := b.request("stream")
	long.Prompt.TokensOut = 1500
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan []*history.Attempt, 1)
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
		for _, arrival := range b.of(running.AttemptID) {
			if arrival.CallerClosed {
				return true
			}
		}
		return false
	})
	if attempt := b.answered(b.request("stream")); !attempt.Success() {
		t.Errorf("%+v", attempt)
	}
	b.sound()
}

// TestAnEngineCrashMidStreamIsRetriedWhereResumable: a resumable stream goes on at another under its first head, another shows its cut.
func TestAnEngineCrashMidStreamIsRetriedWhereResumable(t *testing.T) {
	for _, class := range []string{"stream", "resume"} {
		t.Run(class, func(t *testing.T) {
			b := newBench(t)
			slow := func(c *engine.Config) { c.Pace.StepTime = 5 * time.Millisecond }
			b.model(slow)
			b.model(slow)
			// Both are known, or there is nothing to go on with.
			b.known(class, 2)
			r := b.request(class)
			r.Prompt.TokensOut = 200
			ended := make(chan *history.Attempt, 1)
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
			attempt := <-ended
			if attempt.Success() != (class == "resume") {
				t.Errorf("%d, whole %t, %d events, %s", attempt.Status, attempt.Complete, len(attempt.Events), attempt.Err)
			}
			b.sound()
		})
	}
}

// TestAnEngineAtItsConnectionLimitLosesNoNonIdempotentRequest: connections beyond are reset by the engine.
func TestAnEngineAtItsConnectionLimitLosesNoNonIdempotentRequest(t *testing.T) {
	b := newBench(t)
	b.plain(func(c *engine.Config) { c.MaxConns, c.Slots, c.Waiting, c.Work = 60, 40, 40, 5*time.Millisecond })
	b.known("once", 1)
	var done sync.WaitGroup
	for range 30 {
		done.Add(1)
		go func() {
			defer done.Done()
			if attempt := b.newClient().Do(context.Background(), b.request("once"))[0]; !attempt.Success() {
				t.Errorf("%d %s after %d arrivals", attempt.Status, attempt.Err, len(b.of(attempt.AttemptID)))
			}
		}()
	}
	done.Wait()
	b.sound()
}
