// Package deploy holds the deploy file to the scripts and pages that rely on it.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	root          = ".."
	packageScript = ".ci/packages"
)

// debianName is the form of a Debian package's name (Debian Policy, section 5.6.1).
var debianName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// deployFile is the part of system.toml that concerns the build.
type deployFile struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

func readDeployFile(t *testing.T) deployFile {
	t.Helper()
	var file deployFile
	if err := toml.Unmarshal([]byte(read(t, "deploy/system.toml")), &file); err != nil {
		t.Fatal(err)
	}
	return file
}

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestPackagesAreNamesOfDebianPackagesInOrder(t *testing.T) {
	packages := readDeployFile(t).Packages
	if len(packages) == 0 {
		t.Fatal("deploy/system.toml lists no packages")
	}
	for _, name := range packages {
		if !debianName.MatchString(name) {
			t.Errorf("%q is no name of a Debian package", name)
		}
	}
	if !slices.IsSorted(packages) || len(slices.Compact(slices.Clone(packages))) != len(packages) {
		t.Errorf("packages are not sorted, or one stands twice: %v", packages)
	}
}

// The build line links by the system's C compiler against its C library.
func TestPackagesHoldWhatTheBuildLineCalls(t *testing.T) {
	file := readDeployFile(t)
	if !strings.Contains(file.Build, "-linkmode=external") {
		t.Fatalf("the build line no longer links externally: %q", file.Build)
	}
	for _, name := range []string{"gcc", "libc6-dev"} {
		if !slices.Contains(file.Packages, name) {
			t.Errorf("the build line needs %s", name)
		}
	}
}

func TestScriptPrintsTheListedPackages(t *testing.T) {
	printed, err := exec.Command(filepath.Join(root, packageScript)).Output()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Fields(string(printed)), readDeployFile(t).Packages; !slices.Equal(got, want) {
		t.Errorf("%s prints %v, deploy/system.toml lists %v", packageScript, got, want)
	}
}

// namedPackage finds an install command that names a package of its own.
var namedPackage = regexp.MustCompile(`apt-get install(?: +-[a-z]+)* +([a-z0-9][^\s]*)`)

// installsByList says whether a text installs packages, and all of them by the script's list.
func installsByList(text string) bool {
	return strings.Contains(text, packageScript) && strings.Contains(text, "apt-get install") && !namedPackage.MatchString(text)
}

func TestReadmeAndCIInstallByTheSameList(t *testing.T) {
	for _, name := range []string{"README.md", ".ci/run"} {
		if !installsByList(read(t, name)) {
			t.Errorf("%s does not install just what %s prints", name, packageScript)
		}
	}
}

// The broken variants of an install command that installsByList has to see.
func TestAnInstallCommandWithItsOwnListIsSeen(t *testing.T) {
	for _, broken := range []string{
		"make build",
		"apt-get install -y -q gcc libc6-dev make",
		"packages=$(.ci/packages)\napt-get install -y $packages\napt-get install gcc",
	} {
		if installsByList(broken) {
			t.Errorf("passed: %q", broken)
		}
	}
}

// TestMetricsAreDeclaredWhereTheyAreServed: what a role's program is told and what the platform is told are the same.
func TestMetricsAreDeclaredWhereTheyAreServed(t *testing.T) {
	var file struct {
		Roles map[string]struct{ Run, Metrics string } `toml:"roles"`
	}
	if err := toml.Unmarshal([]byte(read(t, "deploy/system.toml")), &file); err != nil {
		t.Fatal(err)
	}
	for name, role := range file.Roles {
		if role.Metrics == "" || !slices.Contains(strings.Fields(role.Run), role.Metrics) {
			t.Errorf("role %s declares metrics at %q and runs %q", name, role.Metrics, role.Run)
		}
	}
}
