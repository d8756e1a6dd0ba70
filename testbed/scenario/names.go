package scenario

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

// namedScenario is one named scenario. Not every scenario makes every failure; the rules that it gives nothing
// to check for are named here, so that an empty rule elsewhere still fails.
type namedScenario struct {
	run       func(*Run, context.Context, float64) (map[string]uint64, error)
	unchecked []string
}

const (
	noDrain      = "nothing to a draining engine after 3 s"
	noClosure    = "nothing to a closed zone after 5 s"
	noPriorities = "in a contest the higher worth is served first"
	noTenants    = "in a contest no house's burst takes a rival's room"
)

var scenarios = map[string]namedScenario{
	"day":     {run: (*Run).Day, unchecked: []string{noPriorities, noTenants}},
	"loss":    {run: (*Run).Loss, unchecked: []string{noDrain, noPriorities, noTenants}},
	"rolling": {run: (*Run).Rolling, unchecked: []string{noClosure, noPriorities, noTenants}},
	"splits":  {run: (*Run).Splits, unchecked: []string{noDrain, noPriorities, noTenants}},
	"growth":  {run: (*Run).Growth, unchecked: []string{noDrain, noClosure, noPriorities, noTenants}},
	// The Cooperativa is one tenant, so its market has no rival.
	"market":   {run: (*Run).Market, unchecked: []string{noDrain, noClosure, noTenants}},
	"leaving":  {run: (*Run).Leaving, unchecked: []string{noClosure, noPriorities, noTenants}},
	"storms":   {run: (*Run).Storms, unchecked: []string{noDrain, noClosure, noPriorities, noTenants}},
	"planners": {run: (*Run).Planners, unchecked: []string{noDrain, noClosure, noPriorities, noTenants}},
	"behind":   {run: (*Run).Behind, unchecked: []string{noDrain, noPriorities, noTenants}},
	"resend":   {run: (*Run).Resend, unchecked: []string{noDrain, noClosure, noPriorities, noTenants}},
	"freezes":  {run: (*Run).Freezes, unchecked: []string{noDrain, noPriorities, noTenants}},
}

// Names lists the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Unchecked lists the rules that a scenario does not check.
func Unchecked(name string) map[string]bool {
	out := map[string]bool{}
	for _, rule := range scenarios[name].unchecked {
		out[rule] = true
	}
	return out
}

// Play runs a scenario by name.
func (r *Run) Play(ctx context.Context, name string, scale float64) (map[string]uint64, error) {
	chosenPlay, known := scenarios[name]
	if !known {
		return nil, fmt.Errorf("there is no scenario %s", name)
	}
	return chosenPlay.run(r, ctx, scale)
}
