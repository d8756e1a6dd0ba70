package checker

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// lost says that the system read a request and closed its connection without a complete answer.
func (b *index) lost(attempt *history.Attempt) bool {
	if !attempt.Connected || attempt.Sent == 0 || attempt.Ended == 0 || attempt.ClientClosed || attempt.Status != 0 && attempt.Complete {
		return false
	}
	arrivals := b.arrivals[attempt.AttemptID]
	if len(arrivals) == 0 && attempt.Ended <= attempt.Sent+clock.Mark(b.bounds.LossSlack) {
		return false
	}
	if b.broken(attempt.AttemptID) || attempt.Ended.Since(attempt.Began) >= time.Duration(attempt.DeadlineMs)*time.Millisecond {
		return false
	}
	if b.timedOut(attempt) {
		return false
	}
	for _, arrival := range arrivals {
		if incarnation := b.incarnations[arrival.Engine]; incarnation != nil && incarnation.Ended != 0 && incarnation.Ended <= attempt.Ended {
			return false
		}
	}
	return true
}

// timedOut says that the deadline of the route was reached.
func (b *index) timedOut(attempt *history.Attempt) bool {
	for _, version := range b.versions {
		if route := version.Config.Find(attempt.Host, pathOf(attempt.URI)); route != nil && attempt.Ended.Since(attempt.Began) >= time.Duration(route.DeadlineMs)*time.Millisecond {
			return true
		}
	}
	return false
}

// stopExcuse is how long after the beginning of a stop a request may be sent that the stop may cut off at a slow engine.
const stopExcuse = 3 * time.Second

// lostPlanned checks that no request is lost around planned restarts, reloads and changes of the configuration.
func (b *index) lostPlanned() Finding {
	f := Finding{Rule: "LOST around planned work"}
	unplanned := func(attempt *history.Attempt) bool {
		return b.disrupted(before(attempt.Began, b.bounds.Contact), attempt.Ended, func(t *history.Disruption) bool {
			return !t.Planned && (t.Machine == attempt.Daemon || t.Core || t.Kind == history.Closing || t.Kind == history.Link)
		})
	}
	for _, disruption := range b.Disruptions {
		if !disruption.Planned || disruption.Kind != history.Stopped && disruption.Kind != history.Reload {
			continue
		}
		until := disruption.From + clock.Mark(b.bounds.Grace+time.Second)
		for _, attempt := range b.Attempts {
			if attempt.Daemon != disruption.Machine || attempt.Ended < disruption.From || attempt.Ended > until || unplanned(attempt) {
				continue
			}
			if disruption.Kind == history.Reload && attempt.Began > disruption.From+clock.Mark(b.bounds.Apply) {
				continue
			}
			f.Checked++
			if !b.lost(attempt) {
				continue
			}
			if b.excusedByStop(attempt, disruption) {
				continue
			}
			f.violation("%s at %s was cut around its %s", attempt.AttemptID, attempt.Daemon, disruption.Kind)
		}
	}
	b.lostOverChanges(&f, unplanned)
	return f
}

// excusedByStop says that a planned stop may have cut an attempt: its engine was still at work in the second half of the grace
// period.
func (b *index) excusedByStop(attempt *history.Attempt, stop *history.Disruption) bool {
	return stop.Planned && stop.Kind == history.Stopped && stop.Machine == attempt.Daemon && attempt.Ended >= stop.From &&
		attempt.Sent <= stop.From+clock.Mark(stopExcuse) && b.stillRunning(attempt, stop.From+clock.Mark(b.bounds.Grace/2))
}

// stillRunning says whether an engine was executing an attempt at a time.
func (b *index) stillRunning(attempt *history.Attempt, at clock.Mark) bool {
	return slices.ContainsFunc(b.arrivals[attempt.AttemptID], func(a *history.Arrival) bool { return a.At <= at && (a.Ended == 0 || a.Ended > at) })
}

// lostOverChanges compares losses around changes of the configuration with those at other times, by machine.
func (b *index) lostOverChanges(f *Finding, unplanned func(*history.Attempt) bool) {
	near := func(attempt *history.Attempt) bool {
		for _, version := range b.versions {
			end := version.Answered
			if end == 0 {
				end = version.Began
			}
			if attempt.Ended >= version.Began && attempt.Ended <= end+clock.Mark(b.bounds.Apply+time.Second) {
				return true
			}
		}
		return false
	}
	type tally struct{ cut, all int }
	machines := map[string]*[2]tally{}
	for _, attempt := range b.Attempts {
		if attempt.Ended == 0 || attempt.Daemon == "" || unplanned(attempt) || float64(attempt.Ended.Since(attempt.Began)) > 0.7*float64(attempt.DeadlineMs)*float64(time.Millisecond) {
			continue
		}
		count := machines[attempt.Daemon]
		if count == nil {
			count = &[2]tally{}
			machines[attempt.Daemon] = count
		}
		i := 1
		if near(attempt) {
			i = 0
		}
		count[i].all++
		excused := func(stop *history.Disruption) bool { return b.excusedByStop(attempt, stop) }
		if b.lost(attempt) && !slices.ContainsFunc(b.Disruptions, excused) {
			count[i].cut++
		}
	}
	for machine, count := range machines {
		f.Checked += count[0].all
		if count[0].cut == 0 {
			continue
		}
		usual := 0.0
		if count[1].all > 0 {
			usual = float64(count[1].cut) / float64(count[1].all)
		}
		if float64(count[0].cut)/float64(count[0].all) > 3*usual {
			f.violation("%s cut %d of %d requests around changes of the configuration, and %d of %d at other times", machine, count[0].cut, count[0].all, count[1].cut, count[1].all)
		}
	}
	slices.Sort(f.Violations)
}
