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
				f := newFixture(t)
				start := f.plain
				if class == "stream" || class == "resume" {
					start = f.model
				}
				count := 1
				if class == "again" || class == "resume" {
					count = 2
				}
				for range count {
					start(func(c *engine.Config) { c.Chunked = chunked })
				}
				f.awaitEngines(class, 1)
				c := f.newClient()
				rescued := 0
				for at, broken := 0, true; broken; at++ {
					broken = false
					var once sync.Once
					for _, e := range f.engines {
						e.FaultEach(func(string) (fault *engine.Fault) {
							once.Do(func() { fault = &engine.Fault{Kind: engine.Break, At: at, Reset: at%2 == 0} })
							return fault
						})
					}
					attempt := c.Do(context.Background(), f.request(class))[0]
					arrivals := f.arrivalsOf(attempt.AttemptID)
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
					c.Do(context.Background(), f.request(class))
				}
				if count > 1 && rescued == 0 {
					t.Error("nothing that may run twice was served by the other engine")
				}
				f.checkRules()
			})
		}
	}
}

// TestMalformedEngineAnswersReachNoClient brings about each kind of wrong answer on kept connections.
func TestMalformedEngineAnswersReachNoClient(t *testing.T) {
	for _, class := range []string{"again", "once", "stream", "resume"} {
		t.Run(class, func(t *testing.T) {
			f := newFixture(t)
			start := f.plain
			if class == "stream" || class == "resume" {
				start = f.model
			}
			start(nil)
			start(nil)
			f.awaitEngines(class, 1)
			c := f.newClient()
			c.KeepAlive = true
			for _, kind := range []engine.FaultKind{engine.ExtraAnswer, engine.LateExtraAnswer, engine.Malformed, engine.WrongAttemptID, engine.NoAttemptID, engine.EngineError, engine.CloseUnread} {
				for range 4 {
					for _, e := range f.engines {
						e.Inject(engine.Fault{Kind: kind, Status: 500})
					}
					for range 3 {
						attempt := c.Do(context.Background(), f.request(class))[0]
						if attempt.Status == 0 {
							t.Errorf("%s: no answer: %s", kind, attempt.Err)
						}
					}
				}
			}
			// What was injected and not met yet must not outlive the test of its kind.
			f.await("all is served again", func() bool { return c.Do(context.Background(), f.request(class))[0].Success() })
			f.checkRules()
		})
	}
}

// TestAnUnresponsiveEngineCostsOneRequestItsDeadline: what was sent may have run.
func TestAnUnresponsiveEngineCostsOneRequestItsDeadline(t *testing.T) {
	f := newFixture(t)
	e := f.plain(nil)
	f.awaitEngines("once", 1)
	e.Inject(engine.Fault{Kind: engine.Unresponsive})
	r := f.request("once")
	r.Deadline = 400 * time.Millisecond
	began := f.recorder.Now()
	attempt := f.ask(r)
	if attempt.Success() || attempt.PromisesNotRun() || attempt.Status != 502 && attempt.Status != 504 && !attempt.ClientClosed {
		t.Errorf("%+v", attempt)
	}
	if took := f.recorder.Now().Since(began); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
	f.checkRules()
}

// TestARejectionByAnEngineLosesNoRequest: what was turned away by its word goes to another, also what may run once.
func TestARejectionByAnEngineLosesNoRequest(t *testing.T) {
	f := newFixture(t)
	f.plain(func(c *engine.Config) { c.Slots, c.Waiting, c.Work = 1, 0, 20*time.Millisecond })
	f.plain(func(c *engine.Config) { c.Slots, c.Waiting = 32, 32 })
	f.awaitEngines("once", 2)
	var done sync.WaitGroup
	results := make(chan *history.Attempt, 24)
	for range cap(results) {
		done.Add(1)
		go func() {
			defer done.Done()
			results <- f.newClient().Do(context.Background(), f.request("once"))[0]
		}()
	}
	done.Wait()
	close(results)
	for attempt := range results {
		if !attempt.Success() {
			t.Errorf("%d %s after %d arrivals", attempt.Status, attempt.Err, len(f.arrivalsOf(attempt.AttemptID)))
		}
	}
	f.checkRules()
}

