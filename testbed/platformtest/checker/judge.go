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

func (f *Finding) fault(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// bench is a history, sorted and indexed.
type bench struct {
	*history.History
	bounds Bounds
	// tries and arrivals are by attempt, lives by engine.
	tries    map[string]*history.Try
	arrivals map[string][]*history.Arrival
	lives    map[string]*history.Life
	// versions may be in force, sorted by number; others were sent and must never be.
	versions, others []*history.Change
	memo             map[string][]int
}

// Judge runs all rules.
func Judge(h *history.History, bounds Bounds) []Finding {
	b := &bench{History: h, memo: map[string][]int{}, bounds: bounds, tries: map[string]*history.Try{}, arrivals: map[string][]*history.Arrival{}, lives: map[string]*history.Life{}}
	slices.SortStableFunc(h.Tries, func(x, y *history.Try) int { return cmp.Compare(x.Began, y.Began) })
	slices.SortStableFunc(h.Arrivals, func(x, y *history.Arrival) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(h.Orders, func(x, y *history.Order) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(h.Troubles, func(x, y *history.Trouble) int { return cmp.Compare(x.From, y.From) })
	for _, try := range h.Tries {
		b.tries[try.Attempt] = try
	}
	for _, arrival := range h.Arrivals {
		if !arrival.Probe {
			b.arrivals[arrival.Attempt] = append(b.arrivals[arrival.Attempt], arrival)
		}
	}
	for _, life := range h.Lives {
		b.lives[life.Engine] = life
	}
	for _, change := range h.Changes {
		if change.Again {
			// Its first sending is there already.
			continue
		}
		if change.Fault == "" && change.Outcome != history.Refused && change.Whole != nil {
			b.versions = append(b.versions, change)
		} else if change.Whole != nil {
			b.others = append(b.others, change)
		}
	}
	slices.SortStableFunc(b.versions, func(x, y *history.Change) int { return cmp.Compare(x.Generation, y.Generation) })
	return []Finding{
		b.mixed(), b.unasked(), b.twice(), b.refused(), b.denied(), b.route(), b.drain(), b.lostPlanned(), b.keptLost(), b.shares(), b.lostClosing(),
		b.configLate(), b.configUnserved(), b.configBack(), b.configForeign(), b.configAcks(), b.configLinearizable(), b.configRead(),
		b.budget(), b.engineTries(), b.deadlines(), b.finalAnswers(), b.gone(), b.unready(), b.order(), b.recover(), b.one(), b.limit(), b.ceiling(),
		b.floor(), b.sizes(), b.starvedSessions(), b.starvedModels(), b.starvedKinds(), b.acks(), b.leavingAcks(), b.ends(), b.duty(),
	}
}

// troubled says whether anything that matches went on at some time of a span.
func (b *bench) troubled(from, to clock.Mark, match func(*history.Trouble) bool) bool {
	for _, trouble := range b.Troubles {
		if trouble.From <= to && (trouble.Until == 0 || trouble.Until >= from) && match(trouble) {
			return true
		}
	}
	return false
}

// before gives the moment a span before another.
func before(at clock.Mark, span time.Duration) clock.Mark { return at - clock.Mark(span) }

// settled says whether the core was undisturbed through the time of contact before a moment.
func (b *bench) settled(at clock.Mark) bool {
	return !b.troubled(before(at, b.bounds.Contact), at, func(t *history.Trouble) bool { return t.Core || t.Kind == history.Closing })
}

// inTouch says whether a machine was undisturbed, and the core with it.
func (b *bench) inTouch(machine string, at clock.Mark) bool {
	return b.settled(at) && b.steady(machine, at)
}

// steady says so of the machine alone.
func (b *bench) steady(machine string, at clock.Mark) bool {
	return !b.troubled(before(at, b.bounds.Contact), at, func(t *history.Trouble) bool {
		return t.Machine == machine || t.Kind == history.Closing || t.Kind == history.Machine
	})
}

// calm says that nothing at all was wrong in the time of contact before a span, and in it.
func (b *bench) calm(from, to clock.Mark) bool {
	return !b.troubled(before(from, b.bounds.Contact), to, func(*history.Trouble) bool { return true })
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

// due gives the place of the oldest version that a request sent then may be handled by.
func (b *bench) due(sent clock.Mark, slack time.Duration) int {
	oldest := 0
	for place, version := range b.versions {
		if version.Outcome == history.Acknowledged && version.Answered+clock.Mark(slack) <= sent {
			oldest = place
		}
	}
	return oldest
}

// slack is the bound for a configuration that counts for a request: it is longer while the core is unsettled.
func (b *bench) applyBound(sent clock.Mark) time.Duration {
	if b.settled(sent) && b.settled(before(sent, b.bounds.Apply)) {
		return b.bounds.Apply
	}
	return b.bounds.Apply + b.bounds.StretchMax
}

func (b *bench) repeatable(try *history.Try) bool {
	return try.Class == protocol.Idempotent || try.Class == protocol.Streaming && try.Resumable
}

// own says that an answer is the system's own and no engine's.
func own(try *history.Try) bool { return try.Status != 0 && try.Seal == "" }
