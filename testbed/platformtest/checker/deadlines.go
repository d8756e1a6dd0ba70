package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

const (
	// deadlineSlack is by how much a deadline may be missed, or forwarded too long.
	deadlineSlack = 500 * time.Millisecond
	// deadlinesFew is how many deadlines may be forwarded wrongly, attemptsFew how many attempts may run on too many
	// engines, finalFew how many requests may lack their final answer.
	deadlinesFew, attemptsFew, finalFew = 20, 3, 8
)

// milliseconds converts a count of milliseconds.
func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// deadlines checks the deadlines that engines get against the time that is left to the client.
func (b *index) deadlines() Finding {
	f := Finding{Rule: "BUDGET deadlines"}
	var wrong []string
	late := 0
	for _, attempt := range b.Attempts {
		arrivals := b.arrivals[attempt.AttemptID]
		for i, arrival := range arrivals {
			if !b.inContact(attempt.Daemon, arrival.At) {
				continue
			}
			f.Checked++
			given := milliseconds(arrival.DeadlineMs)
			own := attempt.Began + clock.Mark(milliseconds(attempt.DeadlineMs))
			first := arrivals[0].At + clock.Mark(milliseconds(arrivals[0].DeadlineMs))
			again := i > 0 && arrival.At.Since(arrivals[0].At) > deadlineSlack
			switch {
			case arrival.DeadlineMs <= 0:
				wrong = append(wrong, fmt.Sprintf("%s reached %s with no deadline", attempt.AttemptID, arrival.Engine))
			case attempt.DeadlineMs > 0 && given > milliseconds(attempt.DeadlineMs)+deadlineSlack:
				wrong = append(wrong, fmt.Sprintf("%s reached %s with %v, and its client gave %v", attempt.AttemptID, arrival.Engine, given, milliseconds(attempt.DeadlineMs)))
			case again && arrival.At+clock.Mark(given) > max(own, first)+clock.Mark(deadlineSlack):
				wrong = append(wrong, fmt.Sprintf("%s was sent once more to %s with %v, %v after the first", attempt.AttemptID, arrival.Engine, given, arrival.At.Since(arrivals[0].At)))
			case again:
				late++
			}
		}
	}
	if len(wrong) > deadlinesFew && 5*len(wrong) > len(wrong)+late {
		f.Violations = wrong
	}
	return f
}

// maxAttempts is the largest number of engines that any version allows for a request.
func (b *index) maxAttempts(attempt *history.Attempt) (most int) {
	for _, version := range b.versions {
		if route := version.Config.Find(attempt.Host, pathOf(attempt.URI)); route != nil {
			most = max(most, route.Tries)
		}
	}
	return most
}

// engineAttempts checks the number of engines that one attempt ran on against its route's limit.
func (b *index) engineAttempts() Finding {
	f := Finding{Rule: "BUDGET tries"}
	var over []string
	for _, attempt := range b.Attempts {
		var engines []string
		for _, arrival := range b.arrivals[attempt.AttemptID] {
			incarnation := b.incarnations[arrival.Engine]
			if arrival.Ran() && (incarnation == nil || incarnation.Ended == 0 || incarnation.Ended > attempt.Ended) && !slices.Contains(engines, arrival.Engine) {
				engines = append(engines, arrival.Engine)
			}
		}
		most := b.maxAttempts(attempt)
		if most == 0 || len(engines) == 0 {
			continue
		}
		f.Checked++
		if len(engines) > most {
			over = append(over, fmt.Sprintf("%s ran on %v, where %d are allowed", attempt.AttemptID, engines, most))
		}
	}
	if len(over) > attemptsFew {
		f.Violations = over
	}
	return f
}

// dueBy is when a request must have its answer by the configurations that may be in force; zero is never.
func (b *index) dueBy(attempt *history.Attempt) clock.Mark {
	longest := int64(0)
	for _, version := range b.versions {
		if route := version.Config.Find(attempt.Host, pathOf(attempt.URI)); route != nil {
			longest = max(longest, route.DeadlineMs)
		}
	}
	if longest == 0 {
		return 0
	}
	return attempt.Began + clock.Mark(milliseconds(longest))
}

// finalAnswers checks that requests have an answer, or its end, by the deadline of their route.
func (b *index) finalAnswers() Finding {
	f := Finding{Rule: "CONFIG final answer"}
	var unanswered, unended []string
	waiting, lasting := 0, 0
	for _, attempt := range b.Attempts {
		due := b.dueBy(attempt)
		limit := due + clock.Mark(deadlineSlack)
		if due == 0 || attempt.Sent == 0 || limit > b.Ended || attempt.Ended != 0 && attempt.Ended <= due || attempt.ClosedAt != 0 && attempt.ClosedAt <= limit || !b.inContact(attempt.Daemon, limit) {
			continue
		}
		f.Checked++
		if attempt.First == 0 || attempt.First > due {
			waiting++
			if attempt.First == 0 || attempt.First > limit {
				unanswered = append(unanswered, fmt.Sprintf("%s had no answer from %s %v after its route's deadline", attempt.AttemptID, attempt.Daemon, deadlineSlack))
			}
		}
		lasting++
		if attempt.Ended == 0 || attempt.Ended > limit {
			unended = append(unended, fmt.Sprintf("%s had no final answer from %s %v after its route's deadline", attempt.AttemptID, attempt.Daemon, deadlineSlack))
		}
	}
	if 2*len(unanswered) > waiting {
		f.Violations = append(f.Violations, unanswered...)
	}
	if len(unended) >= finalFew && 4*len(unended) > lasting {
		f.Violations = append(f.Violations, unended...)
	}
	return f
}
