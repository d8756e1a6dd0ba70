// Package checker judges a run by its history: what the engines wrote down, what the callers saw,
// and what was done to the fleet. Each rule counts what it checked; a rule that checked nothing fails.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
)

// Finding is the outcome of one rule.
type Finding struct {
	Rule       string
	Checked    int
	Violations []string
}

// OK says whether the rule was checked and not violated.
func (f Finding) OK() bool { return f.Checked > 0 && len(f.Violations) == 0 }

const (
	specLimit    = 2 * time.Second
	drainLimit   = 3 * time.Second
	closureLimit = 5 * time.Second
	recoverLimit = 12 * time.Second
	// quickTurn is how soon after another claim's order an order would be a quick turn.
	quickTurn = 2 * time.Second
)

// Check runs all rules.
func Check(h *History) []Finding {
	slices.SortStableFunc(h.Journals, func(a, b journal.Line) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(h.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	begins := map[string][]journal.Line{}
	for _, entry := range h.Journals {
		if entry.Kind == journal.Begin {
			begins[entry.Attempt] = append(begins[entry.Attempt], entry)
		}
	}
	return []Finding{
		onceOnly(h, begins), refusedNeverRuns(h, begins), ownAnswers(h), wholeOnly(h), oneRun(h), allowedOnly(h),
		specInForce(h), neverOlder(h), readBack(h), drained(h), zoneClosed(h), plannedStops(h, begins),
		oneCommander(h), withinRoom(h), storePace(h), retryShare(h), coldEngines(h), recovery(h), assignmentsKept(h), stampsUnique(h), noFlapping(h), worthFirst(h), noTenantFavoured(h),
	}
}

func (f *Finding) fault(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}
