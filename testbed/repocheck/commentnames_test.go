package repocheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode"
)

// misnamedComments lists the declarations whose comment begins with the name of something else, each as
// "line: NAME is described as WORD". A comment that begins with a lower-case letter begins with a name, so a rename
// that passed the comment over shows here.
func misnamedComments(set *token.FileSet, file *ast.File) []string {
	var misnamed []string
	check := func(comment *ast.CommentGroup, names ...*ast.Ident) {
		word := firstWord(comment)
		if word == "" || !unicode.IsLower(rune(word[0])) {
			return
		}
		if slices.ContainsFunc(names, func(name *ast.Ident) bool { return name.Name == word }) {
			return
		}
		misnamed = append(misnamed, fmt.Sprintf("%d: %s is described as %s", set.Position(names[0].Pos()).Line, names[0].Name, word))
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch declared := node.(type) {
		case *ast.FuncDecl:
			check(declared.Doc, declared.Name)
		case *ast.GenDecl:
			if spec, ok := onlyTypeSpec(declared); ok {
				check(declared.Doc, spec.Name)
			}
			return true
		case *ast.TypeSpec:
			check(declared.Doc, declared.Name)
		case *ast.ValueSpec:
			check(declared.Doc, declared.Names...)
		case *ast.Field:
			if len(declared.Names) > 0 {
				check(declared.Doc, declared.Names...)
			}
		}
		return true
	})
	return misnamed
}

// onlyTypeSpec gives the one type that a declaration without parentheses declares.
func onlyTypeSpec(declared *ast.GenDecl) (*ast.TypeSpec, bool) {
	if declared.Tok != token.TYPE || len(declared.Specs) != 1 {
		return nil, false
	}
	spec, ok := declared.Specs[0].(*ast.TypeSpec)
	return spec, ok
}

// firstWord gives the first word of a comment without what punctuation follows it, or nothing.
func firstWord(comment *ast.CommentGroup) string {
	words := strings.Fields(comment.Text())
	if len(words) == 0 {
		return ""
	}
	return strings.TrimRight(words[0], ",.:;'")
}

func TestCommentsBeginWithTheNameTheyDescribe(t *testing.T) {
	files := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil || ast.IsGenerated(file) {
			return err
		}
		files++
		for _, misnamed := range misnamedComments(set, file) {
			t.Errorf("%s:%s", path, misnamed)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 100 {
		t.Errorf("only %d files were read", files)
	}
}

func TestMisnamedCommentsAreSeen(t *testing.T) {
	tests := map[string]struct {
		source string
		want   int
	}{
		"function":             {"// old does.\nfunc name() {}", 1},
		"type":                 {"// old is.\ntype name int", 1},
		"type in a group":      {"type (\n\t// old is.\n\tname int\n)", 1},
		"constant":             {"const (\n\t// old is.\n\tname = 1\n)", 1},
		"field":                {"type T struct {\n\t// old is.\n\tname int\n}", 1},
		"interface's method":   {"type T interface {\n\t// old does.\n\tname()\n}", 1},
		"function, right":      {"// name does.\nfunc name() {}", 0},
		"sentence":             {"// The name does.\nfunc name() {}", 0},
		"second of two fields": {"type T struct {\n\t// b is, a too.\n\ta, b int\n}", 0},
		"name and comma":       {"// name, too.\nfunc name() {}", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, "p.go", "package p\n"+test.source, parser.ParseComments)
			if err != nil {
				t.Fatal(err)
			}
			if got := misnamedComments(set, file); len(got) != test.want {
				t.Errorf("%q: %v, and not %d", test.source, got, test.want)
			}
		})
	}
}
