package checker

import (
	"slices"
	"strings"
	"time"
)

// Recovery is, for each crash, the time until a request that began after it got a complete answer.
func Recovery(h *History) []time.Duration {
	var out []time.Duration
	for _, action := range h.Actions {
		if action.Kind != Crashed && action.Kind != EngineKilled {
			continue
		}
		best := time.Duration(-1)
		for _, call := range h.Calls {
			if call.Began >= action.At && call.Complete() && (best < 0 || call.End-action.At < best) {
				best = call.End - action.At
			}
		}
		out = append(out, best)
	}
	return out
}

func recovery(h *History) Finding {
	f := Finding{Rule: "service is back within 12 s of a crash"}
	for i, took := range Recovery(h) {
		f.Checked++
		if took < 0 || took > recoverLimit {
			f.fault("crash %d: back after %v", i+1, took.Round(time.Millisecond))
		}
	}
	// The control group must recover too: a change requested right after its leader died is acknowledged in time.
	for i, action := range h.Actions {
		if action.Kind != Crashed || !strings.HasPrefix(action.Subject, "core") {
			continue
		}
		for _, later := range h.Actions[i:] {
			if slices.Contains([]string{Rolled, Committed, ZoneClosing, ZoneClosed, ZoneOpened}, later.Kind) {
				f.Checked++
				if later.At-action.At > recoverLimit {
					f.fault("the group acknowledged nothing for %v after %s died", (later.At - action.At).Round(time.Millisecond), action.Subject)
				}
				break
			}
		}
	}
	return f
}
