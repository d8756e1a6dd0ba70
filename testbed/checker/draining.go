package checker

import (
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
)

func drained(h *History) Finding {
	f := Finding{Rule: "nothing to a draining engine after 3 s"}
	for _, action := range h.Actions {
		if action.Kind != EngineDraining {
			continue
		}
		f.Checked++
		// Another engine in its place is not draining.
		replaced := never
		for _, later := range h.Actions {
			if later.Kind == EngineStarted && later.Subject == action.Subject && later.At > action.At {
				replaced = min(replaced, later.At)
			}
		}
		for _, entry := range h.Journals {
			if entry.Kind == journal.Arrive && entry.Engine == action.Subject && entry.At > action.At+drainLimit && entry.At < replaced {
				f.fault("%s reached %s %v after it was leaving", entry.Attempt, entry.Engine, (entry.At - action.At).Round(time.Millisecond))
			}
		}
	}
	return f
}

func zoneClosed(h *History) Finding {
	f := Finding{Rule: "nothing to a closed zone after 5 s"}
	for i, action := range h.Actions {
		if action.Kind != ZoneClosed {
			continue
		}
		opened := h.next(i, ZoneOpened, action.Subject)
		f.Checked++
		for _, entry := range h.Journals {
			if entry.Kind == journal.Arrive && h.ZoneOf[entry.Engine] == action.Subject && entry.At > action.At+closureLimit && entry.At < opened {
				f.fault("%s reached %s %v after its zone %s was closed", entry.Attempt, entry.Engine, (entry.At - action.At).Round(time.Millisecond), action.Subject)
			}
		}
	}
	return f
}
