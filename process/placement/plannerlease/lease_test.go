package plannerlease

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// manualClock is a clock that is set by hand.
type manualClock struct{ now clock.Mark }

func (c *manualClock) Elapsed() clock.Mark { return c.now }
func (c *manualClock) Wall() time.Time     { return time.Time{} }

func granted(token ident.FencingToken, duration time.Duration) *statemachine.PlannerLease {
	const groupTime = 1_000_000
	return &statemachine.PlannerLease{Token: token, Now: groupTime, Expiry: groupTime + ident.GroupTime(duration.Milliseconds())}
}

func TestLeaseIsValidFromRequestUntilMarginBeforeExpiry(t *testing.T) {
	timer := &manualClock{now: clock.Mark(time.Minute)}
	lease := New(timer, 100*time.Millisecond)
	if _, valid := lease.Token(); valid || lease.Allows(0) {
		t.Error("a lease that was never granted is held")
	}
	requestedAt := timer.now
	timer.now += clock.Mark(500 * time.Millisecond)
	if !lease.Renew(requestedAt, granted(7, time.Second)) {
		t.Error("the first grant is not new")
	}
	timer.now = requestedAt + clock.Mark(900*time.Millisecond) - 1
	if token, valid := lease.Token(); !valid || token != 7 || !lease.Allows(7) || lease.Allows(6) {
		t.Errorf("before its end: token %d, held %t", token, valid)
	}
	timer.now++
	if _, valid := lease.Token(); valid || lease.Allows(7) {
		t.Error("held beyond its duration less the margin, counted from the request")
	}
}

func TestRenewalNeverShortensTheLease(t *testing.T) {
	timer := &manualClock{now: clock.Mark(time.Minute)}
	lease := New(timer, 0)
	first, second := timer.now, timer.now+clock.Mark(time.Second)
	lease.Renew(second, granted(7, time.Second))
	if lease.Renew(first, granted(7, time.Second)) {
		t.Error("a late reply with the same token counts as a new lease")
	}
	timer.now = second + clock.Mark(time.Second) - 1
	if _, valid := lease.Token(); !valid {
		t.Error("a late reply shortened the lease")
	}
}

func TestLeaseIsNewAfterExpiryReleaseOrAnotherToken(t *testing.T) {
	timer := &manualClock{now: clock.Mark(time.Minute)}
	lease := New(timer, 0)
	lease.Renew(timer.now, granted(7, time.Second))
	if !lease.Renew(timer.now, granted(8, time.Second)) {
		t.Error("another token is not new")
	}
	lease.Release()
	if lease.Allows(8) {
		t.Error("held after its release")
	}
	if !lease.Renew(timer.now, granted(8, time.Second)) {
		t.Error("not new after its release")
	}
	timer.now += clock.Mark(time.Second)
	if !lease.Renew(timer.now, granted(8, time.Second)) {
		t.Error("not new after its expiry")
	}
}
