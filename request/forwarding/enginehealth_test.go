package forwarding

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/configuration/upstream"
)

// TestModelOnUnreachableEngineCountsAsMissing: the client is told when the model is likely to be loaded elsewhere, and
// the request counts as demand until then.
func TestModelOnUnreachableEngineCountsAsMissing(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.DeadlineMs = 10_000
	fixture := newCoreFixture(t, path)
	fixture.register(engineOf("batch", 0, 64, "m"), engineOf("batch", 1, 64))
	long := func(request *Request) { request.Deadline = fixture.now + ms(10_000) }
	first := fixture.admit("p", prompt("m", 100), long)
	fixture.sent(first)
	fixture.core.AttemptEnded(first, OutcomeUnreachable, fixture.world())
	// One that comes while the engine rests fares no worse than the one that found it out.
	for _, request := range []*Request{first, fixture.admit("p", prompt("m", 100), long)} {
		for request.stage == StageQueued {
			fixture.look()
		}
		answer := fixture.ended(request, fasthttp.StatusServiceUnavailable, CauseNoCapacity)
		if waited := fixture.now.Since(request.ArrivedAt); waited > 200*time.Millisecond || answer.RetryAfter < 1500*time.Millisecond {
			t.Errorf("after %v, come back in %v", waited, answer.RetryAfter)
		}
	}
	if demands := fixture.core.Demands(fixture.now); len(demands) != 1 || demands[0].Queued != 2 {
		t.Errorf("%+v", demands)
	}
}

// TestStreamResumesOnceAnotherEngineLoadsItsModel: where only the failed engine has the model, a resumable stream is
// queued for the load instead of ending.
func TestStreamResumesOnceAnotherEngineLoadsItsModel(t *testing.T) {
	for _, begun := range []bool{true, false} {
		path := pathOf("p", upstream.Stream, "batch")
		path.Resumable = true
		fixture := newCoreFixture(t, path)
		fixture.register(engineOf("batch", 0, 64, "m"))
		request := fixture.admit("p", prompt("m", 100))
		fixture.sent(request)
		if begun {
			fixture.core.ResponseBegun(request, fixture.world())
			request.lastEvent = "3"
		}
		fixture.core.AttemptEnded(request, map[bool]Outcome{true: OutcomeStreamBroken, false: OutcomeResponseLost}[begun], fixture.world())
		if request.stage != StageQueued {
			t.Fatalf("begun %t: %s", begun, request.stage)
		}
		other := engineOf("batch", 1, 64, "m")
		fixture.register(engineOf("batch", 0, 64, "m"), other)
		fixture.now += ms(800)
		fixture.core.DispatchQueued(fixture.world())
		if sent := fixture.sent(request); sent.Engine != other.ID || sent.Resume != begun {
			t.Errorf("begun %t: %+v", begun, sent)
		}
	}
}

// TestStreamWithoutSuccessorEngineEndsInTime: it is not queued for half of its time.
func TestStreamWithoutSuccessorEngineEndsInTime(t *testing.T) {
	path := pathOf("p", upstream.Stream, "batch")
	path.Resumable = true
	fixture := newCoreFixture(t, path)
	fixture.register(engineOf("batch", 0, 64, "m"))
	request := fixture.admit("p", prompt("m", 100))
	fixture.sent(request)
	fixture.core.AttemptEnded(request, OutcomeResponseLost, fixture.world())
	for request.stage == StageQueued {
		fixture.look()
	}
	if fixture.ended(request, fasthttp.StatusBadGateway, CauseNoCapacity); fixture.now.Since(request.ArrivedAt) >= 2*time.Second {
		t.Error(fixture.now.Since(request.ArrivedAt))
	}
}

// TestUnreachableEngineCountsInPoolWithoutModels: in a pool that does not batch a request waits for the backoff to end.
func TestUnreachableEngineCountsInPoolWithoutModels(t *testing.T) {
	fixture := newCoreFixture(t, pathOf("p", upstream.Idempotent, "plain"))
	fixture.register(engineOf("plain", 0, 4))
	first := fixture.admit("p")
	fixture.sent(first)
	fixture.core.AttemptEnded(first, OutcomeUnreachable, fixture.world())
	fixture.ended(first, fasthttp.StatusServiceUnavailable, CauseNoCapacity)
	if second := fixture.admit("p"); second.stage != StageQueued {
		t.Error(second.stage)
	}
}
