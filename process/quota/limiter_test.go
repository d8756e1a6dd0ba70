package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// second and millisecond are marks.
const (
	second      = clock.Mark(time.Second)
	millisecond = clock.Mark(time.Millisecond)
)

// twenty is a usual limit.
var twenty = Limit{RatePerSecond: 20, Burst: 20}

// replyTo returns a reply of a term that answers each claim alike.
func replyTo(request Request, term uint64, allotment Allotment) Reply {
	reply := Reply{Sequence: request.Sequence, Term: term, LeaderFor: time.Hour}
	for _, claim := range request.Claims {
		allotment.Tenant = claim.Tenant
		reply.Allotments = append(reply.Allotments, allotment)
	}
	return reply
}

// mustRequest returns the request that is due.
func mustRequest(t *testing.T, l *Limiter, now clock.Mark) Request {
	t.Helper()
	request, due := l.NextRequest(now)
	if !due {
		t.Fatal("no request is due")
	}
	return request
}

func TestTakeIsPendingUntilTheLeaderGrants(t *testing.T) {
	l := NewLimiter("a#1")
	decision := l.Take("t", twenty, second)
	if decision.Outcome != Pending {
		t.Fatalf("got %+v", decision)
	}
	request := mustRequest(t, l, second)
	if _, due := l.NextRequest(second); due {
		t.Error("a second request is sent while one is in progress")
	}
	resolutions := l.Replied(replyTo(request, 1, Allotment{Count: 2}), second+millisecond)
	if len(resolutions) != 1 || resolutions[0].Waiter != decision.Waiter || resolutions[0].Decision.Outcome != Granted {
		t.Fatalf("got %+v", resolutions)
	}
	if next := l.Take("t", twenty, second+2*millisecond); next.Outcome != Granted {
		t.Errorf("the second token isn't spent: %+v", next)
	}
	if next := l.Take("t", twenty, second+3*millisecond); next.Outcome != Pending {
		t.Errorf("a third token is spent: %+v", next)
	}
}

func TestTokensLapseByTheTimeSinceTheRequest(t *testing.T) {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	request := mustRequest(t, l, second)
	resolutions := l.Replied(replyTo(request, 1, Allotment{Count: 2}), second+200*millisecond)
	token := resolutions[0].Decision.Token
	if !token.Valid(second+249*millisecond) || token.Valid(second+250*millisecond) {
		t.Error("the validity of a token isn't counted from when the request was sent")
	}
	if next := l.Take("t", twenty, second+250*millisecond); next.Outcome != Pending {
		t.Errorf("a lapsed token is spent: %+v", next)
	}
}

func TestReplyIsUsedOnce(t *testing.T) {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	reply := replyTo(mustRequest(t, l, second), 1, Allotment{Count: 1})
	l.Replied(reply, second)
	l.Take("t", twenty, second)
	if resolutions := l.Replied(reply, second); len(resolutions) > 0 {
		t.Errorf("a copy of a reply is used: %+v", resolutions)
	}
	mustRequest(t, l, second)
	if resolutions := l.Replied(reply, second); len(resolutions) > 0 {
		t.Errorf("a reply to an earlier request is used: %+v", resolutions)
	}
}

func TestDenialHoldsUntilRetryAfter(t *testing.T) {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	resolutions := l.Replied(replyTo(mustRequest(t, l, second), 1, Allotment{RetryAfter: 100 * time.Millisecond}), second)
	if len(resolutions) != 1 || resolutions[0].Decision.Outcome != Denied {
		t.Fatalf("got %+v", resolutions)
	}
	decision := l.Take("t", twenty, second+40*millisecond)
	if decision.Outcome != Denied || decision.RetryAfter != 60*time.Millisecond {
		t.Errorf("got %+v", decision)
	}
	if decision := l.Take("t", twenty, second+100*millisecond); decision.Outcome != Pending {
		t.Errorf("got %+v", decision)
	}
}

func TestCancelledRequestIsNotResolved(t *testing.T) {
	l := NewLimiter("a#1")
	first := l.Take("t", twenty, second)
	second1 := l.Take("t", twenty, second)
	request := mustRequest(t, l, second)
	if !l.Cancel("t", first.Waiter) || l.Cancel("t", first.Waiter) || l.Cancel("other", first.Waiter) {
		t.Error("a request is cancelled other than once")
	}
	resolutions := l.Replied(replyTo(request, 1, Allotment{Count: 1}), second)
	if len(resolutions) != 1 || resolutions[0].Waiter != second1.Waiter {
		t.Errorf("got %+v", resolutions)
	}
}

func TestCreditIsSpentAtTheStandingRateAndReported(t *testing.T) {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	l.Replied(replyTo(mustRequest(t, l, second), 1, Allotment{Count: 1, StandingRate: 5}), second)
	granted := 0
	now := second
	for now < 3*second {
		now += 10 * millisecond
		decision := l.Take("t", twenty, now)
		if decision.Outcome == Granted && decision.OnCredit {
			granted++
		}
		l.NextRequest(now)
		for _, resolution := range l.Unanswered(now + millisecond) {
			if resolution.Decision.Outcome == Granted {
				granted++
			}
		}
	}
	if granted < 9 || granted > 11 {
		t.Errorf("%d requests are granted in 2 s at 5 a second", granted)
	}
	if !l.Unreachable() {
		t.Error("the leader counts as reachable")
	}
	request := mustRequest(t, l, now+second)
	if got := request.Claims[0].CreditTo - request.Claims[0].CreditFrom; got != uint64(granted) {
		t.Errorf("a deficit of %d is reported after %d requests on credit", got, granted)
	}
	l.Replied(replyTo(request, 1, Allotment{}), now+second)
	if status := l.Status(now + second); status[0].Deficit != 0 || status[0].OnCredit != uint64(granted) {
		t.Errorf("got %+v", status)
	}
}

