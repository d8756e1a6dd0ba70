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

func (b *bench) broke(attempt string) bool {
	return slices.ContainsFunc(b.arrivals[attempt], func(a *history.Arrival) bool { return a.Broke })
}

func (b *bench) mixed() Finding {
	f := Finding{Rule: "MIXED"}
	for _, try := range b.Tries {
		if try.Surplus != "" {
			f.Checked++
			if strings.HasPrefix(try.Surplus, "HTTP/1.1 2") || !strings.HasPrefix(try.Surplus, "HTTP/1.") {
				f.fault("%s: bytes came while no request waited: %.60q", try.Attempt, try.Surplus)
			}
		}
		if try.Junk != "" {
			f.Checked++
			if !b.broke(try.Attempt) || try.Status == 0 {
				f.fault("%s: what came is no answer: %s", try.Attempt, try.Junk)
			}
		}
		if try.Status == 0 {
			continue
		}
		f.Checked++
		if try.Attempted != "" && try.Attempted != try.Attempt {
			f.fault("%s got the answer to %s", try.Attempt, try.Attempted)
		}
		for _, event := range try.Events {
			if attempt, _, _, _, ok := protocol.ReadEventData(event.Data); !ok || attempt != try.Attempt {
				f.fault("%s got an event of another: %s", try.Attempt, event.Data)
				break
			}
		}
		stamp, genuine := protocol.ReadStamp(try.Seal)
		if !try.Success() {
			if try.Seal != "" && (!genuine || stamp.Status != try.Status) {
				f.fault("%s: a failure of %d bears a stamp of %d", try.Attempt, try.Status, stamp.Status)
			}
			continue
		}
		switch {
		case !genuine:
			f.fault("%s: a success without an engine's stamp", try.Attempt)
		case try.Encoding != "" && try.Encoding != "identity":
			f.fault("%s: a success with an encoding", try.Attempt)
		case stamp.Attempt != try.Attempt:
			f.fault("%s: the stamp is of %s", try.Attempt, stamp.Attempt)
		case stamp.Status != try.Status:
			f.fault("%s: the engine answered %d, and %d came", try.Attempt, stamp.Status, try.Status)
		case stamp.Length >= 0 && (len(try.BodyOut) != stamp.Length || protocol.Digest(try.BodyOut) != stamp.Digest):
			f.fault("%s: the body is not the engine's whole body", try.Attempt)
		}
	}
	return f
}

