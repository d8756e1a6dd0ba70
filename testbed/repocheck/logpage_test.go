package repocheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logMethods are the methods of a logger that write a line.
var logMethods = []string{"Debug", "Info", "Warn", "Error"}

// logLines lists the constant messages that a file logs.
func logLines(file *ast.File) []string {
	var lines []string
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains(logMethods, method.Sel.Name) {
			return true
		}
		if literal, ok := call.Args[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if message, err := strconv.Unquote(literal.Value); err == nil {
				lines = append(lines, message)
			}
		}
		return true
	})
	return lines
}

// TestEveryLogLineStandsOnItsPage holds docs/operators/logs.md to what the daemon and the programs log.
func TestEveryLogLineStandsOnItsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "operators", "logs.md"))
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, folder := range []string{"actor", "cmd", "configuration", "connection", "daemon", "platform", "process", "request"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, line := range logLines(file) {
				found++
				if !strings.Contains(string(page), "`"+line+"`") {
					t.Errorf("%s logs %q, which is not on the page", path, line)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if found < 20 {
		t.Errorf("only %d log lines were found", found)
	}
}

func TestLogLinesAreSeen(t *testing.T) {
	tests := map[string]struct {
		source string
		want   []string
	}{
		"a line":              {`func f() { log.Info("it began") }`, []string{"it began"}},
		"a line with a field": {`func f() { d.log.WithField("a", 1).Warn("it failed") }`, []string{"it failed"}},
		"no constant":         {`func f() { log.Info(kind.String()) }`, nil},
		"another call":        {`func f() { log.Flush("it") }`, nil},
		"an error's method":   {`func f() { t.Error("a", 1) }`, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file, err := parser.ParseFile(token.NewFileSet(), "p.go", "package p\n"+test.source, 0)
			if err != nil {
				t.Fatal(err)
			}
			if got := logLines(file); !slices.Equal(got, test.want) {
				t.Errorf("%q, and not %q", got, test.want)
			}
		})
	}
}
