package scenario

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

// play is one named scenario. Not every scenario makes every failure; the rules that it gives nothing
// to check for are named here, so that an empty rule elsewhere still fails.
type play struct {
	run       func(*Run, context.Context, float64) (map[string]uint64, error)
	unchecked []string
}

const (
	noDrain   = "nothing to a draining engine after 3 s"
	noClosure = "nothing to a closed zone after 5 s"
	noBids    = "in a contest the higher worth is served first"
	noHouses  = "in a contest no house's burst takes a rival's room"
)

var plays = map[string]play{
	"day":     {run: (*Run).Day, unchecked: []string{noBids, noHouses}},
	"loss":    {run: (*Run).Loss, unchecked: []string{noDrain, noBids, noHouses}},
	"rolling": {run: (*Run).Rolling, unchecked: []string{noClosure, noBids, noHouses}},
	"splits":  {run: (*Run).Splits, unchecked: []string{noDrain, noBids, noHouses}},
	"growth":  {run: (*Run).Growth, unchecked: []string{noDrain, noClosure, noBids, noHouses}},
	// The Cooperativa is one house, so its market has no rival.
	"market":   {run: (*Run).Market, unchecked: []string{noDrain, noClosure, noHouses}},
	"leaving":  {run: (*Run).Leaving, unchecked: []string{noClosure, noBids, noHouses}},
	"storms":   {run: (*Run).Storms, unchecked: []string{noDrain, noClosure, noBids, noHouses}},
	"planners": {run: (*Run).Planners, unchecked: []string{noDrain, noClosure, noBids, noHouses}},
	"behind":   {run: (*Run).Behind, unchecked: []string{noDrain, noBids, noHouses}},
	"resend":   {run: (*Run).Resend, unchecked: []string{noDrain, noClosure, noBids, noHouses}},
	"freezes":  {run: (*Run).Freezes, unchecked: []string{noDrain, noBids, noHouses}},
}

// Names lists the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(plays)) }

// Unchecked lists the rules that a scenario does not check.
func Unchecked(name string) map[string]bool {
	out := map[string]bool{}
	for _, rule := range plays[name].unchecked {
		out[rule] = true
	}
	return out
}

// Play runs a scenario by name.
func (r *Run) Play(ctx context.Context, name string, scale float64) (map[string]uint64, error) {
	chosenPlay, known := plays[name]
	if !known {
		return nil, fmt.Errorf("there is no scenario %s", name)
	}
	return chosenPlay.run(r, ctx, scale)
}
