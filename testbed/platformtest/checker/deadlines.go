package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

const (
	// deadlineSlack is by how much a deadline may be missed, or told too long.
	deadlineSlack = 500 * time.Millisecond
	// deadlinesFew is how many deadlines may be told wrongly, triesFew how many tries may run on too many engines,
	// finalFew how many requests may lack their final answer.
	deadlinesFew, triesFew, finalFew = 20, 3, 8
)

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// deadlines holds the time that engines are handed against what is left to the client.
func (b *bench) deadlines() Finding {
	f := Finding{Rule: "BUDGET deadlines"}
	var wrong []string
	late := 0
	for _, try := range b.Tries {
		arrivals := b.arrivals[try.Attempt]
		for place, arrival := range arrivals {
			if !b.inTouch(try.Daemon, arrival.At) {
				continue
			}
			f.Checked++
			told := milliseconds(arrival.DeadlineMs)
			own := try.Began + clock.Mark(milliseconds(try.DeadlineMs))
			first := arrivals[0].At + clock.Mark(milliseconds(arrivals[0].DeadlineMs))
			again := place > 0 && arrival.At.Since(arrivals[0].At) > deadlineSlack
			switch {
			case arrival.DeadlineMs <= 0:
				wrong = append(wrong, fmt.Sprintf("%s reached %s with no deadline", try.Attempt, arrival.Engine))
			case try.DeadlineMs > 0 && told > milliseconds(try.DeadlineMs)+deadlineSlack:
				wrong = append(wrong, fmt.Sprintf("%s reached %s with %v, and its client gave %v", try.Attempt, arrival.Engine, told, milliseconds(try.DeadlineMs)))
			case again && arrival.At+clock.Mark(told) > max(own, first)+clock.Mark(deadlineSlack):
				wrong = append(wrong, fmt.Sprintf("%s was sent once more to %s with %v, %v after the first", try.Attempt, arrival.Engine, told, arrival.At.Since(arrivals[0].At)))
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

// triesOf is the largest number of engines that any version allows for a request.
func (b *bench) triesOf(try *history.Try) (most int) {
	for _, version := range b.versions {
		if route := version.Whole.Find(try.Host, pathOf(try.URI)); route != nil {
			most = max(most, route.Tries)
		}
	}
	return most
}

// engineTries holds the engines that one try ran on against what its route allows.
func (b *bench) engineTries() Finding {
	f := Finding{Rule: "BUDGET tries"}
	var over []string
	for _, try := range b.Tries {
		var engines []string
		for _, arrival := range b.arrivals[try.Attempt] {
			life := b.lives[arrival.Engine]
			if arrival.Ran() && (life == nil || life.Ended == 0 || life.Ended > try.Ended) && !slices.Contains(engines, arrival.Engine) {
				engines = append(engines, arrival.Engine)
			}
		}
		most := b.triesOf(try)
		if most == 0 || len(engines) == 0 {
			continue
		}
		f.Checked++
		if len(engines) > most {
			over = append(over, fmt.Sprintf("%s ran on %v, where %d are allowed", try.Attempt, engines, most))
		}
	}
	if len(over) > triesFew {
		f.Violations = over
	}
	return f
}

// due is when a request must have its answer by the configurations that may be in force; zero is never.
func (b *bench) dueBy(try *history.Try) clock.Mark {
	longest := int64(0)
	for _, version := range b.versions {
		if route := version.Whole.Find(try.Host, pathOf(try.URI)); route != nil {
			longest = max(longest, route.DeadlineMs)
		}
	}
	if longest == 0 {
		return 0
	}
	return try.Began + clock.Mark(milliseconds(longest))
}

// finalAnswers holds requests to the deadline of their route: then they have their answer, or their last one.
func (b *bench) finalAnswers() Finding {
	f := Finding{Rule: "CONFIG final answer"}
	var unanswered, unended []string
	waiting, lasting := 0, 0
	for _, try := range b.Tries {
		due := b.dueBy(try)
		limit := due + clock.Mark(deadlineSlack)
		if due == 0 || try.Sent == 0 || limit > b.Ended || try.Ended != 0 && try.Ended <= due || try.LeftAt != 0 && try.LeftAt <= limit || !b.inTouch(try.Daemon, limit) {
			continue
		}
		f.Checked++
		if try.First == 0 || try.First > due {
			waiting++
			if try.First == 0 || try.First > limit {
				unanswered = append(unanswered, fmt.Sprintf("%s had no answer from %s %v after its route's deadline", try.Attempt, try.Daemon, deadlineSlack))
			}
		}
		lasting++
		if try.Ended == 0 || try.Ended > limit {
			unended = append(unended, fmt.Sprintf("%s had no final answer from %s %v after its route's deadline", try.Attempt, try.Daemon, deadlineSlack))
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
