package scenario

import (
	"context"
	"slices"
	"time"
)

// fault is one fault, or piece of planned work, and how long the run goes on undisturbed after it.
type fault struct {
	name string
	rest time.Duration
	play func(*Run, context.Context) error
	// ranking is how engines are ranked in a run with this fault; empty is the processes' default.
	ranking string
}

// Names lists all faults that may be named.
func Names() (out []string) {
	for _, one := range allFaults() {
		out = append(out, one.name)
	}
	return out
}

// allFaults are those that may be named; only drawnFaults are drawn.
func allFaults() []fault {
	return slices.Concat(drawnFaults, tenantFaults, soakFaults, rankingFaults, buildFaults)
}

// drawnFaults are those that a seed draws from. Their order decides which seed plays which faults.
var drawnFaults = slices.Concat(engineFaults, edgeFaults, coreFaults, configFaults, loadFaults)
