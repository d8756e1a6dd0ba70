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

// pieceFaults counts the pieces that callers got, and finds the faults in them that count.
func pieceFaults(h *History, rule string, counts func(fault string) bool) Finding {
	f := Finding{Rule: rule}
	for _, call := range h.Calls {
		f.Checked += call.Pieces
		for _, fault := range call.Faults {
			if counts(fault) {
				f.fault("%s: %s", call.Attempt, fault)
			}
		}
	}
	return f
}

// isForeign says whether a fault of a piece is that it belongs to another's answer.
func isForeign(fault string) bool { return strings.HasPrefix(fault, "foreign") }

func wholeOnly(h *History) Finding {
	f := Finding{Rule: "no cut-off answer looks whole"}
	ends := map[string]int{}
	for _, line := range h.Journals {
		if line.Kind == journal.End {
			ends[line.Run] = line.Pieces
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
		case call.Final && ends[call.Run] != call.Pieces:
			f.fault("%s: %d pieces came, and the engine made %d", call.Attempt, call.Pieces, ends[call.Run])
		}
	}
	return f
}

func oneRun(h *History) Finding {
	return pieceFaults(h, "no stream skips, repeats or splices", func(fault string) bool { return !isForeign(fault) })
}

func plannedStops(h *History, begins map[string][]journal.Line) Finding {
	f := Finding{Rule: "no read request is dropped in a planned stop"}
	for i, act := range h.Acts {
		if act.Kind != StopAsked {
			continue
		}
		stopped := h.next(i, Stopped, act.Subject)
		for _, call := range h.Calls {
			// Those that were in hand at some time between the signal to stop and the end.
			if call.Daemon != act.Subject || call.End < act.At || call.Began > stopped || !call.Sent || call.GaveUp {
				continue
			}
			f.Checked++
			answered := call.Status != 0 && (call.Whole() || call.Outcome == callerapi.Refused || call.Outcome == callerapi.Invalid || call.Outcome == callerapi.Replay)
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
	for _, line := range h.Journals {
		if line.Kind != journal.Begin || line.Session == "" {
			continue
		}
		before, known := last[line.Session]
		last[line.Session] = line
		if !known {
			continue
		}
		f.Checked++
		if before.Engine != line.Engine && !h.assignmentLost(before, line) {
			f.fault("session %s moved from %s to %s without need", line.Session, before.Engine, line.Engine)
		}
	}
	return f
}

// assignmentLost says whether the engine that a session left was dead, leaving or closed, or doubted after a crash, since it was last used.
func (h *History) assignmentLost(before, now journal.Line) bool {
	if h.split(before.At, now.At) {
		return true
	}
	for _, act := range h.Acts {
		began := act.At
		if act.Asked > 0 {
			began = act.Asked
		}
		if began > now.At {
			continue
		}
		switch act.Kind {
		case EngineKilled, EngineLeaving:
			if act.Subject == before.Engine && (act.At >= before.At || act.Kind == EngineLeaving) {
				return true
			}
		case ZoneClosing, ZoneClosed:
			if act.Subject == h.ZoneOf[before.Engine] {
				return true
			}
		}
	}
	return false
}
