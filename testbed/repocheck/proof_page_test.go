// Package repocheck holds docs/proof.md to what there is.
package repocheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/testbed/checker"
	platformchecker "github.com/cresspond/cresspond/testbed/platformtest/checker"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	platformscenario "github.com/cresspond/cresspond/testbed/platformtest/scenario"
	"github.com/cresspond/cresspond/testbed/scenario"
)

const root = "../.."

// tests lists the names of all tests of both modules.
func tests(t *testing.T) map[string]bool {
	t.Helper()
	declared := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	out := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, found := range declared.FindAllStringSubmatch(string(text), -1) {
			out[found[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestProofPageNamesExistingTestsScenariosAndRules(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "docs", "proof.md"))
	if err != nil {
		t.Fatal(err)
	}
	page, known := string(text), tests(t)
	for _, name := range regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(page, -1) {
		if !known[name] {
			t.Errorf("there is no test %s", name)
		}
	}
	for _, name := range scenario.Names() {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("scenario %s is not named", name)
		}
	}
	// A word in backticks beside "scenario" must be one.
	for _, found := range regexp.MustCompile("scenario `(\\w+)`").FindAllStringSubmatch(page, -1) {
		if !slices.Contains(scenario.Names(), found[1]) {
			t.Errorf("there is no scenario %s", found[1])
		}
	}
	for _, name := range platformscenario.Names() {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("fault %s is not named", name)
		}
	}
	for _, finding := range platformchecker.CheckAll(&history.History{}, platformchecker.Bounds{}) {
		if rule, _, _ := strings.Cut(finding.Rule, " "); !strings.Contains(page, rule) {
			t.Errorf("the rule %s is not named", finding.Rule)
		}
	}
	flat := strings.Join(strings.Fields(page), " ")
	for _, finding := range checker.Check(&checker.History{}) {
		if !strings.Contains(flat, `"`+finding.Rule+`"`) {
			t.Errorf("the rule %q is not named", finding.Rule)
		}
	}
}
