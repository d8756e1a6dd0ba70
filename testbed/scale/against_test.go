package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// planeRows are rows of rest whose processor time and bytes lie on a plane, with noise.
func planeRows(seed uint64, perDaemon float64) []Row {
	random := rand.New(rand.NewPCG(seed, 7))
	var rows []Row
	for _, daemons := range []int{10, 30, 100, 200} {
		for _, engines := range []int{0, 350, 1400} {
			for range 3 {
				each := Each{Count: 3, Cores: 0.01 + perDaemon*float64(daemons) + 1e-6*float64(engines) + random.NormFloat64()*0.0005,
					Sent: 2000 + random.NormFloat64()*100, Resident: 20 + random.NormFloat64(), Received: 1500 + random.NormFloat64()*100,
					Made: 5 + random.NormFloat64(), Served: 3 + random.NormFloat64(), Files: 20 + random.NormFloat64()}
				rows = append(rows, Row{Size: Size{Daemons: daemons, Engines: engines}, Phase: PhaseRest, Seconds: 4,
					Kinds: map[Kind]Each{Edge: each, Hollow: each, Follower: each, Leader: each}})
			}
		}
	}
	return rows
}

// Two runs of one build give the same slopes within their errors; a build that costs more a daemon is told apart.
func TestAgainstTellsBuildsApart(t *testing.T) {
	var out bytes.Buffer
	same, err := Against(&out, planeRows(1, 0.0001), planeRows(2, 0.0001))
	if err != nil {
		t.Fatal(err)
	}
	// Of 84 slopes, chance puts less than one beyond three errors.
	if same.Compared < 80 || same.Apart > 2 {
		t.Errorf("%d of %d slopes of one plane are apart:\n%s", same.Apart, same.Compared, out.String())
	}
	out.Reset()
	dearer, err := Against(&out, planeRows(1, 0.0001), planeRows(2, 0.0002))
	if err != nil {
		t.Fatal(err)
	}
	if dearer.Apart < 4 || !strings.Contains(out.String(), "APART") {
		t.Errorf("twice the processor time a daemon, and %d slopes are apart:\n%s", dearer.Apart, out.String())
	}
}

func TestAgainstRefusesRunsOfOtherShapes(t *testing.T) {
	rows := planeRows(1, 0.0001)
	var flat []Row
	for _, row := range rows {
		if row.Size.Engines == 0 {
			flat = append(flat, row)
		}
	}
	if _, err := Against(&bytes.Buffer{}, rows, flat); err == nil {
		t.Error("a run without engines was held against one with them")
	}
}

// What one event costs grows with the fleet as its rows show.
func TestEventSlopesFindWhatAnEventCosts(t *testing.T) {
	var rows []Row
	for _, daemons := range []int{10, 30, 100, 200} {
		size := Size{Daemons: daemons, Engines: 1400}
		rest, busy := Each{Count: 1, Sent: 1000}, Each{Count: 1, Sent: 1000 + 50*float64(daemons)}
		rows = append(rows, Row{Size: size, Phase: PhaseRest, Seconds: 4, Kinds: map[Kind]Each{Leader: rest}},
			Row{Size: size, Phase: PhaseChange, Seconds: 2, Times: []float64{0.1, 0.1}, Kinds: map[Kind]Each{Leader: busy}})
	}
	costs := eventCosts(rows)
	if len(costs) != 4 {
		t.Fatalf("%d rows of events", len(costs))
	}
	var points []Point
	for _, cost := range costs {
		points = append(points, Point{cost.size, cost.sent})
	}
	fit, err := Draw(points, Constant, PerDaemon)
	if err != nil {
		t.Fatal(err)
	}
	// 50 bytes a second and daemon for two seconds by two events.
	if slope := fit.Slopes[1]; slope < 0.0499 || slope > 0.0501 {
		t.Errorf("%g KB a daemon and event", slope)
	}
	var out bytes.Buffer
	eventSlopes(&out, costs)
	if !strings.Contains(out.String(), "change") {
		t.Errorf("the slopes of events lack the change:\n%s", out.String())
	}
}

