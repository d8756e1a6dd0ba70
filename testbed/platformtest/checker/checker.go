// Package checker holds the history of a run against the rules of the users' platform. It knows only what the simulated
// engines, clients and operators have seen on their own sockets, and which disruptions hit the fleet. Each rule is a
// method of index that returns a Finding; CheckAll runs them all. A rule excuses what the platform's rules excuse: mostly
// what happens within the time of contact (Bounds.Contact) after a disruption.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// Bounds are the limits in the rules.
type Bounds struct {
	Contact, Drain, Grace, LossSlack, Apply, Revert, StretchMax, Recovery, Ack time.Duration
	RetryWindow                                                                time.Duration
	RetryRatio                                                                 float64
	RetrySlack                                                                 int
	Lease, Unfreeze                                                            time.Duration
	FenceChecked                                                               bool
	OriginWindow                                                               time.Duration
	OriginExcess                                                               float64
	// QuotaWindow is the span in which a tenant's requests are counted, QuotaExcess the fraction and QuotaMargin the number
	// by which they may exceed its limit.
	QuotaWindow time.Duration
	QuotaExcess float64
	QuotaMargin int
	// Floor is the least fraction of requests that must be served.
	Floor float64
}

// Finding is the outcome of one rule.
type Finding struct {
	Rule       string
	Checked    int
	Violations []string
}

// violation records a violation of the rule.
func (f *Finding) violation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// index is a history, sorted by time and indexed.
type index struct {
	*history.History
	bounds Bounds
	// attempts and arrivals are by attempt id, incarnations by engine id.
	attempts     map[string]*history.Attempt
	arrivals     map[string][]*history.Arrival
	incarnations map[string]*history.Incarnation
	// versions may be in force, sorted by generation; rejected were sent and must never be in force.
	versions, rejected []*history.Change
	versionCache       map[effectKey][]int
	// underLimit marks the attempts that tenants made under their limits, by attempt id.
	underLimit map[string]bool
}

// newIndex sorts and indexes a history.
func newIndex(h *history.History, bounds Bounds) *index {
	b := &index{History: h, versionCache: map[effectKey][]int{}, underLimit: map[string]bool{}, bounds: bounds, attempts: map[string]*history.Attempt{}, arrivals: map[string][]*history.Arrival{}, incarnations: map[string]*history.Incarnation{}}
	slices.SortStableFunc(h.Attempts, func(x, y *history.Attempt) int { return cmp.Compare(x.Began, y.Began) })
	slices.SortStableFunc(h.Arrivals, func(x, y *history.Arrival) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(h.Orders, func(x, y *history.Order) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(h.Disruptions, func(x, y *history.Disruption) int { return cmp.Compare(x.From, y.From) })
	for _, attempt := range h.Attempts {
		b.attempts[attempt.AttemptID] = attempt
	}
	for _, arrival := range h.Arrivals {
		if !arrival.HealthCheck {
			b.arrivals[arrival.AttemptID] = append(b.arrivals[arrival.AttemptID], arrival)
		}
	}
	for _, incarnation := range h.Incarnations {
		b.incarnations[incarnation.Engine] = incarnation
	}
	for _, change := range h.Changes {
		if change.Resent {
			// The change is there already, from its first send.
			continue
		}
		if change.Fault == "" && change.Outcome != history.Refused && change.Config != nil {
			b.versions = append(b.versions, change)
		} else if change.Config != nil {
			b.rejected = append(b.rejected, change)
		}
	}
	slices.SortStableFunc(b.versions, func(x, y *history.Change) int { return cmp.Compare(x.Generation, y.Generation) })
	b.markUnderLimit()
	return b
}

// CheckAll runs all rules.
func CheckAll(h *history.History, bounds Bounds) []Finding {
	b := newIndex(h, bounds)
	return []Finding{
		b.mixedAnswers(), b.unrequested(), b.executedTwice(), b.executedAfterRefusal(), b.deniedRequests(), b.routing(), b.drainedEngines(), b.lostPlanned(), b.lostOnKeepAlive(), b.routeShares(), b.lostClosing(),
		b.configInForceLate(), b.configLaterRoutes(), b.configReverts(), b.configRejectedInForce(), b.configAcknowledgedWrongly(), b.configLinearizable(), b.configReadBack(),
		b.retryBudget(), b.quotas(), b.engineAttempts(), b.deadlines(), b.finalAnswers(), b.afterClientClosed(), b.drainReadiness(), b.streamOrder(), b.recovery(), b.singleOwner(), b.capacityLimit(), b.loadRate(),
		b.servedFloor(), b.servedBySize(), b.starvedSessions(), b.starvedModels(), b.starvedKinds(), b.starvedTenants(), b.acknowledgementsInTime(), b.drainAcknowledgements(), b.unexpectedExits(), b.ready(),
	}
}
