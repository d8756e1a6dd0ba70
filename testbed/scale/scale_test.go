package scale

import (
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
)

// A known plane with known noise is found again, within its own errors.
func TestDrawFindsAKnownPlane(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var points []Point
	for _, daemons := range []int{10, 30, 60, 100} {
		for _, engines := range []int{0, 350, 1400} {
			for range 3 {
				size := Size{Daemons: daemons, Engines: engines}
				points = append(points, Point{size, 2 + 0.5*float64(daemons) + 0.01*float64(engines) + random.NormFloat64()*0.2})
			}
		}
	}
	fit, err := Draw(points, Constant, PerDaemon, PerEngine)
	if err != nil {
		t.Fatal(err)
	}
	for j, want := range []float64{2, 0.5, 0.01} {
		if got := fit.Slopes[j]; math.Abs(got-want) > 4*fit.Errors[j] || fit.Errors[j] <= 0 {
			t.Errorf("%s: %g ± %g, and it is %g", fit.Terms[j].Name, got, fit.Errors[j], want)
		}
	}
	full := Full()
	value, within := fit.At(full)
	if truth := 2 + 0.5*370 + 0.01*1400; math.Abs(value-truth) > 2*within || within <= 0 || within > 3 {
		t.Errorf("at full size %g ± %g, and it is %g", value, within, truth)
	}
	if fit.Residual < 0.1 || fit.Residual > 0.3 || fit.Explained < 0.99 {
		t.Errorf("residual %g, explained %g", fit.Residual, fit.Explained)
	}
}

func TestDrawRefusesWhatTellsNothing(t *testing.T) {
	point := Point{Size{Daemons: 10}, 1}
	if _, err := Draw([]Point{point, point}, Constant, PerDaemon); err == nil {
		t.Error("two points told of two slopes and their errors")
	}
}

func TestRefusalSaysWhatItWouldNeed(t *testing.T) {
	machine, limits := Machine{MemoryBytes: 32 << 30, Files: 20000}, DefaultLimits()
	if why := Refusal(NeedOf(Size{Daemons: 100, Core: 3}, FirstCost()), machine, limits); why != "" {
		t.Errorf("a hundred daemons were refused: %s", why)
	}
	// What a step of 100 daemons showed: 6 % of a core each, all of it by peers.
	busy := FirstCost()
	busy.PeerCores = 0.06 / 100
	why := Refusal(NeedOf(Size{Daemons: 370, Core: 3}, busy), machine, limits)
	if !strings.Contains(why, "81.9 cores") {
		t.Errorf("370 daemons at 0.06 %% a peer were refused with %q", why)
	}
	large := Refusal(NeedOf(Size{Daemons: 5000, Core: 3}, FirstCost()), machine, limits)
	for _, part := range []string{"memory", "processes", "descriptors"} {
		if !strings.Contains(large, part) {
			t.Errorf("5000 daemons were refused with %q, which does not speak of %s", large, part)
		}
	}
}

// The next step is expected to cost what those before it showed.
func TestCostFollowsMeasuredSteps(t *testing.T) {
	row := func(daemons int, cores float64) Row {
		size := Size{Daemons: daemons, Engines: 100}
		return Row{Size: size, Phase: PhaseRest, Kinds: map[Kind]Each{Hollow: {Cores: cores, Resident: 20}}}
	}
	one := []Row{row(10, 0.01), row(10, 0.012)}
	if got := costBy(one, Size{Daemons: 100}); math.Abs(got.PeerCores-0.0012) > 1e-9 {
		t.Errorf("one size gives %g a peer", got.PeerCores)
	}
	two := append(one, row(30, 0.03), row(30, 0.032))
	got := costBy(two, Size{Daemons: 100, Engines: 100})
	if got.DaemonCores < 0.1 || got.DaemonCores > 0.13 || got.PeerCores != 0 {
		t.Errorf("two sizes give %g a daemon at 100", got.DaemonCores)
	}
	// Memory that seems to fall with the fleet is not drawn on to less than there was.
	falling := append(two, row(60, 0.06))
	falling[0].Kinds = map[Kind]Each{Hollow: {Cores: 0.01, Resident: 40}}
	if least := costBy(falling, Size{Daemons: 370, Engines: 100}).DaemonBytes; least < 40<<20 {
		t.Errorf("%g bytes a daemon are expected, and one took 40 MB", least)
	}
	cut := row(60, 9)
	cut.Phase = PhaseRefused
	if again := costBy(append(two, cut), Size{Daemons: 100, Engines: 100}); again != got {
		t.Error("a step that was refused was counted as measured")
	}
}

func TestBundleIsSound(t *testing.T) {
	raw := bundle(Size{Paths: 50, Models: 140, Adapters: 87000}, 3)
	parsed, faults := document.Parse(raw)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if len(parsed.Forward.Paths) != 50 || len(parsed.Forward.Pools[0].Catalogue.Models) != 140 {
		t.Errorf("%d paths, %d models", len(parsed.Forward.Paths), len(parsed.Forward.Pools[0].Catalogue.Models))
	}
}

// Rows come back as they were written, and a report of a cut step says so.
func TestRowsAreReadBack(t *testing.T) {
	name := filepath.Join(t.TempDir(), "rows")
	var file bytes.Buffer
	write := json.NewEncoder(&file)
	rows := []Row{
		{Build: "b", Size: Size{Daemons: 10}, Phase: PhaseRest, Seconds: 5, Kinds: map[Kind]Each{Edge: {Count: 3, Cores: 0.01, Sent: 1000}}},
		{Build: "b", Size: Size{Daemons: 370}, Phase: PhaseRefused, Cut: "it would need 15 cores"},
	}
	for _, row := range rows {
		if err := write.Encode(row); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(name, file.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := ReadRows([]string{name})
	if err != nil || len(got) != 2 || got[0].Kinds[Edge] != rows[0].Kinds[Edge] || got[1].Cut != rows[1].Cut {
		t.Fatalf("%+v, %v", got, err)
	}
	var out bytes.Buffer
	Report(&out, got)
	if !strings.Contains(out.String(), "it would need 15 cores") {
		t.Errorf("the report hides what was refused:\n%s", out.String())
	}
}

// A host runs the daemon's own code, tells when a daemon ends, and ends with its words.
func TestHostRunsAndStopsDaemons(t *testing.T) {
	size := Size{Daemons: 1 + realEdges + 1, Core: 1, Zones: 1}
	f, err := layFleet(size, t.TempDir(), Options{Beat: time.Second}, 99)
	if err != nil {
		t.Fatal(err)
	}
	m := f.members[len(f.members)-1]
	if !m.process.host {
		t.Fatal("the last member is not hollow")
	}
	words, echoes := newPipe(), newPipe()
	ended := make(chan error, 1)
	go func() { ended <- Host(words.reader, echoes.writer, "") }()
	say := json.NewEncoder(words.writer)
	if err := say.Encode(HostCommand{Start: &m.settings}); err != nil {
		t.Fatal(err)
	}
	if err := say.Encode(HostCommand{Stop: m.name}); err != nil {
		t.Fatal(err)
	}
	var echo HostEvent
	if err := json.NewDecoder(echoes.reader).Decode(&echo); err != nil || echo.Ended != m.name || echo.Why != "" {
		t.Fatalf("%+v, %v", echo, err)
	}
	words.writer.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
