package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func (b *index) broken(attempt string) bool {
	return slices.ContainsFunc(b.arrivals[attempt], func(a *history.Arrival) bool { return a.Broken })
}

func (b *index) mixed() Finding {
	f := Finding{Rule: "MIXED"}
	for _, attempt := range b.Attempts {
		if attempt.Unsolicited != "" {
			f.Checked++
			if strings.HasPrefix(attempt.Unsolicited, "HTTP/1.1 2") || !strings.HasPrefix(attempt.Unsolicited, "HTTP/1.") {
				f.violation("%s: bytes came while no request waited: %.60q", attempt.AttemptID, attempt.Unsolicited)
			}
		}
		if attempt.Malformed != "" {
			f.Checked++
			if !b.broken(attempt.AttemptID) || attempt.Status == 0 {
				f.violation("%s: what came is no answer: %s", attempt.AttemptID, attempt.Malformed)
			}
		}
		if attempt.Status == 0 {
			continue
		}
		f.Checked++
		if attempt.AnsweredID != "" && attempt.AnsweredID != attempt.AttemptID {
			f.violation("%s got the answer to %s", attempt.AttemptID, attempt.AnsweredID)
		}
		for _, event := range attempt.Events {
			if id, _, _, _, ok := protocol.ReadEventData(event.Data); !ok || id != attempt.AttemptID {
				f.violation("%s got an event of another: %s", attempt.AttemptID, event.Data)
				break
			}
		}
		stamp, genuine := protocol.ReadStamp(attempt.Seal)
		if !attempt.Success() {
			if attempt.Seal != "" && (!genuine || stamp.Status != attempt.Status) {
				f.violation("%s: a failure of %d bears a stamp of %d", attempt.AttemptID, attempt.Status, stamp.Status)
			}
			continue
		}
		switch {
		case !genuine:
			f.violation("%s: a success without an engine's stamp", attempt.AttemptID)
		case attempt.Encoding != "" && attempt.Encoding != "identity":
			f.violation("%s: a success with an encoding", attempt.AttemptID)
		case stamp.Attempt != attempt.AttemptID:
			f.violation("%s: the stamp is of %s", attempt.AttemptID, stamp.Attempt)
		case stamp.Status != attempt.Status:
			f.violation("%s: the engine answered %d, and %d came", attempt.AttemptID, stamp.Status, attempt.Status)
		case stamp.Length >= 0 && (len(attempt.ResponseBody) != stamp.Length || protocol.Digest(attempt.ResponseBody) != stamp.Digest):
			f.violation("%s: the body is not the engine's whole body", attempt.AttemptID)
		}
	}
	return f
}

func (b *index) unasked() Finding {
	f := Finding{Rule: "UNASKED"}
	for _, arrival := range b.Arrivals {
		if !arrival.Ran() {
			continue
		}
		f.Checked++
		attempt := b.attempts[arrival.AttemptID]
		switch {
		case attempt == nil:
			f.violation("%s ran %q, which no client sent", arrival.Engine, arrival.AttemptID)
		case arrival.Method != attempt.Method || arrival.URI != attempt.URI:
			f.violation("%s was sent as %s %s and ran as %s %s", attempt.AttemptID, attempt.Method, attempt.URI, arrival.Method, arrival.URI)
		case arrival.BodyDigest != attempt.BodyDigest:
			f.violation("%s ran with another body", attempt.AttemptID)
		case arrival.Prompt.WriteModel() != attempt.Prompt.WriteModel() || arrival.Prompt.WriteCounts() != attempt.Prompt.WriteCounts() || arrival.Prompt.WriteParts() != attempt.Prompt.WriteParts():
			f.violation("%s was sent as %+v and ran as %+v", attempt.AttemptID, attempt.Prompt, arrival.Prompt)
		}
	}
	return f
}

func ran(arrivals []*history.Arrival) (count int, where []string) {
	for _, arrival := range arrivals {
		if arrival.Ran() {
			count++
			where = append(where, arrival.Engine)
		}
	}
	return count, where
}

func (b *index) twice() Finding {
	f := Finding{Rule: "TWICE"}
	for _, attempt := range b.Attempts {
		count, where := ran(b.arrivals[attempt.AttemptID])
		if b.idempotent(attempt) || count == 0 {
			continue
		}
		f.Checked++
		if count > 1 {
			f.violation("%s ran at %v", attempt.AttemptID, where)
		}
	}
	return f
}

func (b *index) refused() Finding {
	f := Finding{Rule: "REFUSED"}
	for _, attempt := range b.Attempts {
		if b.idempotent(attempt) || !attempt.PromisesNotRun() {
			continue
		}
		f.Checked++
		if count, where := ran(b.arrivals[attempt.AttemptID]); count > 0 {
			f.violation("%s was answered %d and ran at %v", attempt.AttemptID, attempt.Status, where)
		}
	}
	return f
}

