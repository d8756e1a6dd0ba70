package contract

import (
	"context"
	"testing"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/engine"
)

// TestAnEngineThatIsDeletedFirstGetsNothingLate: it says at once that it is gone, beats on as if it were ready, and
// serves what it has to the end.
func TestAnEngineThatIsDeletedFirstGetsNothingLate(t *testing.T) {
	b := newBench(t)
	for range 2 {
		b.plain(func(c *engine.Config) { c.LateEach, c.LateBy = 3, 300*time.Millisecond })
		// What streams has its time also on a machine that other work keeps busy.
		b.model(func(c *engine.Config) { c.Pace.Step, c.DrainBound = 10*time.Millisecond, time.Minute })
	}
	b.known("again", 2)
	b.known("stream", 2)
	long := b.request("stream")
	long.Prompt.TokensOut = 200
	served := make(chan bool)
	go func() {
		tries := b.newClient().Do(context.Background(), long)
		served <- tries[len(tries)-1].Success()
	}()
	b.await("the stream is under way", func() bool {
		for _, arrival := range b.arrivals() {
			if arrival.Prompt.TokensOut == 200 && arrival.Events > 2 {
				return true
			}
		}
		return false
	})
	leaving := map[string]*engine.Engine{}
	for _, e := range b.engines {
		for _, arrival := range b.arrivals() {
			// The one that streams leaves, and one of the plain ones.
			if arrival.Engine == e.Current() && (arrival.Prompt.TokensOut == 200 || e == b.engines[0]) {
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
	for b.engines[0].Current() != "" {
		if try := b.ask(b.request("again")); !try.Success() {
			t.Errorf("%d %s", try.Status, try.Err)
		}
	}
	acknowledged := 0
	for _, life := range b.book.Read().Lives {
		if leaving[life.Engine] == nil || life.DrainAcked == 0 {
			continue
		}
		acknowledged++
		for _, arrival := range b.arrivals() {
			if arrival.Engine == life.Engine && arrival.At.Since(life.DrainAcked) > bounds.Drain {
				t.Errorf("%s came %v after the acknowledgement", arrival.Attempt, arrival.At.Since(life.DrainAcked))
			}
		}
	}
	if acknowledged != 2 || len(leaving) != 2 {
		t.Errorf("of %d that left %d were acknowledged", len(leaving), acknowledged)
	}
	b.sound()
}

// TestWorkForAClientThatHasLeftEnds: soon after its request, before and after the answer has begun; and nothing is
// sent once more for it.
func TestWorkForAClientThatHasLeftEnds(t *testing.T) {
	b := newBench(t)
	for range 2 {
		b.plain(func(c *engine.Config) { c.Work = 10 * time.Minute })
		b.model(func(c *engine.Config) { c.Pace.Step = 20 * time.Millisecond })
	}
	b.await("all are known", func() bool {
		for _, class := range []string{"again", "stream"} {
			r := b.request(class)
			r.Deadline = 200 * time.Millisecond
			b.ask(r)
		}
		served := map[string]bool{}
		for _, arrival := range b.arrivals() {
			served[arrival.Engine] = served[arrival.Engine] || arrival.Ran()
		}
		return len(served) >= 2
	})
	for _, class := range []string{"once", "again", "stream", "resume"} {
		for _, after := range []time.Duration{80, 150, 300} {
			r := b.request(class)
			r.LeavesAfter = after * time.Millisecond
			if r.Prompt.Model != "" {
				r.Prompt.TokensOut = 3000
			}
			try := b.ask(r)
			if !try.Early {
				t.Errorf("%s: it was answered %d before its client left", class, try.Status)
				continue
			}
			b.await(class+" has ended at its engine", func() bool {
				for _, arrival := range b.of(try.Attempt) {
					if arrival.Ended == 0 {
						return false
					}
				}
				return true
			})
			if arrivals := b.of(try.Attempt); len(arrivals) > 1 {
				t.Errorf("%s: it was sent %d times", class, len(arrivals))
			}
		}
	}
	b.sound()
}
