package main

import (
	"slices"
	"testing"

	"github.com/alecthomas/kingpin/v2"
)

// TestRunFlagsKeepTheirEarlierNames: scripts from before the renaming still work.
func TestRunFlagsKeepTheirEarlierNames(t *testing.T) {
	for name, args := range map[string][]string{
		"new names":     {"--fault", "burst", "--fault", "reload", "--faults", "3"},
		"earlier names": {"--act", "burst", "--act", "reload", "--acts", "3"},
		"mixed":         {"--act", "burst", "--fault", "reload", "--acts", "3"},
	} {
		t.Run(name, func(t *testing.T) {
			app := kingpin.New("testbed", "")
			clause, options := addRun(app)
			chosen, err := app.Parse(append([]string{"run", "platform"}, args...))
			if err != nil {
				t.Fatal(err)
			}
			if chosen != clause.FullCommand() || !slices.Equal(options.faults, []string{"burst", "reload"}) || options.faultCount != 3 {
				t.Errorf("command %q, faults %q, count %d", chosen, options.faults, options.faultCount)
			}
		})
	}
}

func TestRunDrawsEightFaultsByDefault(t *testing.T) {
	app := kingpin.New("testbed", "")
	_, options := addRun(app)
	if _, err := app.Parse([]string{"run", "platform"}); err != nil {
		t.Fatal(err)
	}
	if options.faultCount != 8 || len(options.faults) != 0 {
		t.Errorf("count %d, faults %q", options.faultCount, options.faults)
	}
}

func TestGenerateKeepsItsEarlierName(t *testing.T) {
	for _, name := range []string{"generate", "days"} {
		app := kingpin.New("testbed", "")
		generate := addGenerate(app)
		chosen, err := app.Parse([]string{name, "site.toml", "--out", "."})
		if err != nil || chosen != generate.clause.FullCommand() {
			t.Errorf("%s: command %q, %v", name, chosen, err)
		}
	}
}