// unknownFew is how many answers that something is not known, or not allowed, machines out of touch may give.
const unknownFew = 10

func (b *index) denied() Finding {
	f := Finding{Rule: "DENIED"}
	var denied, unknown []string
	for _, attempt := range b.Attempts {
		if !attempt.Probe && !attempt.Absent {
			f.Checked++
		}
		if attempt.Probe || attempt.Absent || !own(attempt) || attempt.PromisesNotRun() || attempt.Status < 300 || attempt.Status > 499 {
			continue
		}
		if !b.inTouch(attempt.Daemon, attempt.Ended) {
			if slices.Contains([]int{401, 403, 404}, attempt.Status) && b.alwaysAllowed(attempt) {
				unknown = append(unknown, fmt.Sprintf("%s was answered %d by %s, which was out of touch", attempt.AttemptID, attempt.Status, attempt.Daemon))
			}
			continue
		}
		proper := true
		for _, version := range b.versions[b.oldestValid(attempt.Began, b.applyBound(attempt.Began)):] {
			if version.Began <= attempt.Ended && version.Config.Find(attempt.Host, pathOf(attempt.URI)) == nil {
				proper = false
			}
		}
		if proper {
			denied = append(denied, fmt.Sprintf("%s was answered %d by %s", attempt.AttemptID, attempt.Status, attempt.Daemon))
		}
	}
	if len(denied) > 5+f.Checked/500 {
		f.Violations = denied
	}
	if len(unknown) > unknownFew {
		f.Violations = append(f.Violations, unknown...)
	}
	return f
}

// alwaysAllowed says whether all configurations of the day have a route for a request.
func (b *index) alwaysAllowed(attempt *history.Attempt) bool {
	return !slices.ContainsFunc(b.versions, func(version *history.Change) bool {
		return version.Config.Find(attempt.Host, pathOf(attempt.URI)) == nil
	})
}

func (b *index) route() Finding {
	f := Finding{Rule: "ROUTE"}
	for _, arrival := range b.Arrivals {
		if !arrival.Ran() {
			continue
		}
		f.Checked++
		ever := func(list []*history.Change) bool {
			return slices.ContainsFunc(list, func(c *history.Change) bool { return allows(c.Config, arrival.Host, arrival.URI, arrival.Service) })
		}
		if !ever(b.versions) && !ever(b.rejected) {
			f.violation("%s ran at %s of %s, which no configuration ever allowed", arrival.AttemptID, arrival.Engine, arrival.Service)
		}
	}
	return f
}

func (b *index) drain() Finding {
	f := Finding{Rule: "DRAIN"}
	for _, incarnation := range b.Incarnations {
		if incarnation.DrainAcked == 0 {
			continue
		}
		f.Checked++
		start := incarnation.DrainAcked
		for _, disruption := range b.Disruptions {
			// The time starts once the core is settled again.
			if disruption.Core && disruption.From <= start && (disruption.Until == 0 || disruption.Until+clock.Mark(b.bounds.Contact) > start) {
				if disruption.Until == 0 {
					start = b.Ended
				} else {
					start = disruption.Until + clock.Mark(b.bounds.Contact)
				}
			}
		}
		for _, arrival := range b.Arrivals {
			if arrival.Engine != incarnation.Engine || arrival.HealthCheck || arrival.Status == 421 || arrival.At <= start+clock.Mark(b.bounds.Drain) {
				continue
			}
			if attempt := b.attempts[arrival.AttemptID]; attempt != nil && b.inTouch(attempt.Daemon, arrival.At) {
				f.violation("%s reached %s from %s %v after its leaving was acknowledged", arrival.AttemptID, arrival.Engine, attempt.Daemon, arrival.At.Since(incarnation.DrainAcked).Round(time.Millisecond))
			}
		}
	}
	return f
}

// cut says that a request was read, and its connection closed with no complete answer, by the system's doing.
func (b *index) cut(attempt *history.Attempt) bool {
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

// timedOut says that the route's own longest time was reached.
func (b *index) timedOut(attempt *history.Attempt) bool {
	for _, version := range b.versions {
		if route := version.Config.Find(attempt.Host, pathOf(attempt.URI)); route != nil && attempt.Ended.Since(attempt.Began) >= time.Duration(route.DeadlineMs)*time.Millisecond {
			return true
		}
	}
	return false
}

// excusedFor is until how long after a stop began a request may be sent whose engine may outlast the machine.
const excusedFor = 3 * time.Second

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
			if !b.cut(attempt) {
				continue
			}
			if disruption.Kind == history.Stopped && attempt.Sent <= disruption.From+clock.Mark(excusedFor) && b.stillRunning(attempt, disruption.From+clock.Mark(b.bounds.Grace/2)) {
				continue
			}
			f.violation("%s at %s was cut around its %s", attempt.AttemptID, attempt.Daemon, disruption.Kind)
		}
	}
	b.lostOverChanges(&f, unplanned)
	return f
}

