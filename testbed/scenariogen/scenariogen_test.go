package scenariogen

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// seeds is how many seeds the properties of scenarios are looked at over, and daysOfASeed how many scenarios of each.
const (
	seeds       = 12
	daysOfASeed = 25
)

func readTestSite(t *testing.T, name string) Site {
	t.Helper()
	site, err := ReadSite(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// eachDay calls a function with many scenarios of both made-up sites.
func eachDay(t *testing.T, check func(site Site, scenario Scenario)) {
	t.Helper()
	for _, name := range []string{"small.toml", "large.toml"} {
		site := readTestSite(t, name)
		for seed := range uint64(seeds) {
			for _, scenario := range Generate(site, seed, daysOfASeed) {
				check(site, scenario)
			}
		}
	}
}

func all(scenario Scenario) []Event {
	return slices.Concat(scenario.Plan, scenario.Faults)
}

func TestTheSameSeedGivesTheSameScenarios(t *testing.T) {
	site := readTestSite(t, "small.toml")
	files := func(seed uint64) []byte {
		var joined []byte
		for _, scenario := range Generate(site, seed, daysOfASeed) {
			file, err := scenario.File()
			if err != nil {
				t.Fatal(err)
			}
			joined = append(joined, file...)
		}
		return joined
	}
	if !bytes.Equal(files(7), files(7)) {
		t.Error("one seed gave two series of days")
	}
	if bytes.Equal(files(7), files(8)) {
		t.Error("two seeds gave the same days")
	}
}

func TestALongerSeriesBeginsWithTheShorterOne(t *testing.T) {
	site := readTestSite(t, "large.toml")
	if short, long := Generate(site, 3, 4), Generate(site, 3, 9); !reflect.DeepEqual(short, long[:4]) {
		t.Error("a day depends on how many follow it")
	}
}

func TestEachAllowedFaultKindIsGeneratedAndNoOther(t *testing.T) {
	for _, name := range []string{"small.toml", "large.toml"} {
		site := readTestSite(t, name)
		reached := map[Kind]bool{}
		for seed := range uint64(seeds) {
			for _, scenario := range Generate(site, seed, daysOfASeed) {
				for _, event := range all(scenario) {
					reached[event.Kind] = true
				}
			}
		}
		open := site.Kinds()
		for _, kind := range open {
			if !reached[kind] {
				t.Errorf("%s: %s never comes", name, kind)
			}
		}
		for kind := range reached {
			if !slices.Contains(open, kind) {
				t.Errorf("%s: %s comes, but is not open there", name, kind)
			}
		}
	}
}

func TestKindsThatNeedAContractAreExcludedWithoutIt(t *testing.T) {
	small, large := readTestSite(t, "small.toml").Kinds(), readTestSite(t, "large.toml").Kinds()
	for _, kind := range []Kind{ServerFlap, ServerLying, IdleRace} {
		if slices.Contains(small, kind) || !slices.Contains(large, kind) {
			t.Errorf("%s is open without its contract, or closed with it", kind)
		}
	}
}

func TestEachVariantAndEachClosingFaultIsGenerated(t *testing.T) {
	reached := map[Kind]map[string]bool{}
	note := func(kind Kind, variant string) {
		if reached[kind] == nil {
			reached[kind] = map[string]bool{}
		}
		for word := range strings.FieldsSeq(variant) {
			reached[kind][word] = true
		}
	}
	eachDay(t, func(_ Site, scenario Scenario) {
		for _, event := range all(scenario) {
			note(event.Kind, event.Variant)
		}
		if scenario.Closing != nil {
			note(scenario.Closing.Kind, scenario.Closing.Variant)
		}
	})
	for _, specification := range slices.Concat(catalogue, closingKinds) {
		for _, variant := range specification.variants {
			for word := range strings.FieldsSeq(variant) {
				if !reached[specification.kind][word] {
					t.Errorf("%s never comes as %q", specification.kind, word)
				}
			}
		}
	}
	for _, word := range []string{"leader", "seed", "reader", "turn", "meet", "race", "drain", "hard", "reset", "refuse"} {
		if !reached[CoreCut][word] {
			t.Errorf("no cut says %q", word)
		}
	}
}

func TestFaultsArePlacedWhereTheirKindBelongs(t *testing.T) {
	eachDay(t, func(_ Site, scenario Scenario) {
		for _, event := range scenario.Plan {
			if specification, known := specified(event.Kind); !known || !specification.planned {
				t.Errorf("%s: %s is planned", scenario.Name, event.Kind)
			}
		}
		for _, event := range scenario.Faults {
			if specification, known := specified(event.Kind); !known || specification.planned {
				t.Errorf("%s: %s is a fault", scenario.Name, event.Kind)
			}
		}
		for _, event := range all(scenario) {
			if event.At < firstMoment || event.Share < 0 || event.Share > 1 || event.Count > 0 && event.Share > 0 {
				t.Errorf("%s: %+v", scenario.Name, event)
			}
		}
	})
}

// lossesOver is how many counted machines a scenario loses at most at once, worked out anew from its entries by looking
// at twenty moments of each second, and whether one is lost while all are taken or all have still to recover.
func lossesOver(site Site, scenario Scenario) (most int, overlapped bool) {
	type span struct {
		from, settled float64
		machines      int
		whole         bool
	}
	var spans []span
	for _, event := range all(scenario) {
		lasts := event.DurationSeconds
		switch event.Kind {
		case NodeKill, NodeFreeze, NodeSlow:
			if event.Machines != Counted {
				continue
			}
		case HerdKill:
			if event.Machines != Counted {
				continue
			}
			lasts += site.Bounds.RecoverSeconds
		case RollTerm:
			machines := 0
			for _, group := range site.Machines {
				machines += group.Count
			}
			lasts = float64(machines)*event.Share*event.GapSeconds + site.Bounds.GraceSeconds
		case ReplaceCore:
			lasts = event.Strength
			if strings.Contains(event.Variant, "planned") {
				lasts += site.Bounds.GraceSeconds
			}
		case AfterAckKill, AfterAckWipe, CoreCut, DiskFull, DiskSlow, DiskStall:
		default:
			continue
		}
		if event.Kind != HerdKill {
			lasts += site.Timing.CatchUpSeconds
		}
		spans = append(spans, span{event.At, event.At + lasts, max(1, event.Count), event.Kind == HerdKill})
	}
	for moment := 0.0; moment < scenario.LengthSeconds+60; moment += 0.05 {
		lost, complete := 0, 0
		for _, s := range spans {
			if moment < s.from || moment >= s.settled {
				continue
			}
			if s.whole {
				complete++
			} else {
				lost += s.machines
			}
		}
		most = max(most, lost)
		overlapped = overlapped || complete > 1 || complete > 0 && lost > 0
	}
	return most, overlapped
}

func TestLossesStayWithinTheFaultBudget(t *testing.T) {
	used := map[string]int{}
	eachDay(t, func(site Site, scenario Scenario) {
		most, overlapped := lossesOver(site, scenario)
		if most > site.Tolerate.Machines {
			t.Errorf("%s, %s: %d machines are lost at once, %d may be", site.Name, scenario.Name, most, site.Tolerate.Machines)
		}
		if overlapped {
			t.Errorf("%s, %s: all counted machines go while one is lost", site.Name, scenario.Name)
		}
		used[site.Name] = max(used[site.Name], most)
	})
	if used["three-rooms"] != 1 || used["many-halls"] != 2 {
		t.Errorf("the budgets of 1 and 2 are not used up: %v", used)
	}
}

// TestTheFaultBudgetCheckDetectsViolations shows the check scenarios that break the budget.
func TestTheFaultBudgetCheckDetectsViolations(t *testing.T) {
	small, large := readTestSite(t, "small.toml"), readTestSite(t, "large.toml")
	caught := 0
	for _, scenario := range Generate(large, 1, daysOfASeed) {
		if most, _ := lossesOver(large, scenario); most > small.Tolerate.Machines {
			caught++
		}
	}
	if caught == 0 {
		t.Error("days made for a budget of two machines all pass for one")
	}
	inRecovery := Scenario{LengthSeconds: 30, Faults: []Event{
		{At: 10, Kind: NodeKill, Machines: Counted, Count: 1, DurationSeconds: 2},
		{At: 15, Kind: CoreCut, Count: 1, DurationSeconds: 5},
	}}
	if most, _ := lossesOver(small, inRecovery); most != 2 {
		t.Errorf("a loss in the recovery from another counts as %d", most)
	}
	during := Scenario{LengthSeconds: 30, Faults: []Event{
		{At: 10, Kind: NodeFreeze, Machines: Counted, Count: 1, DurationSeconds: 5},
		{At: 12, Kind: HerdKill, Machines: Counted, DurationSeconds: 1},
	}}
	if _, overlapped := lossesOver(small, during); !overlapped {
		t.Error("a loss of all while one is frozen is not seen")
	}
}

func TestASiteThatToleratesNoLossGetsNone(t *testing.T) {
	site := readTestSite(t, "small.toml")
	site.Tolerate.Machines = 0
	for _, scenario := range Generate(site, 5, daysOfASeed) {
		for _, event := range all(scenario) {
			if strikesCounted(event) {
				t.Errorf("%s has %s", scenario.Name, event.Kind)
			}
		}
	}
}

func TestAFaultRecursRightAfterItsRecovery(t *testing.T) {
	site := readTestSite(t, "small.toml")
	for seed := range uint64(seeds) {
		line := newTimeline(site, rand.New(rand.NewPCG(seed, 1)))
		repeatedFault(line, firstPattern)
		faults := slices.DeleteFunc(slices.Clone(line.faults), func(one Event) bool { return !strikesCounted(one) })
		if len(faults) < 2 {
			t.Fatalf("seed %d: the trouble comes %d times", seed, len(faults))
		}
		for index := 1; index < len(faults); index++ {
			before, again := faults[index-1], faults[index]
			pause := again.At - line.recovered(before)
			if again.Kind != before.Kind || again.Variant != before.Variant || pause < 0 || pause > repeatSlack+0.05 {
				t.Errorf("seed %d: %+v comes %.2f s after the recovery from %+v", seed, again, pause, before)
			}
		}
	}
}

func TestChangesAreInFlightAtBothEdgesOfAPartition(t *testing.T) {
	site := readTestSite(t, "small.toml")
	shortest, longest := longestCut, 0.0
	for seed := range uint64(seeds * daysOfASeed) {
		line := newTimeline(site, rand.New(rand.NewPCG(seed, 2)))
		changesAtPartitionEdges(line, firstPattern)
		cut := line.faults[0]
		near := func(moment float64) bool {
			return slices.ContainsFunc(line.plan, func(one Event) bool { return one.At > moment-edge-0.05 && round(one.At-moment) <= 0 })
		}
		if cut.Kind != CoreCut || !near(cut.At) || !near(cut.At+cut.DurationSeconds) {
			t.Errorf("seed %d: %+v with %+v", seed, cut, line.plan)
		}
		shortest, longest = min(shortest, cut.DurationSeconds), max(longest, cut.DurationSeconds)
	}
	if shortest > 6 || longest < 29 {
		t.Errorf("cuts last from %.1f to %.1f s", shortest, longest)
	}
}

func TestALongScenarioHasHundredsOfChanges(t *testing.T) {
	line := newTimeline(readTestSite(t, "small.toml"), rand.New(rand.NewPCG(1, 3)))
	hundredsOfChanges(line, firstPattern)
	if !slices.ContainsFunc(line.plan, func(one Event) bool { return one.Kind == ConfigStorm && one.Count >= 150 }) {
		t.Errorf("planned: %+v", line.plan)
	}
}

func TestAScenarioReadsBackAsWritten(t *testing.T) {
	folder := t.TempDir()
	for _, scenario := range Generate(readTestSite(t, "large.toml"), 9, daysOfASeed) {
		path, err := scenario.Write(folder)
		if err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var read scenarioFile
		if err := toml.Unmarshal(data, &read); err != nil {
			t.Fatal(err)
		}
		if len(read.Scenarios) != 1 || !reflect.DeepEqual(read.Scenarios[0], scenario) {
			t.Errorf("%s reads back as %+v", scenario.Name, read.Scenarios)
		}
	}
}

func TestAnIncompleteSiteFileIsRejected(t *testing.T) {
	complete, err := os.ReadFile(filepath.Join("testdata", "small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, left := range []string{"name = \"three-rooms\"", "contracts", "length_s", "catch_up_s"} {
		var kept []string
		for line := range strings.Lines(string(complete)) {
			if !strings.HasPrefix(line, left) {
				kept = append(kept, line)
			}
		}
		if _, err := ParseSite([]byte(strings.Join(kept, ""))); err == nil {
			t.Errorf("a site file without %s is taken", left)
		}
	}
	if _, err := ParseSite([]byte("name = ")); err == nil {
		t.Error("what is no TOML is taken")
	}
}
