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
)

// standardMethods are methods whose meaning the standard library fixes.
var standardMethods = []string{"String", "Error"}

// uncommented lists the exported items of a file that have no doc comment, each as "line: name". As is the custom of the
// language, the comment of a block of constants or variables stands for its members.
func uncommented(set *token.FileSet, file *ast.File) []string {
	var out []string
	note := func(name *ast.Ident) {
		out = append(out, fmt.Sprintf("%d: %s", set.Position(name.Pos()).Line, name.Name))
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && hasExportedReceiver(d) && !isStandardMethod(d) {
				note(d.Name)
			}
		case *ast.GenDecl:
			for _, item := range d.Specs {
				for _, name := range uncommentedNames(d, item) {
					note(name)
				}
			}
		}
	}
	return out
}

// uncommentedNames lists the exported names of one item of a declaration where it has no comment. The comment of a
// block of types does not stand for its members.
func uncommentedNames(d *ast.GenDecl, item ast.Spec) []*ast.Ident {
	own := d.Doc != nil && (d.Tok != token.TYPE || !d.Lparen.IsValid())
	var names []*ast.Ident
	switch s := item.(type) {
	case *ast.TypeSpec:
		own = own || s.Doc != nil || s.Comment != nil
		names = []*ast.Ident{s.Name}
	case *ast.ValueSpec:
		own = own || s.Doc != nil || s.Comment != nil
		names = s.Names
	}
	if own {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(names), func(name *ast.Ident) bool { return !name.IsExported() })
}

// hasExportedReceiver says whether a function is no method, or one of an exported type.
func hasExportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}

func isStandardMethod(d *ast.FuncDecl) bool {
	return d.Recv != nil && slices.Contains(standardMethods, d.Name.Name)
}

// TestEveryExportedItemHasADocComment adds to the linter's checks, which see to the form of the comments that there are.
func TestEveryExportedItemHasADocComment(t *testing.T) {
	files := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil || ast.IsGenerated(file) {
			return err
		}
		files++
		for _, missing := range uncommented(set, file) {
			t.Errorf("%s:%s has no doc comment", path, missing)
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

// The broken variants that uncommented has to see, and what it has to let pass.
func TestUncommentedItemsAreSeen(t *testing.T) {
	for source, want := range map[string]int{
		"func F() {}":     1,
		"type T struct{}": 1,
		"const C = 1":     1,
		"var A, B = 1, 2": 2,
		"const (\n\tC = 1\n\t// D is.\n\tD = 2\n)":         1,
		"// Group.\ntype (\n\tT int\n)":                    1,
		"// T is.\ntype T int\nfunc (T) M() {}":            1,
		"// T is.\ntype T[E any] int\nfunc (*T[E]) M() {}": 1,
		"func String() {}":                                 1,

		"// F does.\nfunc F() {}":                             0,
		"// C is.\nconst C = 1":                               0,
		"const (\n\t// C is.\n\tC = 1\n\tD = 2 // D is.\n)":   0,
		"type t int\nfunc (t) M() {}":                         0,
		"// T is.\ntype T int\nfunc (T) String() string {\n}": 0,
		"// Group.\nconst (\n\tC = 1\n\tD = 2\n)":             0,
		"func f() {}\nvar a = 1":                              0,
	} {
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, "x.go", "package x\n\n"+source, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		if got := uncommented(set, file); len(got) != want {
			t.Errorf("%q: found %v, want %d", source, got, want)
		}
	}
}
