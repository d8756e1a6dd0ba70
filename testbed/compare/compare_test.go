package compare

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"testing/fstest"
)

const played = `{"id":"0a","cmd":"run","argv":["site.toml","quiet-1","--no-cpu"],"why":"base: one","site":"s","ok":true,
"days":[{"name":"quiet-1","seed":7,"G":0.5,"served":0.9,"refused":0.1,"failed":0,"parts":[["whole day",0.7,0.9]],
"prices":[["machines",3,0.04],["probes",1,0.01],["probes",1,0.02]],"by_class":[0.8,null],"rules":{},"fault":null,"gate":true}]}`

func entryOf(t *testing.T, text string) Entry {
	t.Helper()
	entries, faults := ReadFolder(fstest.MapFS{"1.json": {Data: []byte(text)}})
	if len(faults) > 0 || len(entries) != 1 {
		t.Fatalf("%v, %v", entries, faults)
	}
	return entries[0]
}

// TestAnEntryIsReadWithItsFigures: prices of one name are added up, and a kind without requests has no figure.
func TestAnEntryIsReadWithItsFigures(t *testing.T) {
	figures := Figures(entryOf(t, played).Days[0])
	for name, want := range map[string]float64{"worth": 0.5, "served": 0.9, "part: whole day": 0.9, "price: machines": 0.04, "price: probes": 0.03, "kind: 1": 0.8} {
		if math.Abs(figures[name]-want) > 1e-9 {
			t.Errorf("%s is %v, want %v", name, figures[name], want)
		}
	}
	if _, there := figures["kind: 2"]; there {
		t.Error("a kind without requests has a figure")
	}
}

// TestAnUnreadableEntryIsNamedAndSkipped: the others are read.
func TestAnUnreadableEntryIsNamedAndSkipped(t *testing.T) {
	entries, faults := ReadFolder(fstest.MapFS{"1.json": {Data: []byte(played)}, "2.json": {Data: []byte(`{"days":[{"prices":[["x",1]]}]}`)}, "3.json": {Data: []byte("{")}, "blobs/4.txt": {}})
	if len(entries) != 1 || len(faults) != 2 || faults[0].File != "2.json" || faults[1].File != "3.json" {
		t.Errorf("%v, %v", entries, faults)
	}
}

// TestOnlyRunsOfTheSameScenarioArePaired: the same site, day, seed and conditions; several plays of one count by their mean.
func TestOnlyRunsOfTheSameScenarioArePaired(t *testing.T) {
	before := entryOf(t, played)
	make := func(worth float64, seed uint64, arguments ...string) Entry {
		entry := entryOf(t, played)
		entry.Arguments = arguments
		entry.Days = []Day{{Name: "quiet-1", Seed: seed, Worth: worth}}
		return entry
	}
	after := []Entry{make(0.6, 7, "--no-cpu"), make(0.8, 7, "--no-cpu"), make(0.1, 7), make(0.1, 8, "--no-cpu"), make(0.1, 7, "--no-cpu", "--small")}
	pairs := PairUp([]Entry{before}, after)
	if len(pairs) != 1 || math.Abs(pairs[0].After["worth"]-0.7) > 1e-9 || pairs[0].Before["worth"] != 0.5 {
		t.Errorf("%+v", pairs)
	}
}

// TestChangesGiveMedianAndRange: of the paired differences, not of the figures.
func TestChangesGiveMedianAndRange(t *testing.T) {
	var pairs []Pair
	for _, difference := range []float64{0.3, -0.1, 0.1, 0.0} {
		pairs = append(pairs, Pair{Before: map[string]float64{"worth": 0.5}, After: map[string]float64{"worth": 0.5 + difference}})
	}
	got := Changes(pairs)
	if len(got) != 1 || math.Abs(got[0].Median-0.05) > 1e-9 || math.Abs(got[0].Least+0.1) > 1e-9 || math.Abs(got[0].Most-0.3) > 1e-9 || math.Abs(got[0].After-0.575) > 1e-9 {
		t.Errorf("%+v", got)
	}
}

// TestSelectAcceptsAReasonOrAnID: by the beginning of the one, or the whole of the other.
func TestSelectAcceptsAReasonOrAnID(t *testing.T) {
	entries := []Entry{{ID: "0a", Why: "base: one"}, {ID: "0b", Why: "change: base"}}
	for text, want := range map[string]string{"base": "0a", "0b": "0b", "change": "0b"} {
		if got := Select(entries, text); len(got) != 1 || got[0].ID != want {
			t.Errorf("%q selects %v", text, got)
		}
	}
}

// TestDrawWritesAPicture: in the form that the file's name says.
func TestDrawWritesAPicture(t *testing.T) {
	pairs := []Pair{{Before: map[string]float64{"worth": 0.5, "kind: 1": 0.4}, After: map[string]float64{"worth": 0.6, "kind: 1": 0.7}}}
	for _, name := range []string{"a.svg", "a.png"} {
		file := filepath.Join(t.TempDir(), name)
		if err := Draw(pairs, file); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%v, %v", info, err)
		}
	}
}
