package checker

import (
	"strings"

	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/callerapi"
)

func onceOnly(h *History, begins map[string][]journal.Line) Finding {
	f := Finding{Rule: "an unrepeatable request never runs twice"}
	seen := map[string]bool{}
	for _, call := range h.Calls {
		if call.Request.Repeatable || len(begins[call.Attempt]) == 0 || seen[call.Attempt] {
			continue
		}
		seen[call.Attempt] = true
		f.Checked++
		if n := len(begins[call.Attempt]); n > 1 {
			f.fault("%s ran %d times", call.Attempt, n)
		}
	}
	return f
}

func refusedNeverRuns(h *History, begins map[string][]journal.Line) Finding {
	f := Finding{Rule: "a refused request never runs"}
	for _, call := range h.Calls {
		if call.Outcome != callerapi.Refused && call.Outcome != callerapi.Invalid {
			continue
		}
		f.Checked++
		if len(begins[call.Attempt]) > 0 {
			f.fault("%s was refused (%s) and ran at %s", call.Attempt, call.Reason, begins[call.Attempt][0].Engine)
		}
	}
	return f
}

func ownAnswers(h *History) Finding {
	return pieceFaults(h, "no caller gets another's answer", isForeign)
}

// pieceFaults counts the chunks that callers got, and finds the faults in them that count.
func pieceFaults(h *History, rule string, counts func(fault string) bool) Finding {
	f := Finding{Rule: rule}
	for _, call := range h.Calls {
		f.Checked += call.Chunks
		for _, fault := range call.Faults {
			if counts(fault) {
				f.fault("%s: %s", call.Attempt, fault)
			}
		}
	}
	return f
}

// isForeign says whether a faulty chunk belongs to another caller's answer.
func isForeign(fault string) bool { return strings.HasPrefix(fault, "foreign") }

func wholeOnly(h *History) Finding {
	f := Finding{Rule: "no cut-off answer looks whole"}
	ends := map[string]int{}
	for _, entry := range h.Journals {
		if entry.Kind == journal.End {
			ends[entry.Run] = entry.Chunks
		}
	}
	for _, call := range h.Calls {
		if call.Status != 200 {
			continue
		}
		f.Checked++
		switch {
		case call.Final != call.CleanEnd:
			f.fault("%s: final line %t, clean end %t", call.Attempt, call.Final, call.CleanEnd)
		case call.Final && ends[call.Run] != call.Chunks:
			f.fault("%s: %d pieces came, and the engine made %d", call.Attempt, call.Chunks, ends[call.Run])
		}
	}
	return f
}

func oneRun(h *History) Finding {
	return pieceFaults(h, "no stream skips, repeats or splices", func(fault string) bool { return !isForeign(fault) })
}

func plannedStops(h *History, begins map[string][]journal.Line) Finding {
	f := Finding{Rule: "no read request is dropped in a planned stop"}
	for i, action := range h.Actions {
		if action.Kind != StopRequested {
			continue
		}
		stopped := h.next(i, Stopped, action.Subject)
		for _, call := range h.Calls {
			// Those that were in hand at some time between the signal to stop and the end.
			if call.Daemon != action.Subject || call.End < action.At || call.Began > stopped || !call.Sent || call.GaveUp {
				continue
			}
			f.Checked++
			answered := call.Status != 0 && (call.Complete() || call.Outcome == callerapi.Refused || call.Outcome == callerapi.Invalid || call.Outcome == callerapi.Replay)
			// One that was never read shows no answer and no run; one whose engine failed is answered accordingly.
			unread := call.Status == 0 && len(begins[call.Attempt]) == 0
			engineFailed := call.Outcome == callerapi.Unknown || call.Outcome == callerapi.BrokenOff
			if !answered && !unread && !engineFailed {
				f.fault("%s at %s: status %d, final %t", call.Attempt, call.Daemon, call.Status, call.Final)
			}
		}
	}
	for _, exit := range h.Exits {
		f.Checked++
		if exit.Code != 0 {
			f.fault("%s was asked to stop and ended with %d", exit.Daemon, exit.Code)
		}
	}
	return f
}

func assignmentsKept(h *History) Finding {
	f := Finding{Rule: "a seated session keeps its engine while it may"}
	last := map[string]journal.Line{}
	for _, entry := range h.Journals {
		if entry.Kind != journal.Begin || entry.Session == "" {
			continue
		}
		before, known := last[entry.Session]
		last[entry.Session] = entry
		if !known {
			continue
		}
		f.Checked++
		if before.Engine != entry.Engine && !h.assignmentLost(before, entry) {
			f.fault("session %s moved from %s to %s without need", entry.Session, before.Engine, entry.Engine)
		}
	}
	return f
}

// assignmentLost says whether the engine that a session left was down, draining or closed, or suspect after a crash, since it was last used.
func (h *History) assignmentLost(before, now journal.Line) bool {
	if h.split(before.At, now.At) {
		return true
	}
	for _, action := range h.Actions {
		began := action.At
		if action.RequestedAt > 0 {
			began = action.RequestedAt
		}
		if began > now.At {
			continue
		}
		switch action.Kind {
		case EngineKilled, EngineDraining:
			if action.Subject == before.Engine && (action.At >= before.At || action.Kind == EngineDraining) {
				return true
			}
		case ZoneClosing, ZoneClosed:
			if action.Subject == h.ZoneOf[before.Engine] {
				return true
			}
		}
	}
	return false
}
