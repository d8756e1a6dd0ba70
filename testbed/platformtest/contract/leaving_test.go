package contract

import (
	"context"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/engine"
)

// TestAnEngineDeregisteredFirstGetsNoLateRequests: it says at once that it is gone, beats on as if it were ready, and
// serves what it has to the end.
func TestAnEngineDeregisteredFirstGetsNoLateRequests(t *testing.T) {
	f := newFixture(t)
	for range 2 {
		f.plain(func(c *engine.Config) { c.LateEach, c.LateBy = 3, 300*time.Millisecond })
		// What streams has its time also on a machine that other work keeps busy.
		f.model(func(c *engine.Config) { c.Pace.StepTime, c.DrainBound = 10*time.Millisecond, time.Minute })
	}
	f.awaitEngines("again", 2)
	f.awaitEngines("stream", 2)
	long := f.request("stream")
	long.Prompt.TokensOut = 200
	served := make(chan bool)
	go func() {
		attempts := f.newClient().Do(context.Background(), long)
		served <- attempts[len(attempts)-1].Success()
	}()
	f.await("the stream is under way", func() bool {
		for _, arrival := range f.arrivals() {
			if arrival.Prompt.TokensOut == 200 && arrival.Events > 2 {
				return true
			}
		}
		return false
	})
	leaving := map[string]*engine.Engine{}
	for _, e := range f.engines {
		for _, arrival := range f.arrivals() {
			// The one that streams leaves, and one of the plain ones.
			if arrival.Engine == e.Current() && (arrival.Prompt.TokensOut == 200 || e == f.engines[0]) {
				leaving[e.Current()] = e
			}
		}
	}
	for _, e := range leaving {
		e.Delete()
	}
	if !<-served {
		t.Error("what ran at an engine that said that it is gone was not served to its end")
	}
	for f.engines[0].Current() != "" {
		if attempt := f.ask(f.request("again")); !attempt.Success() {
			t.Errorf("%d %s", attempt.Status, attempt.Err)
		}
	}
	acknowledged := 0
	for _, incarnation := range f.recorder.Snapshot().Incarnations {
		if leaving[incarnation.Engine] == nil || incarnation.DrainAcked == 0 {
			continue
		}
		acknowledged++
		for _, arrival := range f.arrivals() {
			if arrival.Engine == incarnation.Engine && arrival.At.Since(incarnation.DrainAcked) > bounds.Drain {
				t.Errorf("%s came %v after the acknowledgement", arrival.AttemptID, arrival.At.Since(incarnation.DrainAcked))
			}
		}
	}
	if acknowledged != 2 || len(leaving) != 2 {
		t.Errorf("of %d that left %d were acknowledged", len(leaving), acknowledged)
	}
	f.checkRules()
}

// TestWorkForADisconnectedClientIsCancelled: soon after its request, before and after the answer has begun; and nothing is
// sent once more for it.
func TestWorkForADisconnectedClientIsCancelled(t *testing.T) {
	f := newFixture(t)
	for range 2 {
		f.plain(func(c *engine.Config) { c.Work = 10 * time.Minute })
		f.model(func(c *engine.Config) { c.Pace.StepTime = 20 * time.Millisecond })
	}
	f.await("all are known", func() bool {
		for _, class := range []string{"again", "stream"} {
			r := f.request(class)
			r.Deadline = 200 * time.Millisecond
			f.ask(r)
		}
		served := map[string]bool{}
		for _, arrival := range f.arrivals() {
			served[arrival.Engine] = served[arrival.Engine] || arrival.Ran()
		}
		return len(served) >= 2
	})
	for _, class := range []string{"once", "again", "stream", "resume"} {
		for _, after := range []time.Duration{80, 150, 300} {
			r := f.request(class)
			r.CloseAfter = after * time.Millisecond
			if r.Prompt.Model != "" {
				r.Prompt.TokensOut = 3000
			}
			attempt := f.ask(r)
			if !attempt.Early {
				t.Errorf("%s: it was answered %d before its client left", class, attempt.Status)
				continue
			}
			f.await(class+" has ended at its engine", func() bool {
				for _, arrival := range f.arrivalsOf(attempt.AttemptID) {
					if arrival.Ended == 0 {
						return false
					}
				}
				return true
			})
			if arrivals := f.arrivalsOf(attempt.AttemptID); len(arrivals) > 1 {
				t.Errorf("%s: it was sent %d times", class, len(arrivals))
			}
		}
	}
	f.checkRules()
}