func TestIdleTenantsAreForgotten(t *testing.T) {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	l.Replied(replyTo(mustRequest(t, l, second), 1, Allotment{Count: 5, StandingRate: 5}), second)
	if at, due := l.NextRequestAt(second); !due || at != second+clock.Mark(KeepaliveInterval) {
		t.Errorf("the leader is next asked at %v, %v", at, due)
	}
	later := second + clock.Mark(idleTimeout) + second
	if request, due := l.NextRequest(later); due {
		t.Errorf("an idle daemon sends %+v", request)
	}
	if status := l.Status(later); len(status) != 0 {
		t.Errorf("got %+v", status)
	}
}

// grantedWithoutLeader counts the daemons that grant a request at a moment though no leader answers; each was told what
// observe tells.
func grantedWithoutLeader(daemons int, limit Limit, now clock.Mark, observe func(*Limiter)) int {
	granted := 0
	for i := range daemons {
		l := NewLimiter(ident.NodeID(fmt.Sprintf("daemon-%d#1", i)))
		observe(l)
		l.Take("t", limit, now)
		l.NextRequest(now)
		for _, resolution := range l.Unanswered(now + millisecond) {
			if resolution.Decision.Outcome == Granted {
				granted++
			}
		}
	}
	return granted
}

// Guards against daemons that each take themselves for the only one: just started, or cut off for so long that they count
// no others any more.
func TestDaemonsThatCountNoOthersGrantNothingOnCredit(t *testing.T) {
	const now = 100 * second
	tests := map[string]func(*Limiter){
		"just started":                func(l *Limiter) { l.ObserveLeader(0, 1, 0) },
		"cut off for long":            func(l *Limiter) { l.ObserveLeader(3, 60, second); l.ObserveLeader(3, 1, second) },
		"started at the clock's zero": func(l *Limiter) { l.ObserveLeader(0, 1, 0); l.Take("t", twenty, second) },
	}
	for name, observe := range tests {
		if granted := grantedWithoutLeader(60, Limit{RatePerSecond: 2}, now, observe); granted > 0 {
			t.Errorf("%s: %d requests at once under a limit of 2 a second", name, granted)
		}
	}
	counted := func(l *Limiter) { l.ObserveLeader(3, 60, now-second); l.ObserveLeader(3, 1, now-second) }
	if granted := grantedWithoutLeader(60, Limit{RatePerSecond: 2}, now, counted); granted > 2*unservedTokens {
		t.Errorf("%d requests at once of 60 daemons that lost contact just now", granted)
	}
}

func TestReturnedTokenIsSpentOnceUntilItLapses(t *testing.T) {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	resolutions := l.Replied(replyTo(mustRequest(t, l, second), 1, Allotment{Count: 1}), second)
	token := resolutions[0].Decision.Token
	l.Return("t", token, second+millisecond)
	l.Return("unknown", token, second+millisecond)
	if next := l.Take("t", twenty, second+2*millisecond); next.Outcome != Granted || next.Token != token {
		t.Errorf("the returned token isn't spent: %+v", next)
	}
	if next := l.Take("t", twenty, second+2*millisecond); next.Outcome != Pending {
		t.Errorf("the returned token is spent again: %+v", next)
	}
	l.Return("t", token, second+clock.Mark(TokenValidity))
	if got := l.Status(second + clock.Mark(TokenValidity))[0].Tokens; got > 0 {
		t.Errorf("%d lapsed tokens are taken back", got)
	}
}

// Guards against a tenant denied under its limit for one lost message: a daemon without credit asks once more.
func TestRequestIsDeniedOnlyOnceTheLeaderWasAskedTwice(t *testing.T) {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	mustRequest(t, l, second)
	if early := l.Unanswered(second + clock.Mark(callTimeout)); len(early) > 0 {
		t.Errorf("decided after one request: %+v", early)
	}
	request := mustRequest(t, l, second+clock.Mark(callTimeout))
	granted := l.Replied(replyTo(request, 1, Allotment{Count: 1}), second+clock.Mark(callTimeout)+millisecond)
	if len(granted) != 1 || granted[0].Decision.Outcome != Granted {
		t.Errorf("got %+v", granted)
	}
	now := 2 * second
	l.Take("t", twenty, now)
	mustRequest(t, l, now)
	l.Unanswered(now + clock.Mark(callTimeout))
	mustRequest(t, l, now+clock.Mark(callTimeout))
	denied := l.Unanswered(now + 2*clock.Mark(callTimeout))
	if len(denied) != 1 || denied[0].Decision.Outcome != Denied {
		t.Errorf("got %+v after two requests", denied)
	}
}
