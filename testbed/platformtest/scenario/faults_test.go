package scenario

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// names lists the names of faults.
func names(faults []fault) []string {
	var out []string
	for _, one := range faults {
		out = append(out, one.name)
	}
	return out
}

// TestDrawnFaultsKeepTheirOrder: another order would have every seed of an earlier run play other faults.
func TestDrawnFaultsKeepTheirOrder(t *testing.T) {
	want := []string{"engine-crash", "release", "delete-first", "short-notice", "address-reuse", "engine-freeze", "engine-faults", "engine-grey", "engine-flap", "idle-drop", "order-trouble",
		"edge-kill", "edge-freeze", "edge-stop", "edge-roll", "stop-in-need", "core-kill", "core-freeze", "core-roll", "core-wipe", "core-replace", "core-herd", "reload",
		"config-change", "config-race", "ack-kill", "ack-wipe", "config-bad", "config-again", "config-lost-answers", "model-shift", "burst"}
	if got := names(drawnFaults); !slices.Equal(got, want) {
		t.Errorf("the order is %q, want %q", got, want)
	}
}

func TestPlanFaults(t *testing.T) {
	planned := func(t *testing.T, options Options) []string {
		t.Helper()
		run := &Run{Options: options, random: rand.New(rand.NewPCG(options.Seed, 9))}
		plan, err := run.planFaults()
		if err != nil {
			t.Fatal(err)
		}
		return names(plan)
	}
	drawn := planned(t, Options{Seed: 3, Count: 5})
	if len(drawn) != 5 {
		t.Errorf("%d faults are drawn, want 5", len(drawn))
	}
	for name, test := range map[string]struct {
		options Options
		want    []string
	}{
		"the same seed":                 {Options{Seed: 3, Count: 5}, drawn},
		"named faults":                  {Options{Seed: 3, Count: 5, Faults: []string{"burst", "node-flap"}}, []string{"burst", "node-flap"}},
		"two builds":                    {Options{Seed: 3, Count: 5, OtherProgram: "other"}, slices.Concat([]string{"program-swap"}, drawn, []string{"program-upgrade"})},
		"two builds with a named fault": {Options{Seed: 3, OtherProgram: "other", Faults: []string{"burst"}}, []string{"burst"}},
		"a count of zero draws one":     {Options{Seed: 3}, drawn[:1]},
		"all names":                     {Options{Seed: 3, Faults: Names()}, Names()},
	} {
		t.Run(name, func(t *testing.T) {
			if got := planned(t, test.options); !slices.Equal(got, test.want) {
				t.Errorf("planned %q, want %q", got, test.want)
			}
		})
	}
}

func TestPlanFaultsRejectsAnUnknownName(t *testing.T) {
	run := &Run{Options: Options{Faults: []string{"no-such-fault"}}}
	if plan, err := run.planFaults(); err == nil {
		t.Errorf("planned %q", names(plan))
	}
}
