package tenantquota

import (
	"context"
	"errors"
	"testing"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/quota"
)

// newLonelyLimiter makes a limiter that no leader answers, and whose neighbours are reached through borrow.
func newLonelyLimiter(t *testing.T, borrow func(context.Context, string, quota.LoanRequest) (int, error)) *Limiter {
	t.Helper()
	limiter := NewLimiter("edge#1", Dependencies{
		Clock: clock.System{},
		Ask: func(context.Context, quota.Request) (quota.Reply, error) {
			return quota.Reply{}, errors.New("no leader")
		},
		Leader:     func() Leader { return Leader{} },
		Neighbours: Neighbours{Addresses: func() []string { return []string{"a", "b"} }, Borrow: borrow},
		Log:        discarded(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go limiter.Run(ctx)
	return limiter
}

// Guards against requests refused under their tenant's limit while no leader answers, though neighbours have tokens to spare.
func TestRequestIsSentOnNeighboursTokenWithoutLeader(t *testing.T) {
	limiter := newLonelyLimiter(t, func(_ context.Context, _ string, request quota.LoanRequest) (int, error) {
		return request.Count, nil
	})
	if decision := limiter.Take("acme", limit); decision.Outcome != quota.Granted {
		t.Errorf("%+v", decision)
	}
}

// Guards against requests that hang because a neighbour does not answer.
func TestRequestIsDeniedWhenNoNeighbourLends(t *testing.T) {
	for name, borrow := range map[string]func(context.Context, string, quota.LoanRequest) (int, error){
		"nothing to spare": func(context.Context, string, quota.LoanRequest) (int, error) { return 0, nil },
		"not reached":      func(context.Context, string, quota.LoanRequest) (int, error) { return 0, errors.New("refused") },
		"silent": func(ctx context.Context, _ string, _ quota.LoanRequest) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		},
	} {
		if decision := newLonelyLimiter(t, borrow).Take("acme", limit); decision.Outcome != quota.Denied || decision.RetryAfter <= 0 {
			t.Errorf("%s: %+v", name, decision)
		}
	}
}

// Guards against tokens that are made by lending: a daemon without credit lends none.
func TestDaemonWithoutCreditLendsNothing(t *testing.T) {
	limiter := newLonelyLimiter(t, func(context.Context, string, quota.LoanRequest) (int, error) { return 0, nil })
	limiter.Take("acme", limit)
	if lent := limiter.Lend(quota.LoanRequest{Tenant: "acme", Count: 50}, limit); lent > 1 {
		t.Errorf("%d tokens were lent", lent)
	}
}
