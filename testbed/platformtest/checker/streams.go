package checker

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// streamOrder checks that the events of a stream are complete and in order, and from one execution unless it was resumed.
func (b *index) streamOrder() Finding {
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

// streamFault says what is wrong with the events of a stream; empty is nothing.
func (b *index) streamFault(attempt *history.Attempt) string {
	i := 0
	if attempt.LastEvent != "" {
		i, _ = strconv.Atoi(attempt.LastEvent)
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
		if at != i+1 {
			return fmt.Sprintf("event %d where %d was due", at, i+1)
		}
		if run != "" && in != run {
			went := slices.ContainsFunc(b.arrivals[attempt.AttemptID], func(a *history.Arrival) bool { return a.Run == in && a.LastEvent == strconv.Itoa(i) })
			if !b.idempotent(attempt) || !went {
				return fmt.Sprintf("events of %s and %s are mixed", run, in)
			}
		}
		run, of, i = in, all, at
	}
	// A stream that is resumed after its last event has no events left.
	nothingLeft := len(attempt.Events) == 0 && attempt.LastEvent != ""
	if attempt.Complete && !nothingLeft && (i != of || len(attempt.Events) == 0) {
		return fmt.Sprintf("it ends as complete after event %d of %d", i, of)
	}
	return ""
}
