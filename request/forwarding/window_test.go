package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
)

// Streams that were sent long ago and break off together must not be taken for first sends of now.
func TestStreamsThatBreakOffTogetherAreNoFirstSendsOfNow(t *testing.T) {
	resumable := pathOf("resume", upstream.Stream, "batch")
	resumable.Resumable, resumable.Attempts, resumable.DeadlineMs = true, 3, 120_000
	b := newBench(t, resumable)
	b.core.settings.RetryRatio, b.core.settings.RetrySlack, b.core.settings.RetryWindow = 0.2, 4, 10*time.Second
	b.edges, b.lease = 1, true
	all := enginesOf("batch", 4, 400, "m")
	b.register(all...)
	var open []*Record
	for n := range 200 {
		r := b.record("resume", prompt("m", 10, "s", fmt.Sprint(n), fmt.Sprint("a", n)), func(r *Record) { r.Deadline = b.now + clock.Mark(120*time.Second) })
		b.core.Admit(r, b.world())
		if step, there := taken(r); there && step.Send != nil {
			b.core.Begun(r, b.world())
			r.lastEvent = "1"
			open = append(open, r)
		}
	}
	b.now += clock.Mark(40 * time.Second)
	b.register(all...)
	again := 0
	for _, r := range open {
		b.core.Attempted(r, Cut, b.world())
		if step, there := taken(r); there && step.Send != nil {
			again++
		}
	}
	// Nothing was asked for lately, so the slack alone is left, half of it.
	if len(open) != 200 || again > 2 {
		t.Errorf("%d of %d streams were sent again", again, len(open))
	}
}
