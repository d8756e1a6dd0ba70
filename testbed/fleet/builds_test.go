package fleet_test

import (
	"path/filepath"
	"testing"

	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/fleet"
)

func TestDaemonsRunTheTwoBuildsInTurn(t *testing.T) {
	small, known := deployment.Named("small")
	if !known {
		t.Fatal("there is no deployment small")
	}
	laidOut, err := fleet.New(small, filepath.Join(t.TempDir(), "fleet"), [2]string{"/new/cresspondd", "/old/cresspondd"}, "/new/testbed")
	if err != nil {
		t.Fatal(err)
	}
	for i, daemon := range laidOut.Daemons {
		want := []string{"/new/cresspondd", "/old/cresspondd"}
		if got := laidOut.Build(daemon); got != want[i%2] {
			t.Errorf("%s runs %q, want %q", daemon.Name, got, want[i%2])
		}
		laidOut.SwapBuild(daemon)
		if got := laidOut.Build(daemon); got != want[1-i%2] {
			t.Errorf("after the swap %s runs %q, want %q", daemon.Name, got, want[1-i%2])
		}
	}
}
