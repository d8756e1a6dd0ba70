package main

import (
	"os"
	"path/filepath"
	"testing"
)

// siteFile is a made-up site.
var siteFile = filepath.Join("..", "..", "scenariogen", "testdata", "small.toml")

func TestScenariosAreWrittenToTheFolder(t *testing.T) {
	folder := t.TempDir()
	if err := writeScenarios(generateOptions{Site: siteFile, Seed: 4, Count: 6, Out: folder}); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "s4-*.toml"))
	if err != nil || len(files) != 6 {
		t.Errorf("%d files, %v", len(files), err)
	}
}

func TestInvalidOptionsAreRejectedAndNothingIsWritten(t *testing.T) {
	folder := t.TempDir()
	right := generateOptions{Site: siteFile, Seed: 1, Count: 1, Out: folder}
	for name, wrong := range map[string]func(*generateOptions){
		"no site file":       func(o *generateOptions) { o.Site = "" },
		"a site file gone":   func(o *generateOptions) { o.Site = filepath.Join(folder, "none.toml") },
		"seed 0":             func(o *generateOptions) { o.Seed = 0 },
		"no days":            func(o *generateOptions) { o.Count = 0 },
		"too many days":      func(o *generateOptions) { o.Count = 1001 },
		"no folder":          func(o *generateOptions) { o.Out = "" },
		"a folder not there": func(o *generateOptions) { o.Out = filepath.Join(folder, "none") },
	} {
		options := right
		wrong(&options)
		if err := writeScenarios(options); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 0 {
		t.Errorf("written: %v, %v", entries, err)
	}
}
