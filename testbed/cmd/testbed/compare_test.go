package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCompareNamesSkippedEntries: the rest is compared all the same, and the command fails in the end.
func TestCompareNamesSkippedEntries(t *testing.T) {
	folder := t.TempDir()
	put := func(name, text string) {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put("1.json", `{"id":"a","why":"before","site":"s","days":[{"name":"d","seed":1,"G":0.5}]}`)
	put("2.json", `{"id":"b","why":"after","site":"s","days":[{"name":"d","seed":1,"G":0.7}]}`)
	before, after, picture, each := "before", "after", "", true
	asked := comparison{journal: &folder, before: &before, after: &after, picture: &picture, each: &each}
	var out, complaints strings.Builder
	if err := asked.run(&out, &complaints); err != nil || !strings.Contains(out.String(), "+0.200") {
		t.Errorf("%v\n%s", err, out.String())
	}
	put("3.json", "{")
	out.Reset()
	if err := asked.run(&out, &complaints); !errors.Is(err, errSkipped) || !strings.Contains(out.String(), "+0.200") || !strings.Contains(complaints.String(), "3.json") {
		t.Errorf("%v\n%s\n%s", err, out.String(), complaints.String())
	}
	before = "nothing"
	if err := asked.run(&out, &complaints); !errors.Is(err, errNothingPairs) {
		t.Error(err)
	}
}
