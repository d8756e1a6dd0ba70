package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

const (
	// goneWithin is how long after a client has left something may still be done for it, and goneFew how many of its
	// requests may reach an engine later all the same.
	goneWithin = 500 * time.Millisecond
	goneFew    = 3
)

// gone holds what is done for clients that have left against the rule.
func (b *bench) gone() Finding {
	f := Finding{Rule: "GONE"}
	var sent, atWork []string
	lasting := 0
	for _, try := range b.Tries {
		limit := try.LeftAt + clock.Mark(goneWithin)
		if try.LeftAt == 0 || limit > b.Ended || !b.inTouch(try.Daemon, limit) || b.linksTroubled(try.LeftAt, limit) {
			continue
		}
		f.Checked++
		for _, arrival := range b.arrivals[try.Attempt] {
			switch {
			case arrival.At > limit:
				sent = append(sent, fmt.Sprintf("%s reached %s %v after its client had left", try.Attempt, arrival.Engine, arrival.At.Since(try.LeftAt).Round(time.Millisecond)))
			case !arrival.Ran() || !b.repeatable(try) && try.Class != protocol.Streaming:
			case arrival.Ended == 0 || arrival.Ended > limit:
				lasting++
				atWork = append(atWork, fmt.Sprintf("%s was at work on %s %v after its client had left", arrival.Engine, try.Attempt, goneWithin))
			case arrival.Left:
				// Its work was ended in time; it may have lasted for so long.
				lasting++
			}
		}
	}
	if len(sent) > goneFew {
		f.Violations = append(f.Violations, sent...)
	}
	if 4*len(atWork) > lasting {
		f.Violations = append(f.Violations, atWork...)
	}
	return f
}

// linksTroubled says whether links or engines were in trouble in the time of contact before a span, and in it.
func (b *bench) linksTroubled(from, to clock.Mark) bool {
	return b.troubled(before(from, b.bounds.Contact), to, func(t *history.Trouble) bool { return t.Kind == history.Link })
}

// unreadyWithin is how soon after a planned stop begins a machine must count as not ready.
const unreadyWithin = 4 * time.Second

// unready holds machines that are stopped to the rule that they count as not ready soon.
func (b *bench) unready() Finding {
	f := Finding{Rule: "DRAIN readiness"}
	var still []string
	for _, trouble := range b.Troubles {
		if trouble.Kind != history.Stopped || !trouble.Planned || !slices.Contains(b.Edges, trouble.Machine) || !b.counted(trouble.Machine, 0, trouble.From, true) {
			continue
		}
		f.Checked++
		if until := trouble.From + clock.Mark(unreadyWithin); until <= b.Ended && !b.counted(trouble.Machine, trouble.From, until, false) {
			still = append(still, fmt.Sprintf("%s still counted as ready %v after it was told to stop", trouble.Machine, unreadyWithin))
		}
	}
	if len(still) >= 2 && 4*len(still) > f.Checked {
		f.Violations = still
	}
	return f
}

// counted says whether a machine counted as ready, or as not ready, at some moment of a span: it does so from an
// answer that it is, or from two in a row that it is not. Ready counts only at the end of the span.
func (b *bench) counted(machine string, from, to clock.Mark, ready bool) bool {
	missed, in := 0, false
	for _, look := range b.Looks {
		if look.Machine != machine || look.At < from || look.At > to {
			continue
		}
		if missed++; look.Ready {
			missed, in = 0, true
		}
		if missed >= 2 {
			if in = false; !ready {
				return true
			}
		}
	}
	return ready && in
}
