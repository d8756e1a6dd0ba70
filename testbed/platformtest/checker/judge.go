// Package checker holds a day's history against the rules of the users' platform. It knows only what the
// stand-ins have seen on their own sockets, and what was done to the fleet.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Bounds are the figures of the rules.
type Bounds struct {
	Contact, Drain, Grace, LossSlack, Apply, Revert, StretchMax, Recovery, Ack time.Duration
	RetryWindow                                                                time.Duration
	RetryRatio                                                                 float64
	RetrySlack                                                                 int
	Lease, Unfreeze                                                            time.Duration
	FenceChecked                                                               bool
	OriginWindow                                                               time.Duration
	OriginExcess                                                               float64
	// Floor is the least share of requests served.
	Floor float64
}

// Finding is the outcome of one rule.
type Finding struct {
	Rule       string
	Checked    int
	Violations []string
}

func (f *Finding) violation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// index is a history, sorted and indexed.
type index struct {
	*history.History
	bounds Bounds
	// attempts and arrivals are by attempt, lives by engine.
	attempts     map[string]*history.Attempt
	arrivals     map[string][]*history.Arrival
	incarnations map[string]*history.Incarnation
	// versions may be in force, sorted by number; others were sent and must never be.
	versions, rejected []*history.Change
	memo               map[string][]int
}

// CheckAll runs all rules.
func CheckAll(h *history.History, bounds Bounds) []Finding {
	b := &index{History: h, memo: map[string][]int{}, bounds: bounds, attempts: map[string]*history.Attempt{}, arrivals: map[string][]*history.Arrival{}, incarnations: map[string]*history.Incarnation{}}
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
			// Its first sending is there already.
			continue
		}
		if change.Fault == "" && change.Outcome != history.Refused && change.Config != nil {
			b.versions = append(b.versions, change)
		} else if change.Config != nil {
			b.rejected = append(b.rejected, change)
		}
	}
	slices.SortStableFunc(b.versions, func(x, y *history.Change) int { return cmp.Compare(x.Generation, y.Generation) })
	return []Finding{
		b.mixed(), b.unasked(), b.twice(), b.refused(), b.denied(), b.route(), b.drain(), b.lostPlanned(), b.lostOnKeepAlive(), b.shares(), b.lostClosing(),
		b.configLate(), b.configUnserved(), b.configBack(), b.configForeign(), b.configAcks(), b.configLinearizable(), b.configRead(),
		b.budget(), b.engineAttempts(), b.deadlines(), b.finalAnswers(), b.afterClientClosed(), b.unready(), b.order(), b.recover(), b.one(), b.limit(), b.loadRate(),
		b.floor(), b.sizes(), b.starvedSessions(), b.starvedModels(), b.starvedKinds(), b.acks(), b.leavingAcks(), b.unexpectedExits(), b.ready(),
	}
}

// disrupted says whether anything that matches went on at some time of a span.
func (b *index) disrupted(from, to clock.Mark, match func(*history.Disruption) bool) bool {
	for _, disruption := range b.Disruptions {
		if disruption.From <= to && (disruption.Until == 0 || disruption.Until >= from) && match(disruption) {
			return true
		}
	}
	return false
}

// before gives the moment a span before another.
func before(at clock.Mark, span time.Duration) clock.Mark { return at - clock.Mark(span) }

// coreSettled says whether the core was undisturbed through the time of contact before a moment.
func (b *index) coreSettled(at clock.Mark) bool {
	return !b.disrupted(before(at, b.bounds.Contact), at, func(t *history.Disruption) bool { return t.Core || t.Kind == history.Closing })
}

// inTouch says whether a machine was undisturbed, and the core with it.
func (b *index) inTouch(machine string, at clock.Mark) bool {
	return b.coreSettled(at) && b.steady(machine, at)
}

// steady says so of the machine alone.
func (b *index) steady(machine string, at clock.Mark) bool {
	return !b.disrupted(before(at, b.bounds.Contact), at, func(t *history.Disruption) bool {
		return t.Machine == machine || t.Kind == history.Closing || t.Kind == history.TestbedStall
	})
}

// calm says that nothing at all was wrong in the time of contact before a span, and in it.
func (b *index) calm(from, to clock.Mark) bool {
	return !b.disrupted(before(from, b.bounds.Contact), to, func(*history.Disruption) bool { return true })
}

// allows says whether a version lets a request go to a service.
func allows(config *protocol.Config, host, uri, service string) bool {
	route := config.Find(host, pathOf(uri))
	return route != nil && slices.Contains(route.Services(), service)
}

func pathOf(uri string) string {
	for place := range len(uri) {
		if uri[place] == '?' {
			return uri[:place]
		}
	}
	return uri
}

// oldestValid gives the place of the oldest version that a request sent then may be handled by.
func (b *index) oldestValid(sent clock.Mark, slack time.Duration) int {
	oldest := 0
	for place, version := range b.versions {
		if version.Outcome == history.Acknowledged && version.Answered+clock.Mark(slack) <= sent {
			oldest = place
		}
	}
	return oldest
}

// applyBound is the bound for a configuration that counts for a request: it is longer while the core is unsettled.
func (b *index) applyBound(sent clock.Mark) time.Duration {
	if b.coreSettled(sent) && b.coreSettled(before(sent, b.bounds.Apply)) {
		return b.bounds.Apply
	}
	return b.bounds.Apply + b.bounds.StretchMax
}

func (b *index) idempotent(attempt *history.Attempt) bool {
	return attempt.Class == protocol.Idempotent || attempt.Class == protocol.Streaming && attempt.Resumable
}

// own says that an answer is the system's own and no engine's.
func own(attempt *history.Attempt) bool { return attempt.Status != 0 && attempt.Seal == "" }