// stillRunning says whether an engine was still at work on it then.
func (b *index) stillRunning(attempt *history.Attempt, at clock.Mark) bool {
	return slices.ContainsFunc(b.arrivals[attempt.AttemptID], func(a *history.Arrival) bool { return a.At <= at && (a.Ended == 0 || a.Ended > at) })
}

// lostOverChanges compares the time around changes of the configuration with the rest, machine by machine.
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
		place := 1
		if near(attempt) {
			place = 0
		}
		count[place].all++
		if b.cut(attempt) {
			count[place].cut++
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

func (b *index) budget() Finding {
	f := Finding{Rule: "BUDGET"}
	window := clock.Mark(b.bounds.RetryWindow)
	further := map[string][]clock.Mark{}
	for _, arrivals := range b.arrivals {
		seen := map[string]bool{}
		for _, arrival := range arrivals {
			if seen[arrival.Service] {
				further[arrival.Service] = append(further[arrival.Service], arrival.At)
			}
			seen[arrival.Service] = true
		}
	}
	asked := map[string][]clock.Mark{}
	for _, attempt := range b.Attempts {
		if attempt.Sent == 0 {
			continue
		}
		services := map[string]bool{}
		for _, version := range b.versions {
			if route := version.Config.Find(attempt.Host, pathOf(attempt.URI)); route != nil {
				for _, service := range route.Services() {
					services[service] = true
				}
			}
		}
		for service := range services {
			asked[service] = append(asked[service], attempt.Began)
		}
	}
	count := func(marks []clock.Mark, from, to clock.Mark) int {
		low, _ := slices.BinarySearch(marks, from+1)
		high, _ := slices.BinarySearch(marks, to+1)
		return high - low
	}
	for service, marks := range asked {
		slices.Sort(marks)
		again := further[service]
		slices.Sort(again)
		f.Checked += len(marks)
		for _, end := range again {
			// Every span counts; one that ends with a further arrival holds the most.
			more := count(again, end-window, end)
			requests := max(count(marks, end-window, end), count(marks, end-2*window, end-window), count(marks, end-window*3/2, end-window/2))
			if allowed := b.bounds.RetryRatio*float64(requests) + float64(b.bounds.RetrySlack); float64(more) > allowed {
				f.violation("%s got %d further arrivals within %v for %d requests", service, more, b.bounds.RetryWindow, requests)
				break
			}
		}
	}
	slices.Sort(f.Violations)
	return f
}

func (b *index) order() Finding {
	f := Finding{Rule: "ORDER"}
	for _, attempt := range b.Attempts {
		if attempt.Class != protocol.Streaming || attempt.Status < 200 || attempt.Status > 299 {
			continue
		}
		f.Checked++
		if fault := b.streamFault(attempt); fault != "" {
			f.violation("%s: %s", attempt.AttemptID, fault)
		}
	}
	return f
}

func (b *index) streamFault(attempt *history.Attempt) string {
	place := 0
	if attempt.LastEvent != "" {
		place, _ = strconv.Atoi(attempt.LastEvent)
	}
	run, of := "", 0
	for _, event := range attempt.Events {
		_, in, at, all, ok := protocol.ReadEventData(event.Data)
		if !ok {
			return "an event cannot be read: " + event.Data
		}
		if event.ID != strconv.Itoa(at) {
			return fmt.Sprintf("event %d bears the id %s", at, event.ID)
		}
		if at != place+1 {
			return fmt.Sprintf("event %d where %d was due", at, place+1)
		}
		if run != "" && in != run {
			went := slices.ContainsFunc(b.arrivals[attempt.AttemptID], func(a *history.Arrival) bool { return a.Run == in && a.LastEvent == strconv.Itoa(place) })
			if !b.idempotent(attempt) || !went {
				return fmt.Sprintf("pieces of %s and %s are joined", run, in)
			}
		}
		run, of, place = in, all, at
	}
	// One that is taken up behind the last event has nothing left to come.
	nothingLeft := len(attempt.Events) == 0 && attempt.LastEvent != ""
	if attempt.Complete && !nothingLeft && (place != of || len(attempt.Events) == 0) {
		return fmt.Sprintf("it ends as complete after event %d of %d", place, of)
	}
	return ""
}