// TestARejectedRequestHasNotRunAndCarriesRetryAfter: all engines are full, for longer than the client waits.
func TestARejectedRequestHasNotRunAndCarriesRetryAfter(t *testing.T) {
	f := newFixture(t)
	f.plain(func(c *engine.Config) { c.Slots, c.Waiting = 1, 0 })
	f.awaitEngines("once", 1)
	f.engines[0].Inject(engine.Fault{Kind: engine.Hang})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); f.newClient().Do(ctx, f.request("once")) }()
	f.await("the engine is taken", func() bool {
		list := f.arrivals()
		last := list[len(list)-1]
		return last.Ran() && last.Ended == 0
	})
	r := f.request("once")
	r.Deadline = 900 * time.Millisecond
	attempt := f.ask(r)
	if !attempt.PromisesNotRun() || !attempt.HasRetryAfter {
		t.Errorf("%+v, after %d arrivals", attempt, len(f.arrivalsOf(attempt.AttemptID)))
	}
	cancel()
	done.Wait()
	f.checkRules()
}

// TestADisconnectedClientFreesItsEngine: its run ends, and nobody else's.
func TestADisconnectedClientFreesItsEngine(t *testing.T) {
	f := newFixture(t)
	f.model(func(c *engine.Config) { c.Pace.StepTime = 5 * time.Millisecond })
	f.awaitEngines("stream", 1)
	long := f.request("stream")
	long.Prompt.TokensOut = 1500
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan []*history.Attempt, 1)
	go func() { ended <- f.newClient().Do(ctx, long) }()
	var running *history.Arrival
	f.await("it runs", func() bool {
		for _, arrival := range f.arrivals() {
			if arrival.Prompt.TokensOut == 1500 && arrival.Events > 2 {
				running = arrival
			}
		}
		return running != nil
	})
	cancel()
	<-ended
	f.await("its engine is free", func() bool {
		for _, arrival := range f.arrivalsOf(running.AttemptID) {
			if arrival.CallerClosed {
				return true
			}
		}
		return false
	})
	if attempt := f.askUntilExecuted(f.request("stream")); !attempt.Success() {
		t.Errorf("%+v", attempt)
	}
	f.checkRules()
}

// TestAnEngineCrashMidStreamIsRetriedWhereResumable: a resumable stream goes on at another under its first head, another shows its cut.
func TestAnEngineCrashMidStreamIsRetriedWhereResumable(t *testing.T) {
	for _, class := range []string{"stream", "resume"} {
		t.Run(class, func(t *testing.T) {
			f := newFixture(t)
			slow := func(c *engine.Config) { c.Pace.StepTime = 5 * time.Millisecond }
			f.model(slow)
			f.model(slow)
			// Both are known, or there is nothing to go on with.
			f.awaitEngines(class, 2)
			r := f.request(class)
			r.Prompt.TokensOut = 200
			ended := make(chan *history.Attempt, 1)
			go func() { ended <- f.newClient().Do(context.Background(), r)[0] }()
			var at string
			f.await("it is under way", func() bool {
				for _, arrival := range f.arrivals() {
					if arrival.Prompt.TokensOut == 200 && arrival.Events > 5 {
						at = arrival.Engine
					}
				}
				return at != ""
			})
			for _, e := range f.engines {
				if e.Current() == at {
					e.Crash()
				}
			}
			attempt := <-ended
			if attempt.Success() != (class == "resume") {
				t.Errorf("%d, whole %t, %d events, %s", attempt.Status, attempt.Complete, len(attempt.Events), attempt.Err)
			}
			f.checkRules()
		})
	}
}

// TestAnEngineAtItsConnectionLimitLosesNoNonIdempotentRequest: connections beyond are reset by the engine.
func TestAnEngineAtItsConnectionLimitLosesNoNonIdempotentRequest(t *testing.T) {
	f := newFixture(t)
	f.plain(func(c *engine.Config) { c.MaxConns, c.Slots, c.Waiting, c.Work = 60, 40, 40, 5*time.Millisecond })
	f.awaitEngines("once", 1)
	var done sync.WaitGroup
	for range 30 {
		done.Add(1)
		go func() {
			defer done.Done()
			if attempt := f.newClient().Do(context.Background(), f.request("once"))[0]; !attempt.Success() {
				t.Errorf("%d %s after %d arrivals", attempt.Status, attempt.Err, len(f.arrivalsOf(attempt.AttemptID)))
			}
		}()
	}
	done.Wait()
	f.checkRules()
}
