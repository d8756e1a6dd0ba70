package fleet_test

import (
	"path/filepath"
	"testing"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

const (
	newBuild = "/new/cresspond-platform"
	oldBuild = "/old/cresspond-platform"
)

// layOut lays out a fleet of three machines of each class; nothing runs.
func layOut(t *testing.T, other string) *fleet.Fleet {
	t.Helper()
	laidOut, err := fleet.New(fleet.Plan{Program: newBuild, OtherProgram: other, Folder: filepath.Join(t.TempDir(), "fleet"), Zones: []string{"a", "b", "c"},
		Cores: 3, Edges: 3, Recorder: history.NewRecorder(clock.System{})})
	if err != nil {
		t.Fatal(err)
	}
	return laidOut
}

func TestMachinesStartWithAlternatingPrograms(t *testing.T) {
	for name, test := range map[string]struct {
		other string
		want  map[string]string
	}{
		"one build": {"", map[string]string{"core-0": newBuild, "core-1": newBuild, "core-2": newBuild, "edge-0": newBuild, "edge-1": newBuild, "edge-2": newBuild}},
		"two builds": {oldBuild, map[string]string{"core-0": newBuild, "core-1": oldBuild, "core-2": newBuild,
			"edge-0": oldBuild, "edge-1": newBuild, "edge-2": oldBuild}},
	} {
		t.Run(name, func(t *testing.T) {
			laidOut := layOut(t, test.other)
			if len(laidOut.Machines) != len(test.want) {
				t.Fatalf("%d machines, want %d", len(laidOut.Machines), len(test.want))
			}
			for _, machine := range laidOut.Machines {
				if got := machine.Program(); got != test.want[machine.Name] {
					t.Errorf("%s runs %q, want %q", machine.Name, got, test.want[machine.Name])
				}
			}
		})
	}
}

func TestSwapProgramGivesTheOtherBuildBothWays(t *testing.T) {
	laidOut := layOut(t, oldBuild)
	machine := laidOut.Machines[0]
	for _, want := range []string{oldBuild, newBuild, oldBuild} {
		laidOut.SwapProgram(machine)
		if got := machine.Program(); got != want {
			t.Errorf("%s runs %q, want %q", machine.Name, got, want)
		}
	}
}

func TestSwapProgramWithOneBuildChangesNothing(t *testing.T) {
	laidOut := layOut(t, "")
	machine := laidOut.Machines[0]
	laidOut.SwapProgram(machine)
	if got := machine.Program(); got != newBuild {
		t.Errorf("%s runs %q, want %q", machine.Name, got, newBuild)
	}
}
