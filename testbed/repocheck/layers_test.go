package repocheck

import (
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "github.com/cresspond/cresspond"

// layers lists the folders of the production packages, the lowest layer first. A package may import its own layer and
// those below it. The testbed stands aside: it may import everything, and nothing imports it.
var layers = [][]string{
	{"actor", "clock", "ident"},
	{"configuration"},
	{"wire"},
	{"process"},
	{"request"},
	{"connection"},
	{"platform", "daemon"},
	{"cmd"},
}

// outsideLayers lists the folders whose packages belong to no layer.
var outsideLayers = []string{"testbed"}

// knownUpward lists the imports that run upward and are known to, as "importer -> imported"; there shall be none.
var knownUpward []string

// layerOf gives the layer of a package by its path within the module.
func layerOf(pkg string) (int, bool) {
	for level, folders := range layers {
		if slices.ContainsFunc(folders, func(folder string) bool { return within(pkg, folder) }) {
			return level, true
		}
	}
	return 0, false
}

// within says whether a package is the folder's or below it.
func within(pkg, folder string) bool { return pkg == folder || strings.HasPrefix(pkg, folder+"/") }

func outside(pkg string) bool {
	return slices.ContainsFunc(outsideLayers, func(folder string) bool { return within(pkg, folder) })
}

// layerFaults lists what is wrong with the imports of each package, all by their paths within the module.
func layerFaults(imports map[string][]string, known []string) []string {
	var faults []string
	seen := map[string]bool{}
	for importer, imported := range imports {
		level, placed := layerOf(importer)
		if !placed {
			faults = append(faults, importer+" stands in no layer")
			continue
		}
		for _, pkg := range imported {
			arrow := importer + " -> " + pkg
			importedLevel, importedPlaced := layerOf(pkg)
			switch {
			case importedPlaced && importedLevel <= level:
			case slices.Contains(known, arrow):
				seen[arrow] = true
			default:
				faults = append(faults, arrow+" runs upward or out of the layers")
			}
		}
	}
	for _, arrow := range known {
		if !seen[arrow] {
			faults = append(faults, arrow+" is listed as known and no longer there")
		}
	}
	slices.Sort(faults)
	return faults
}

// productionImports reads which packages of the module each production package imports. Packages without Go files that
// are no tests, such as those of a test alone, are left out.
func productionImports(t *testing.T) map[string][]string {
	t.Helper()
	imports := map[string][]string{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if relative != "." && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata" || outside(filepath.ToSlash(relative))) {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		pkg := filepath.ToSlash(filepath.Dir(relative))
		found, err := moduleImports(path)
		imports[pkg] = append(imports[pkg], found...)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return imports
}

// moduleImports lists the packages of the module that a file imports, by their paths within the module.
func moduleImports(path string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		if pkg, own := strings.CutPrefix(imported, modulePath+"/"); own {
			out = append(out, pkg)
		}
	}
	return out, nil
}

func TestImportsRunDownward(t *testing.T) {
	imports := productionImports(t)
	for _, folders := range layers {
		for _, folder := range folders {
			if !slices.ContainsFunc(slices.Collect(maps.Keys(imports)), func(pkg string) bool { return within(pkg, folder) }) {
				t.Errorf("no package was read in %s", folder)
			}
		}
	}
	for _, fault := range layerFaults(imports, knownUpward) {
		t.Error(fault)
	}
}

// TestBrokenLayersAreSeen has one import or package wrong in each case.
func TestBrokenLayersAreSeen(t *testing.T) {
	for _, test := range []struct {
		name    string
		imports map[string][]string
		known   []string
		want    string
	}{
		{name: "downward and sideways", imports: map[string][]string{
			"cmd/cresspond":           {"daemon", "wire/operatorapi", "cmd/internal/application"},
			"process/rollout":         {"process/consensus/statemachine", "configuration/document", "actor"},
			"configuration/document":  {"ident"},
			"connection/sessionapi":   {"request/dispatch"},
			"platform":                {"daemon"},
			"process/rollout/special": nil,
		}},
		{name: "configuration above wire", imports: map[string][]string{"configuration/document": {"wire/operatorapi"}}, want: "configuration/document -> wire/operatorapi runs upward or out of the layers"},
		{name: "wire above process", imports: map[string][]string{"wire/operatorapi": {"process/consensus/statemachine"}}, want: "wire/operatorapi -> process/consensus/statemachine runs upward or out of the layers"},
		{name: "process above request", imports: map[string][]string{"process/rollout": {"request/dispatch"}}, want: "process/rollout -> request/dispatch runs upward or out of the layers"},
		{name: "request above connection", imports: map[string][]string{"request/dispatch": {"connection/gateway"}}, want: "request/dispatch -> connection/gateway runs upward or out of the layers"},
		{name: "connection above daemon", imports: map[string][]string{"connection/gateway": {"daemon"}}, want: "connection/gateway -> daemon runs upward or out of the layers"},
		{name: "the lowest layer above anything", imports: map[string][]string{"clock": {"configuration/document"}}, want: "clock -> configuration/document runs upward or out of the layers"},
		{name: "anything above the testbed", imports: map[string][]string{"cmd/cresspond": {"testbed/scenario"}}, want: "cmd/cresspond -> testbed/scenario runs upward or out of the layers"},
		{name: "a package in no layer", imports: map[string][]string{"helpers": nil}, want: "helpers stands in no layer"},
		{name: "a folder that only begins like a layer", imports: map[string][]string{"wirehelpers": {"ident"}}, want: "wirehelpers stands in no layer"},
		{name: "a known import", imports: map[string][]string{"wire/a": {"process/b"}}, known: []string{"wire/a -> process/b"}},
		{name: "a known import of another package", imports: map[string][]string{"wire/a": {"process/b", "process/c"}}, known: []string{"wire/a -> process/b"}, want: "wire/a -> process/c runs upward or out of the layers"},
		{name: "a known import that is gone", imports: map[string][]string{"wire/a": nil}, known: []string{"wire/a -> process/b"}, want: "wire/a -> process/b is listed as known and no longer there"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := strings.Join(layerFaults(test.imports, test.known), "; "); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
