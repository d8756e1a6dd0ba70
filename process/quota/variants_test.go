package quota

import (
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// defects are deliberate faults, each of which the check of the bounds must see.
type defects struct {
	// tokensNeverLapse has daemons send requests whose tokens have lapsed.
	tokensNeverLapse bool
	// deficitNotCharged hides what was spent on credit from the leader.
	deficitNotCharged bool
	// nothingReserved has the leader never notice that a daemon is out of contact.
	nothingReserved bool
	// fullInitialBucket has each leader begin with full buckets.
	fullInitialBucket bool
	// unreportedNotReserved has each leader pass over the credit that its predecessor gave.
	unreportedNotReserved bool
	// repliesAcceptedTwice has daemons spend the tokens of a reply each time that it arrives.
	repliesAcceptedTwice bool
	// creditNeverFallsOff has daemons spend on credit without an end.
	creditNeverFallsOff bool
	// standingRatesUnbounded has the leader give each daemon a standing rate of the tenant's full rate.
	standingRatesUnbounded bool
	// loansNotCounted has daemons lend without spending their own credit.
	loansNotCounted bool
}

// breakRequest changes a request on its way to the leader, as the defects have it.
func (f *fleet) breakRequest(request *Request) {
	if f.defects.deficitNotCharged {
		for i := range request.Claims {
			request.Claims[i].CreditFrom = request.Claims[i].CreditTo
		}
	}
}

// breakAllocator changes the leader's state before it handles a request.
func (f *fleet) breakAllocator() {
	allocator := f.leader.allocator
	if f.defects.nothingReserved {
		for _, contact := range allocator.daemons {
			contact.last = f.leaderMark()
		}
	}
	if f.defects.unreportedNotReserved {
		clear(allocator.unreported)
	}
	if f.defects.fullInitialBucket {
		for tenant, limit := range f.limits {
			if _, found := allocator.tenants[tenant]; !found {
				allocator.tenants[tenant] = allocator.newTenant(limit)
				allocator.tenants[tenant].bucket.charge(-limit.Burst)
			}
		}
	}
}

// breakReply changes the limiter's state before it handles a reply, and the reply.
func (d *simulatedDaemon) breakReply(reply *Reply) {
	if d.fleet.defects.repliesAcceptedTwice && d.limiter.progress == nil {
		d.limiter.progress = &requestInProgress{sequence: reply.Sequence, sentAt: d.mark()}
	}
	if d.fleet.defects.standingRatesUnbounded {
		for i, allotment := range reply.Allotments {
			reply.Allotments[i].StandingRate = d.limits[allotment.Tenant].RatePerSecond
		}
	}
}

// breakLimiter changes the limiter's state before it decides on a request.
func (d *simulatedDaemon) breakLimiter(tenant string) {
	tokens, found := d.limiter.tenants[tenant]
	if !found {
		return
	}
	if d.fleet.defects.creditNeverFallsOff {
		tokens.standing.start = d.mark() - clock.Mark(fullCreditPeriod)
	}
}

// scenario is a course of events in which a defect shows.
type scenario func(f *fleet)

// hotOnAll has clients send eight times a tenant's rate to all daemons.
func hotOnAll(f *fleet) {
	f.arrivals("t", 8*f.limits["t"].RatePerSecond, 1, historyLength, f.anyDaemon)
}

// shortPartitions takes most of the daemons out of contact again and again, too shortly to be noticed.
func shortPartitions(f *fleet) {
	hotOnAll(f)
	for start := 5 * time.Second; start < historyLength; start += 700 * time.Millisecond {
		f.after(start, func() { f.isolate(f.daemons[1:], 500*time.Millisecond) })
	}
}

// longPartition takes most of the daemons out of contact for long.
func longPartition(f *fleet) {
	hotOnAll(f)
	f.after(10*time.Second, func() { f.isolate(f.daemons[1:], 15*time.Second) })
}

// leaderChanges replaces the leader twice in quick order when a tenant that was idle comes with a burst.
func leaderChanges(f *fleet) {
	f.setLimit(Limit{RatePerSecond: 100, Burst: 200}, 0)
	f.after(10*time.Second, func() { hotOnAll(f) })
	f.after(11*time.Second, func() { f.changeLeader(100 * time.Millisecond) })
	f.after(12*time.Second, func() { f.changeLeader(100 * time.Millisecond) })
}

// leaderChangeInPartition replaces the leader while most of the daemons are out of contact.
func leaderChangeInPartition(f *fleet) {
	longPartition(f)
	f.after(10100*time.Millisecond, func() { f.changeLeader(100 * time.Millisecond) })
}

// queuedRequests has requests wait in queues after they took a token, until all are sent together.
func queuedRequests(f *fleet) {
	f.sendEvery = 10 * time.Second
	hotOnAll(f)
}

// lendingInPartition takes most of the daemons out of contact for long, and has them lend to each other.
func lendingInPartition(f *fleet) {
	f.zones = 1
	longPartition(f)
}

// duplicatedReplies has each reply arrive twice.
func duplicatedReplies(f *fleet) {
	f.duplication = 1
	hotOnAll(f)
}

// play runs a scenario on four daemons with a limit without burst, which leaves the least slack.
func (s scenario) play(broken defects) float64 {
	f := newFleet(1, 4, map[string]Limit{"t": {RatePerSecond: 100}})
	f.defects = broken
	s(f)
	f.runUntil(historyLength)
	return f.excess("t")
}

func TestEachDefectExceedsTheBounds(t *testing.T) {
	tests := map[string]struct {
		scenario scenario
		broken   defects
	}{
		"tokens that don't lapse in a queue":       {queuedRequests, defects{tokensNeverLapse: true}},
		"deficits that aren't charged":             {shortPartitions, defects{deficitNotCharged: true}},
		"daemons out of contact that go unnoticed": {longPartition, defects{nothingReserved: true}},
		"a new leader with full buckets":           {leaderChanges, defects{fullInitialBucket: true}},
		"a new leader that reserves nothing":       {leaderChangeInPartition, defects{unreportedNotReserved: true}},
		"a reply spent twice":                      {duplicatedReplies, defects{repliesAcceptedTwice: true}},
		"credit that doesn't fall off":             {longPartition, defects{creditNeverFallsOff: true}},
		"standing rates without a bound":           {longPartition, defects{standingRatesUnbounded: true}},
		"loans that the lender doesn't count":      {lendingInPartition, defects{loansNotCounted: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sound, broken := test.scenario.play(defects{}), test.scenario.play(test.broken)
			t.Logf("%.1f requests above the bound, %.1f without the defect", broken, sound)
			if sound > 0 {
				t.Error("the bound is broken without the defect")
			}
			if broken <= 0 {
				t.Error("the defect isn't seen")
			}
		})
	}
}
