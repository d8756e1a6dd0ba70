package quota

import (
	"testing"

	"github.com/cresspond/cresspond/clock"
)

// withoutLeader returns a limiter that had a standing rate for the tenant t when it lost the leader at second.
func withoutLeader(standingRate float64) *Limiter {
	l := NewLimiter("a#1")
	l.Take("t", twenty, second)
	request, _ := l.NextRequest(second)
	l.Replied(replyTo(request, 1, Allotment{Count: 1, StandingRate: standingRate}), second)
	l.NextRequest(second + clock.Mark(KeepaliveInterval))
	l.Unanswered(second + clock.Mark(KeepaliveInterval+callTimeout))
	return l
}

// noCredit is a standing rate in requests a second that gives no whole token in these tests.
const noCredit = 0.001

// lentAt is when withoutLeader has lost the leader for a second.
const lentAt = 2 * second

// beActive has a limiter notice that it isn't stopped up to lentAt.
func beActive(l *Limiter) {
	for now := second + 500*millisecond; now <= lentAt; now += 100 * millisecond {
		l.observeTime(now)
	}
}

func TestLenderSpendsItsOwnCreditAndReportsIt(t *testing.T) {
	lender := withoutLeader(5)
	beActive(lender)
	lent := lender.Lend(LoanRequest{Tenant: "t", Count: 100}, twenty, lentAt)
	if lent < 4 || lent > 6 {
		t.Errorf("%d tokens are lent after a second at 5 a second", lent)
	}
	if again := lender.Lend(LoanRequest{Tenant: "t", Count: 100}, twenty, lentAt); again > 0 {
		t.Errorf("%d tokens are lent again", again)
	}
	if use := lender.Status(lentAt)[0]; use.Deficit != uint64(lent) || use.Lent != uint64(lent) {
		t.Errorf("got %+v", use)
	}
	claim := mustRequest(t, lender, lentAt).Claims[0]
	if claim.CreditTo-claim.CreditFrom != uint64(lent) {
		t.Errorf("%+v is reported after %d were lent", claim, lent)
	}
}

// mustBorrow returns the loan request of a limiter without credit for which one request waits.
func mustBorrow(t *testing.T, l *Limiter) LoanRequest {
	t.Helper()
	l.ObserveNeighbours(2)
	if decision := l.Take("t", twenty, lentAt); decision.Outcome != Pending {
		t.Fatalf("got %+v", decision)
	}
	request, due := l.NextLoanRequest(lentAt)
	if !due || request.Tenant != "t" || request.Count != 1 {
		t.Fatalf("got %+v, %v", request, due)
	}
	if _, due := l.NextLoanRequest(lentAt); due {
		t.Error("a second loan is asked for while one is in progress")
	}
	return request
}

func TestBorrowedTokenIsSpentOnceAndLapsesByTheTimeOfItsRequest(t *testing.T) {
	borrower := withoutLeader(noCredit)
	beActive(borrower)
	request := mustBorrow(t, borrower)
	resolutions := borrower.LoanAnswered(request, 1, lentAt+20*millisecond)
	if len(resolutions) != 1 || resolutions[0].Decision.Outcome != Granted {
		t.Fatalf("got %+v", resolutions)
	}
	token := resolutions[0].Decision.Token
	if expires := lentAt + clock.Mark(TokenValidity); !token.Valid(expires-1) || token.Valid(expires) {
		t.Error("the validity isn't counted from when the loan was asked for")
	}
	if again := borrower.LoanAnswered(request, 1, lentAt+20*millisecond); len(again) > 0 {
		t.Errorf("a copy of the answer is used: %+v", again)
	}
	if use := borrower.Status(lentAt + 20*millisecond)[0]; use.Tokens != 0 || use.Borrowed != 1 || use.Deficit != 0 {
		t.Errorf("got %+v", use)
	}
}

func TestRequestIsDeniedOnceNoNeighbourLends(t *testing.T) {
	borrower := withoutLeader(noCredit)
	beActive(borrower)
	first := mustBorrow(t, borrower)
	mustRequest(t, borrower, lentAt)
	if early := borrower.Unanswered(lentAt); len(early) > 0 {
		t.Errorf("denied before the neighbours have answered: %+v", early)
	}
	if early := borrower.LoanAnswered(first, 0, lentAt); len(early) > 0 {
		t.Errorf("denied before the second neighbour was asked: %+v", early)
	}
	second, due := borrower.NextLoanRequest(lentAt)
	if !due {
		t.Fatal("the second neighbour isn't asked")
	}
	resolutions := borrower.LoanAnswered(second, 0, lentAt)
	if len(resolutions) != 1 || resolutions[0].Decision.Outcome != Denied {
		t.Errorf("got %+v", resolutions)
	}
	if next := borrower.Take("t", twenty, lentAt); next.Outcome != Denied {
		t.Errorf("got %+v", next)
	}
}
