package checker

import (
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
)

func drained(h *History) Finding {
	f := Finding{Rule: "nothing to a draining engine after 3 s"}
	for _, act := range h.Acts {
		if act.Kind != EngineLeaving {
			continue
		}
		f.Checked++
		// Another engine in its place is not leaving.
		replaced := never
		for _, later := range h.Acts {
			if later.Kind == EngineStarted && later.Subject == act.Subject && later.At > act.At {
				replaced = min(replaced, later.At)
			}
		}
		for _, line := range h.Journals {
			if line.Kind == journal.Arrive && line.Engine == act.Subject && line.At > act.At+drainLimit && line.At < replaced {
				f.fault("%s reached %s %v after it was leaving", line.Attempt, line.Engine, (line.At - act.At).Round(time.Millisecond))
			}
		}
	}
	return f
}

func zoneClosed(h *History) Finding {
	f := Finding{Rule: "nothing to a closed zone after 5 s"}
	for i, act := range h.Acts {
		if act.Kind != ZoneClosed {
			continue
		}
		opened := h.next(i, ZoneOpened, act.Subject)
		f.Checked++
		for _, line := range h.Journals {
			if line.Kind == journal.Arrive && h.ZoneOf[line.Engine] == act.Subject && line.At > act.At+closureLimit && line.At < opened {
				f.fault("%s reached %s %v after its zone %s was closed", line.Attempt, line.Engine, (line.At - act.At).Round(time.Millisecond), act.Subject)
			}
		}
	}
	return f
}