func (b *bench) unasked() Finding {
	f := Finding{Rule: "UNASKED"}
	for _, arrival := range b.Arrivals {
		if !arrival.Ran() {
			continue
		}
		f.Checked++
		try := b.tries[arrival.Attempt]
		switch {
		case try == nil:
			f.fault("%s ran %q, which no client sent", arrival.Engine, arrival.Attempt)
		case arrival.Method != try.Method || arrival.URI != try.URI:
			f.fault("%s was sent as %s %s and ran as %s %s", try.Attempt, try.Method, try.URI, arrival.Method, arrival.URI)
		case arrival.BodyDigest != try.BodyDigest:
			f.fault("%s ran with another body", try.Attempt)
		case arrival.Prompt.WriteModel() != try.Prompt.WriteModel() || arrival.Prompt.WriteCounts() != try.Prompt.WriteCounts() || arrival.Prompt.WriteParts() != try.Prompt.WriteParts():
			f.fault("%s was sent as %+v and ran as %+v", try.Attempt, try.Prompt, arrival.Prompt)
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

func (b *bench) twice() Finding {
	f := Finding{Rule: "TWICE"}
	for _, try := range b.Tries {
		count, where := ran(b.arrivals[try.Attempt])
		if b.repeatable(try) || count == 0 {
			continue
		}
		f.Checked++
		if count > 1 {
			f.fault("%s ran at %v", try.Attempt, where)
		}
	}
	return f
}

func (b *bench) refused() Finding {
	f := Finding{Rule: "REFUSED"}
	for _, try := range b.Tries {
		if b.repeatable(try) || !try.Promise() {
			continue
		}
		f.Checked++
		if count, where := ran(b.arrivals[try.Attempt]); count > 0 {
			f.fault("%s was answered %d and ran at %v", try.Attempt, try.Status, where)
		}
	}
	return f
}

// unknownFew is how many answers that something is not known, or not allowed, machines out of touch may give.
const unknownFew = 10

func (b *bench) denied() Finding {
	f := Finding{Rule: "DENIED"}
	var denied, unknown []string
	for _, try := range b.Tries {
		if !try.Probe && !try.Absent {
			f.Checked++
		}
		if try.Probe || try.Absent || !own(try) || try.Promise() || try.Status < 300 || try.Status > 499 {
			continue
		}
		if !b.inTouch(try.Daemon, try.Ended) {
			if slices.Contains([]int{401, 403, 404}, try.Status) && b.alwaysAllowed(try) {
				unknown = append(unknown, fmt.Sprintf("%s was answered %d by %s, which was out of touch", try.Attempt, try.Status, try.Daemon))
			}
			continue
		}
		proper := true
		for _, version := range b.versions[b.due(try.Began, b.applyBound(try.Began)):] {
			if version.Began <= try.Ended && version.Whole.Find(try.Host, pathOf(try.URI)) == nil {
				proper = false
			}
		}
		if proper {
			denied = append(denied, fmt.Sprintf("%s was answered %d by %s", try.Attempt, try.Status, try.Daemon))
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
func (b *bench) alwaysAllowed(try *history.Try) bool {
	return !slices.ContainsFunc(b.versions, func(version *history.Change) bool { return version.Whole.Find(try.Host, pathOf(try.URI)) == nil })
}

func (b *bench) route() Finding {
	f := Finding{Rule: "ROUTE"}
	for _, arrival := range b.Arrivals {
		if !arrival.Ran() {
			continue
		}
		f.Checked++
		ever := func(list []*history.Change) bool {
			return slices.ContainsFunc(list, func(c *history.Change) bool { return allows(c.Whole, arrival.Host, arrival.URI, arrival.Service) })
		}
		if !ever(b.versions) && !ever(b.others) {
			f.fault("%s ran at %s of %s, which no configuration ever allowed", arrival.Attempt, arrival.Engine, arrival.Service)
		}
	}
	return f
}

func (b *bench) drain() Finding {
	f := Finding{Rule: "DRAIN"}
	for _, life := range b.Lives {
		if life.DrainAcked == 0 {
			continue
		}
		f.Checked++
		start := life.DrainAcked
		for _, trouble := range b.Troubles {
			// The time starts once the core is settled again.
			if trouble.Core && trouble.From <= start && (trouble.Until == 0 || trouble.Until+clock.Mark(b.bounds.Contact) > start) {
				if trouble.Until == 0 {
					start = b.Ended
				} else {
					start = trouble.Until + clock.Mark(b.bounds.Contact)
				}
			}
		}
		for _, arrival := range b.Arrivals {
			if arrival.Engine != life.Engine || arrival.Probe || arrival.Status == 421 || arrival.At <= start+clock.Mark(b.bounds.Drain) {
				continue
			}
			if try := b.tries[arrival.Attempt]; try != nil && b.inTouch(try.Daemon, arrival.At) {
				f.fault("%s reached %s from %s %v after its leaving was acknowledged", arrival.Attempt, arrival.Engine, try.Daemon, arrival.At.Since(life.DrainAcked).Round(time.Millisecond))
			}
		}
	}
	return f
}

// cut says that a request was read, and its connection closed with no complete answer, by the system's doing.
func (b *bench) cut(try *history.Try) bool {
	if !try.Connected || try.Sent == 0 || try.Ended == 0 || try.GaveUp || try.Status != 0 && try.Whole {
		return false
	}
	arrivals := b.arrivals[try.Attempt]
	if len(arrivals) == 0 && try.Ended <= try.Sent+clock.Mark(b.bounds.LossSlack) {
		return false
	}
	if b.broke(try.Attempt) || try.Ended.Since(try.Began) >= time.Duration(try.DeadlineMs)*time.Millisecond {
		return false
	}
	if b.timedOut(try) {
		return false
	}
	for _, arrival := range arrivals {
		if life := b.lives[arrival.Engine]; life != nil && life.Ended != 0 && life.Ended <= try.Ended {
			return false
		}
	}
	return true
}

// timedOut says that the route's own longest time was reached.
func (b *bench) timedOut(try *history.Try) bool {
	for _, version := range b.versions {
		if route := version.Whole.Find(try.Host, pathOf(try.URI)); route != nil && try.Ended.Since(try.Began) >= time.Duration(route.DeadlineMs)*time.Millisecond {
			return true
		}
	}
	return false
}

// excusedFor is until how long after a stop began a request may be sent whose engine may outlast the machine.
const excusedFor = 3 * time.Second

func (b *bench) lostPlanned() Finding {
	f := Finding{Rule: "LOST around planned work"}
	unplanned := func(try *history.Try) bool {
		return b.troubled(before(try.Began, b.bounds.Contact), try.Ended, func(t *history.Trouble) bool {
			return !t.Planned && (t.Machine == try.Daemon || t.Core || t.Kind == history.Closing || t.Kind == history.Link)
		})
	}
	for _, trouble := range b.Troubles {
		if !trouble.Planned || trouble.Kind != history.Stopped && trouble.Kind != history.Reload {
			continue
		}
		until := trouble.From + clock.Mark(b.bounds.Grace+time.Second)
		for _, try := range b.Tries {
			if try.Daemon != trouble.Machine || try.Ended < trouble.From || try.Ended > until || unplanned(try) {
				continue
			}
			if trouble.Kind == history.Reload && try.Began > trouble.From+clock.Mark(b.bounds.Apply) {
				continue
			}
			f.Checked++
			if !b.cut(try) {
				continue
			}
			if trouble.Kind == history.Stopped && try.Sent <= trouble.From+clock.Mark(excusedFor) && b.stillAt(try, trouble.From+clock.Mark(b.bounds.Grace/2)) {
				continue
			}
			f.fault("%s at %s was cut around its %s", try.Attempt, try.Daemon, trouble.Kind)
		}
	}
	b.lostOverChanges(&f, unplanned)
	return f
}

// stillAt says whether an engine was still at work on it then.
func (b *bench) stillAt(try *history.Try, at clock.Mark) bool {
	return slices.ContainsFunc(b.arrivals[try.Attempt], func(a *history.Arrival) bool { return a.At <= at && (a.Ended == 0 || a.Ended > at) })
}

// lostOverChanges compares the time around changes of the configuration with the rest, machine by machine.
func (b *bench) lostOverChanges(f *Finding, unplanned func(*history.Try) bool) {
	near := func(try *history.Try) bool {
		for _, version := range b.versions {
			end := version.Answered
			if end == 0 {
				end = version.Began
			}
			if try.Ended >= version.Began && try.Ended <= end+clock.Mark(b.bounds.Apply+time.Second) {
				return true
			}
		}
		return false
	}
	type tally struct{ cut, all int }
	machines := map[string]*[2]tally{}
	for _, try := range b.Tries {
		if try.Ended == 0 || try.Daemon == "" || unplanned(try) || float64(try.Ended.Since(try.Began)) > 0.7*float64(try.DeadlineMs)*float64(time.Millisecond) {
			continue
		}
		count := machines[try.Daemon]
		if count == nil {
			count = &[2]tally{}
			machines[try.Daemon] = count
		}
		place := 1
		if near(try) {
			place = 0
		}
		count[place].all++
		if b.cut(try) {
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
			f.fault("%s cut %d of %d requests around changes of the configuration, and %d of %d at other times", machine, count[0].cut, count[0].all, count[1].cut, count[1].all)
		}
	}
	slices.Sort(f.Violations)
}

func (b *bench) budget() Finding {
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
	for _, try := range b.Tries {
		if try.Sent == 0 {
			continue
		}
		services := map[string]bool{}
		for _, version := range b.versions {
			if route := version.Whole.Find(try.Host, pathOf(try.URI)); route != nil {
				for _, service := range route.Services() {
					services[service] = true
				}
			}
		}
		for service := range services {
			asked[service] = append(asked[service], try.Began)
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
				f.fault("%s got %d further arrivals within %v for %d requests", service, more, b.bounds.RetryWindow, requests)
				break
			}
		}
	}
	slices.Sort(f.Violations)
	return f
}

func (b *bench) order() Finding {
	f := Finding{Rule: "ORDER"}
	for _, try := range b.Tries {
		if try.Class != protocol.Streaming || try.Status < 200 || try.Status > 299 {
			continue
		}
		f.Checked++
		if fault := b.streamFault(try); fault != "" {
			f.fault("%s: %s", try.Attempt, fault)
		}
	}
	return f
}

func (b *bench) streamFault(try *history.Try) string {
	place := 0
	if try.LastEvent != "" {
		place, _ = strconv.Atoi(try.LastEvent)
	}
	run, of := "", 0
	for _, event := range try.Events {
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
			went := slices.ContainsFunc(b.arrivals[try.Attempt], func(a *history.Arrival) bool { return a.Run == in && a.LastEvent == strconv.Itoa(place) })
			if !b.repeatable(try) || !went {
				return fmt.Sprintf("pieces of %s and %s are joined", run, in)
			}
		}
		run, of, place = in, all, at
	}
	// One that is taken up behind the last event has nothing left to come.
	nothingLeft := len(try.Events) == 0 && try.LastEvent != ""
	if try.Whole && !nothingLeft && (place != of || len(try.Events) == 0) {
		return fmt.Sprintf("it ends as complete after event %d of %d", place, of)
	}
	return ""
}
