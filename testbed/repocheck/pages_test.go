package repocheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// historicPages tell what was at their time, so the names on them may be gone.
var historicPages = []string{"docs/incidents", "docs/measurements"}

var (
	quotedCode = regexp.MustCompile("`[^`\n]+`")
	// methodName matches pkg.(*Type).Method and (*Type).Method, function matches pkg.Function.
	methodName    = regexp.MustCompile(`^(?:(\w+)\.)?\(\*?(\w+)\)\.(\w+)$`)
	functionName  = regexp.MustCompile(`^([a-z]\w*)\.([A-Z]\w*)$`)
	mixedCase     = regexp.MustCompile(`^[a-z]+[A-Z]\w*$`)
	mixedCaseWord = regexp.MustCompile(`\b[a-z]+[A-Z]\w*`)
	fileName      = regexp.MustCompile(`^[a-z0-9]\w*\.go$`)
	pageLink      = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
)

// declarations is what the sources declare: names by package, and all of them.
type declarations struct {
	byPackage map[string]map[string]bool
	names     map[string]bool
	// files holds the names of all source files, without their folders.
	files map[string]bool
	// literals holds the words of string literals and tags: names of the wire and of settings.
	literals map[string]bool
}

// declared reads the declarations of both modules.
func declared(t *testing.T) declarations {
	t.Helper()
	all := declarations{byPackage: map[string]map[string]bool{}, names: map[string]bool{}, files: map[string]bool{}, literals: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		all.files[entry.Name()] = true
		names := all.byPackage[file.Name.Name]
		if names == nil {
			names = map[string]bool{}
			all.byPackage[file.Name.Name] = names
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch found := node.(type) {
			case *ast.Ident:
				names[found.Name], all.names[found.Name] = true, true
			case *ast.BasicLit:
				for _, word := range mixedCaseWord.FindAllString(found.Value, -1) {
					all.literals[word] = true
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// missing says what a page's quoted code names that is not there, or nothing.
func (d declarations) missing(code string) string {
	code = strings.TrimSuffix(code, "()")
	if found := methodName.FindStringSubmatch(code); found != nil {
		names := d.names
		if found[1] != "" {
			names = d.byPackage[found[1]]
		}
		if !names[found[2]] || !names[found[3]] {
			return code
		}
		return ""
	}
	if found := functionName.FindStringSubmatch(code); found != nil {
		names, known := d.byPackage[found[1]]
		if known && !names[found[2]] {
			return code
		}
		return ""
	}
	if mixedCase.MatchString(code) {
		if !d.names[code] && !d.literals[code] {
			return code
		}
		return ""
	}
	if fileName.MatchString(code) {
		if !d.files[code] {
			return code
		}
		return ""
	}
	folder, _, nested := strings.Cut(code, "/")
	if !nested || !slices.Contains(topFolders, folder) || strings.ContainsAny(code, " *…{<") {
		return ""
	}
	if _, err := os.Stat(filepath.Join(root, code)); err != nil {
		return code
	}
	return ""
}

// topFolders are those whose paths the pages name.
var topFolders = []string{"actor", "clock", "cmd", "configuration", "connection", "daemon", "deploy", "docs", "ident", "platform", "process", "request", "testbed", "wire"}

// pages lists the Markdown pages of the project, by their path from its root.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{"README.md", "DEVELOPERS.md"}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			relative, _ := filepath.Rel(root, path)
			found = append(found, filepath.ToSlash(relative))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func isHistoric(page string) bool {
	return slices.ContainsFunc(historicPages, func(folder string) bool { return strings.HasPrefix(page, folder+"/") })
}

func TestPagesNameWhatTheSourcesDeclare(t *testing.T) {
	sources := declared(t)
	for _, page := range pages(t) {
		if isHistoric(page) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, quoted := range quotedCode.FindAllString(string(text), -1) {
			if gone := sources.missing(strings.Trim(quoted, "`")); gone != "" {
				t.Errorf("%s names %s, which is not there", page, gone)
			}
		}
	}
}

func TestLinksOfPagesLeadSomewhere(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, link := range pageLink.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(root, filepath.Dir(page), link[1])); err != nil {
				t.Errorf("%s links to %s, which is not there", page, link[1])
			}
		}
	}
}

func TestMissingNamesOfPagesAreSeen(t *testing.T) {
	sources := declarations{
		byPackage: map[string]map[string]bool{"raft": {"Core": true, "step": true}},
		names:     map[string]bool{"Core": true, "step": true},
		files:     map[string]bool{"core.go": true},
		literals:  map[string]bool{"seatIdleMs": true},
	}
	tests := map[string]bool{
		"raft.Core": false, "raft.Gone": true, "other.Name": false,
		"raft.(*Core).step": false, "raft.(*Core).gone": true, "(*Gone).step": true, "raft.(*Core).step()": false,
		"gone.(*Core).step": true, "core.go": false, "gone.go": true, "seatIdleMs": false, "goneName": true,
		"process": false, "testbed/repocheck": false, "testbed/gone": true, "daemon/gone.go": true, "a/b": false,
	}
	for code, want := range tests {
		t.Run(code, func(t *testing.T) {
			if gone := sources.missing(code); (gone != "") != want {
				t.Errorf("%q: %q", code, gone)
			}
		})
	}
}
