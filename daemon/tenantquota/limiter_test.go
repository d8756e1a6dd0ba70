package tenantquota

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/quota"
)

var (
	settings = quota.Settings{Window: 5_000_000_000, Excess: 0.1, Margin: 20}
	limit    = quota.Limit{RatePerSecond: 50, Burst: 100}
	// slow accrues next to nothing while a test runs, however busy the machine is.
	slow = quota.Limit{RatePerSecond: 0.01, Burst: 100}
)

// discarded is a logger whose lines nobody reads.
func discarded() log.Interface { return &log.Logger{Handler: discard.Default} }

// newTestLimiter makes a limiter whose leader is reached through ask.
func newTestLimiter(t *testing.T, ask func(context.Context, quota.Request) (quota.Reply, error)) *Limiter {
	t.Helper()
	limiter := NewLimiter("edge#1", Dependencies{
		Clock:  clock.System{},
		Ask:    ask,
		Leader: func() Leader { return Leader{Term: 1, Daemons: 1, Contact: clock.System{}.Elapsed()} },
		Log:    discarded(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go limiter.Run(ctx)
	return limiter
}

// leader answers as the first leader of a fleet does.
func leader(limit quota.Limit) func(context.Context, quota.Request) (quota.Reply, error) {
	allotter := NewAllotter(settings, discarded())
	return func(_ context.Context, request quota.Request) (quota.Reply, error) {
		limitOf := func(string) (quota.Limit, bool) { return limit, true }
		return allotter.Allot(Leadership{Term: 1, First: true}, request, limitOf, clock.System{}.Elapsed())
	}
}

// takeMany has many requests ask at once, and counts those that were granted.
func takeMany(limiter *Limiter, limit quota.Limit, count int) int {
	var granted atomic.Int64
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			if limiter.Take("acme", limit).Outcome == quota.Granted {
				granted.Add(1)
			}
		})
	}
	group.Wait()
	return int(granted.Load())
}

// Guards against a tenant that gets more than its limit through requests that ask at the same moment.
func TestConcurrentRequestsGetNoMoreThanBurst(t *testing.T) {
	limiter := newTestLimiter(t, leader(slow))
	if granted := takeMany(limiter, slow, 400); granted < int(slow.Burst) || granted > int(slow.Burst)+10 {
		t.Errorf("%d of 400 were granted under a burst of %v", granted, slow.Burst)
	}
}

// Guards against a call to the leader for each request: those that wait share one.
func TestRequestsThatWaitShareCalls(t *testing.T) {
	var calls atomic.Int64
	answer, held := leader(limit), make(chan struct{})
	limiter := newTestLimiter(t, func(ctx context.Context, request quota.Request) (quota.Reply, error) {
		if calls.Add(1) == 1 {
			<-held
		}
		return answer(ctx, request)
	})
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { limiter.Take("acme", limit) })
	}
	for waiting := 0; waiting < 20; {
		for _, use := range limiter.Status() {
			waiting = use.Waiting
		}
	}
	close(held)
	group.Wait()
	if calls.Load() > 3 {
		t.Errorf("%d calls for 20 requests", calls.Load())
	}
}

// Guards against requests that hang, or pass without a limit, while no leader answers.
func TestRequestsAreDecidedWithoutLeader(t *testing.T) {
	limiter := newTestLimiter(t, func(context.Context, quota.Request) (quota.Reply, error) {
		return quota.Reply{}, errors.New("no leader")
	})
	if granted := takeMany(limiter, limit, 200); granted > 20 {
		t.Errorf("%d of 200 were granted without a leader", granted)
	}
}

// slowClock runs at half the speed of the timers.
type slowClock struct{ clock.System }

func (c slowClock) Elapsed() clock.Mark { return c.System.Elapsed() / 2 }

// Guards against requests that wait for ever because a timer woke the actor before the clock had reached the moment.
func TestRequestIsDecidedThoughTimerIsEarly(t *testing.T) {
	limiter := NewLimiter("edge#1", Dependencies{
		Log:   discarded(),
		Clock: slowClock{},
		Ask: func(context.Context, quota.Request) (quota.Reply, error) {
			return quota.Reply{}, errors.New("no leader")
		},
		Leader: func() Leader { return Leader{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go limiter.Run(ctx)
	limiter.Take("acme", limit)
	decided := make(chan quota.Decision, 1)
	go func() { decided <- limiter.Take("other", limit) }()
	select {
	case <-decided:
	case <-time.After(20 * time.Second):
		t.Error("the request is not decided")
	}
}

// Guards against requests refused under their tenants' limits after a new leader began: it reserves what daemons may spend
// until they have reported, so that one without any traffic has to report too.
func TestIdleDaemonReportsToNewLeader(t *testing.T) {
	asked := make(chan quota.Request, 1)
	newTestLimiter(t, func(_ context.Context, request quota.Request) (quota.Reply, error) {
		select {
		case asked <- request:
		default:
		}
		return quota.Reply{Sequence: request.Sequence, Term: 1}, nil
	})
	select {
	case request := <-asked:
		if request.Daemon != "edge#1" {
			t.Errorf("%+v", request)
		}
	case <-time.After(10 * time.Second):
		t.Error("the daemon did not report")
	}
}

// Guards against a request that is held without end while the calls to the leader that it waits for hang.
func TestRequestIsDeniedWhenCallsHang(t *testing.T) {
	limiter := newTestLimiter(t, func(ctx context.Context, _ quota.Request) (quota.Reply, error) {
		<-ctx.Done()
		held := make(chan struct{})
		time.AfterFunc(2*takeLimit, func() { close(held) })
		<-held
		return quota.Reply{}, ctx.Err()
	})
	began := time.Now()
	decision := limiter.Take("acme", limit)
	if decision.Outcome != quota.Denied || decision.RetryAfter <= 0 || time.Since(began) > 10*takeLimit {
		t.Errorf("%+v after %v", decision, time.Since(began))
	}
}
