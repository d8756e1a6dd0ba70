package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
)

// TestFirstSendsCountFromWhenTheyWereSent: streams that were sent long ago and break off together don't count as first
// sends of now.
func TestFirstSendsCountFromWhenTheyWereSent(t *testing.T) {
	resumable := pathOf("resume", upstream.Stream, "batch")
	resumable.Resumable, resumable.Attempts, resumable.DeadlineMs = true, 3, 120_000
	fixture := newCoreFixture(t, resumable)
	fixture.core.settings.RetryRatio, fixture.core.settings.RetrySlack, fixture.core.settings.RetryWindow = 0.2, 4, 10*time.Second
	fixture.routers, fixture.hasWorkerID = 1, true
	all := enginesOf("batch", 4, 400, "m")
	fixture.register(all...)
	var open []*Request
	for n := range 200 {
		request := fixture.record("resume", prompt("m", 10, "s", fmt.Sprint(n), fmt.Sprint("a", n)), func(request *Request) { request.Deadline = fixture.now + clock.Mark(120*time.Second) })
		fixture.core.Admit(request, fixture.world())
		if step, there := pendingStep(request); there && step.Attempt != nil {
			fixture.core.ResponseBegun(request, fixture.world())
			request.lastEvent = "1"
			open = append(open, request)
		}
	}
	fixture.now += clock.Mark(40 * time.Second)
	fixture.register(all...)
	again := 0
	for _, request := range open {
		fixture.core.AttemptEnded(request, OutcomeStreamBroken, fixture.world())
		if step, there := pendingStep(request); there && step.Attempt != nil {
			again++
		}
	}
	// Nothing was asked for lately, so the slack alone is left, half of it.
	if len(open) != 200 || again > 2 {
		t.Errorf("%d of %d streams were sent again", again, len(open))
	}
}