// A step that needs more than the machine has is refused before anything is started, and the run is not whole.
func TestRunRefusesBeforehandAndIsNotWhole(t *testing.T) {
	var result bytes.Buffer
	var said []string
	o := Options{Program: "there-is-none", Self: "there-is-none", Machine: Machine{MemoryBytes: 1 << 30, Files: 20000}, Limits: DefaultLimits(), Result: &result,
		Say: func(format string, args ...any) { said = append(said, format) }}
	rows, whole, err := Run(context.Background(), []Size{Full()}, o)
	if err != nil || whole || len(rows) != 1 || rows[0].Phase != PhaseRefused || !strings.Contains(rows[0].Cut, "GB of memory, and 0.5 may be used") {
		t.Fatalf("%+v, whole %t, %v", rows, whole, err)
	}
	var written Row
	if err := json.Unmarshal(result.Bytes(), &written); err != nil || written.Cut != rows[0].Cut || len(said) != 1 {
		t.Errorf("the file tells %+v, %v", written, err)
	}
}

// A run that is cut short says so: its step has the reason, and it is not whole.
func TestRunThatIsCutShortIsNotWhole(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// A program that ends at once is a fleet whose processes ended of themselves.
	o := Options{Program: "/bin/true", Self: "/bin/true", Folder: t.TempDir(), Beat: 1, Machine: Machine{MemoryBytes: 32 << 30, Files: 20000}, Limits: DefaultLimits(), Say: func(string, ...any) {}}
	rows, whole, err := Run(ctx, []Size{{Daemons: 4, Core: 1, Zones: 1}}, o)
	if err != nil || whole {
		t.Fatalf("whole %t, %v", whole, err)
	}
	if len(rows) != 1 || rows[0].Cut == "" {
		t.Errorf("%+v does not say why it was cut short", rows)
	}
}

// What a process has of its own is part of what it has resident, and not all of it: its program's file is no memory of its own.
func TestOwnMemoryLeavesOutTheProgram(t *testing.T) {
	usage := usageOf(os.Getpid())
	if usage.Own == 0 || usage.Own >= usage.Resident {
		t.Errorf("%+v", usage)
	}
}

// Rows of an earlier build, which did not measure something, are not taken for having measured nothing of it.
func TestWhatWasNotMeasuredIsNotHeldAgainst(t *testing.T) {
	var out bytes.Buffer
	with := planeRows(1, 0.0001)
	for _, row := range with {
		for kind, each := range row.Kinds {
			each.Own = 10
			row.Kinds[kind] = each
		}
	}
	if got, err := Against(&out, planeRows(2, 0.0001), with); err != nil || got.Apart > 2 {
		t.Errorf("%+v, %v:\n%s", got, err, out.String())
	}
	if !strings.Contains(out.String(), "not drawn") {
		t.Error("what one run did not measure is not said")
	}
}

// Two sizes tell of no square of the daemons: rounding alone would make one up, of any steepness.
func TestTwoSizesTellOfNoSquare(t *testing.T) {
	var few []Row
	for _, row := range planeRows(3, 0.0001) {
		if row.Size.Daemons <= 30 {
			few = append(few, row)
		}
	}
	var points []Point
	for _, row := range few {
		points = append(points, Point{row.Size, row.Kinds[Edge].Resident})
	}
	if fit, err := Draw(points, Constant, PerDaemon, PerEngine, PerDaemonSquared); err == nil {
		t.Errorf("slopes %v were drawn", fit.Slopes)
	}
	var out bytes.Buffer
	if got, err := Against(&out, planeRows(1, 0.0001), few); err != nil || got.Apart > 4 {
		t.Errorf("%+v, %v:\n%s", got, err, out.String())
	}
}
