package quota

import (
	"errors"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// limitTwenty has the limit twenty in force for the tenant t.
func limitTwenty(tenant string) (Limit, bool) { return twenty, tenant == "t" }

// newLeader returns an allocator that has led for so long that its buckets are full.
func newLeader(now clock.Mark) *Allocator {
	a := NewAllocator(siteSettings)
	a.Lead(1, nil, now-60*second)
	return a
}

// mustAllot returns the reply to a request with one claim of the tenant t.
func mustAllot(t *testing.T, a *Allocator, daemon ident.NodeID, sequence uint64, claim Claim, now clock.Mark) Reply {
	t.Helper()
	claim.Tenant = "t"
	reply, err := a.Allot(Request{Daemon: daemon, Sequence: sequence, Term: 1, Claims: []Claim{claim}}, limitTwenty, now)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func TestAllocatorRefusesWhatItMayNotAnswer(t *testing.T) {
	const now = 100 * second
	a := NewAllocator(siteSettings)
	if _, err := a.Allot(Request{Daemon: "a#1", Sequence: 1}, limitTwenty, now); !errors.Is(err, ErrNotLeading) {
		t.Errorf("without leading: %v", err)
	}
	a.Lead(3, nil, now)
	if _, err := a.Allot(Request{Daemon: "a#1", Sequence: 1, Term: 4}, limitTwenty, now); !errors.Is(err, ErrNotLeading) {
		t.Errorf("of a later term: %v", err)
	}
	if _, err := a.Allot(Request{Daemon: "a#1", Sequence: 5, Term: 3}, limitTwenty, now); err != nil {
		t.Error(err)
	}
	if _, err := a.Allot(Request{Daemon: "a#1", Sequence: 5, Term: 3}, limitTwenty, now); !errors.Is(err, ErrStaleRequest) {
		t.Errorf("a copy: %v", err)
	}
	if _, err := a.Allot(Request{Daemon: "a#2", Sequence: 1}, limitTwenty, now); err != nil {
		t.Error(err)
	}
	if _, err := a.Allot(Request{Daemon: "a#1", Sequence: 6}, limitTwenty, now); !errors.Is(err, ErrRetiredDaemon) {
		t.Errorf("a replaced incarnation: %v", err)
	}
	a.Resign()
	if _, err := a.Allot(Request{Daemon: "a#2", Sequence: 2}, limitTwenty, now); !errors.Is(err, ErrNotLeading) {
		t.Errorf("after resigning: %v", err)
	}
}

func TestBucketGrantsItsCapacityAndThenItsRate(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	reply := mustAllot(t, a, "a#1", 1, Claim{Waiting: 100}, now)
	if got := reply.Allotments[0].Count; got != 25 {
		t.Errorf("%d tokens are granted from a full bucket", got)
	}
	if got := reply.Allotments[0].RetryAfter; got < minimumRetryAfter {
		t.Errorf("retry after %v", got)
	}
	reply = mustAllot(t, a, "a#1", 2, Claim{Waiting: 100}, now+second)
	if got := reply.Allotments[0].Count; got != 20 {
		t.Errorf("%d tokens are granted a second later", got)
	}
}

func TestUnknownTenantIsDeniedAndUnlimitedOneGranted(t *testing.T) {
	a := newLeader(100 * second)
	request := Request{Daemon: "a#1", Sequence: 1, Claims: []Claim{{Tenant: "x", Waiting: 3}}}
	reply, err := a.Allot(request, limitTwenty, 100*second)
	if err != nil || reply.Allotments[0].Count != 0 || reply.Allotments[0].RetryAfter != minimumRetryAfter {
		t.Errorf("got %+v, %v", reply, err)
	}
	request.Sequence = 2
	reply, err = a.Allot(request, func(string) (Limit, bool) { return Limit{}, true }, 100*second)
	if err != nil || reply.Allotments[0].Count != 3 {
		t.Errorf("got %+v, %v", reply, err)
	}
}

func TestStandingRatesStayWithinTheirFractionOfTheRate(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	total := 0.0
	for _, daemon := range []ident.NodeID{"a#1", "b#1", "c#1", "d#1"} {
		reply := mustAllot(t, a, daemon, 1, Claim{Waiting: 1, RatePerSecond: 5}, now)
		total += reply.Allotments[0].StandingRate
	}
	if total < 13.99 || total > 14.01 {
		t.Errorf("the standing rates add up to %.2f of a rate of 20", total)
	}
	status := a.Status(now)
	if len(status) != 1 || len(status[0].Daemons) != 4 || status[0].Granted != 4 {
		t.Errorf("got %+v", status)
	}
}

// Guards against a new leader that has to reserve most of a tenant's rate for one daemon that never reports.
func TestStandingRateOfOneDaemonIsBounded(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	reply := mustAllot(t, a, "a#1", 1, Claim{Waiting: 1, RatePerSecond: 20}, now)
	if got := reply.Allotments[0].StandingRate; got > daemonStandingFraction*twenty.RatePerSecond {
		t.Errorf("one daemon has a standing rate of %.1f", got)
	}
}

func TestStandingRateOfALostReplyStillCounts(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	high := mustAllot(t, a, "a#1", 1, Claim{Waiting: 1, RatePerSecond: 10}, now).Allotments[0].StandingRate
	mustAllot(t, a, "a#1", 2, Claim{StandingRate: high, RatePerSecond: 1}, now)
	third := mustAllot(t, a, "c#1", 1, Claim{Waiting: 1, RatePerSecond: 10}, now).Allotments[0].StandingRate
	other := mustAllot(t, a, "b#1", 1, Claim{Waiting: 1, RatePerSecond: 10}, now).Allotments[0].StandingRate
	if high+third+other > standingFraction*twenty.RatePerSecond {
		t.Errorf("standing rates of %.1f, %.1f and %.1f are in use", high, third, other)
	}
	mustAllot(t, a, "a#1", 3, Claim{StandingRate: standingIncrease, RatePerSecond: 1}, now)
	if got := mustAllot(t, a, "b#1", 2, Claim{RatePerSecond: 10}, now).Allotments[0].StandingRate; got <= other {
		t.Errorf("a standing rate that isn't in use any longer still counts: %.1f", got)
	}
}

func TestDeficitIsChargedOnceAndSetAgainstWhatWasReserved(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	mustAllot(t, a, "a#1", 1, Claim{Waiting: 25, RatePerSecond: 10}, now)
	deficit := Claim{CreditTo: 10, StandingRate: 5}
	mustAllot(t, a, "a#1", 2, deficit, now)
	mustAllot(t, a, "a#1", 3, deficit, now)
	if got := a.Status(now)[0].Level; got != -10 {
		t.Errorf("the level is %.1f", got)
	}
	later := now + 2*second
	status := a.Status(later)[0]
	if !status.Daemons[0].Overdue || status.Daemons[0].Reserved != 10 || status.Level != 20 {
		t.Errorf("got %+v", status)
	}
	mustAllot(t, a, "a#1", 4, Claim{CreditFrom: 10, CreditTo: 30, StandingRate: 5}, later)
	if got := a.Status(later)[0].Level; got != 10 {
		t.Errorf("the level is %.1f", got)
	}
}

func TestRetiredDaemonReservesNothing(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	mustAllot(t, a, "a#1", 1, Claim{Waiting: 25, RatePerSecond: 10}, now)
	a.Retire("a#1", now+millisecond)
	status := a.Status(now + second)[0]
	if len(status.Daemons) != 0 || status.Level < 19.9 {
		t.Errorf("got %+v", status)
	}
}

func TestNewLeaderReservesForDaemonsThatHaveNotReported(t *testing.T) {
	const now = 100 * second
	a := NewAllocator(siteSettings)
	a.Lead(2, []ident.NodeID{"a#1", "b#1"}, now)
	claim := Claim{Tenant: "t", StandingRate: 4}
	if _, err := a.Allot(Request{Daemon: "a#1", Sequence: 1, Term: 1, Claims: []Claim{claim}}, limitTwenty, now); err != nil {
		t.Fatal(err)
	}
	initial := siteSettings.initialLevel(twenty)
	if got := a.Status(now + second/2)[0].Level; got < initial+7.49 || got > initial+7.51 {
		t.Errorf("%.2f tokens accrue in half a second, of 10 less 2.5 reserved", got-initial)
	}
	for _, request := range []Request{{Daemon: "a#1", Sequence: 2, Term: 2}, {Daemon: "b#1", Sequence: 1, Term: 1}} {
		if _, err := a.Allot(request, limitTwenty, now+second/2); err != nil {
			t.Fatal(err)
		}
	}
	if got := a.Status(now + second)[0].Level; got < initial+15.7 {
		t.Errorf("%.2f tokens accrue in a second, half of it with all reported", got-initial)
	}
}

func TestChangedLimitHoldsAtOnce(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	mustAllot(t, a, "a#1", 1, Claim{}, now)
	half := func(string) (Limit, bool) { return Limit{RatePerSecond: 10, Burst: 10}, true }
	request := Request{Daemon: "a#1", Sequence: 2, Term: 1, Claims: []Claim{{Tenant: "t", Waiting: 100}}}
	reply, err := a.Allot(request, half, now)
	if err != nil || reply.Allotments[0].Count != 15 {
		t.Errorf("got %+v, %v", reply, err)
	}
}

func TestIdleStateIsForgotten(t *testing.T) {
	const now = 100 * second
	a := newLeader(now)
	mustAllot(t, a, "a#1", 1, Claim{Waiting: 1, RatePerSecond: 1}, now)
	later := now + clock.Mark(idleTimeout) + 2*second
	for sequence := range uint64(3) {
		request := Request{Daemon: "b#1", Sequence: sequence + 1, Term: 1}
		if _, err := a.Allot(request, limitTwenty, later+clock.Mark(sequence)*2*second); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.tenants) != 0 || len(a.daemons) != 1 || len(a.current) != 1 {
		t.Errorf("%d tenants and %d daemons are kept", len(a.tenants), len(a.daemons))
	}
}

// Guards against requests denied under a limit right after the fleet's first start: nobody can have spent anything then.
func TestFirstLeaderStartsWithFullBuckets(t *testing.T) {
	limit := Limit{RatePerSecond: 10, Burst: 100}
	limitOf := func(string) (Limit, bool) { return limit, true }
	settings := Settings{Window: 5 * time.Second, Excess: 0.1, Margin: 20}
	granted := func(lead func(*Allocator)) int {
		a := NewAllocator(settings)
		lead(a)
		reply, err := a.Allot(Request{Daemon: "a#1", Sequence: 1, Claims: []Claim{{Tenant: "t", Waiting: 1000}}}, limitOf, 0)
		if err != nil {
			t.Fatal(err)
		}
		return reply.Allotments[0].Count
	}
	if first := granted(func(a *Allocator) { a.LeadFirst(1, 0) }); first < int(limit.Burst) {
		t.Errorf("the first leader granted %d", first)
	}
	if later := granted(func(a *Allocator) { a.LeadFirst(1, 0); a.Lead(2, nil, 0) }); later >= int(limit.Burst) {
		t.Errorf("a later leader granted %d", later)
	}
}
