// Package docs holds the tests that keep the pages true to the code.
package docs

import (
	"go/ast"
	"go/printer"
	"go/token"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// constantRow matches a row of the pages of decisions on a constant: its name as
// folder.name, and its value as the code writes it.
var constantRow = regexp.MustCompile("(?m)^\\| `([a-z/]+)\\.([A-Za-z]+)` \\| `([^`]+)` \\|")

// TestDecisionConstants checks that each constant that the pages of decisions name has
// the value there that it has in the code.
func TestDecisionConstants(t *testing.T) {
	folders := make(map[string]map[string]string)
	for _, match := range constantRow.FindAllStringSubmatch(decisionPages(t), -1) {
		folder, name, want := match[1], match[2], match[3]
		if folders[folder] == nil {
			folders[folder] = constants(t, folder)
		}
		got, ok := folders[folder][name]
		if !ok {
			t.Errorf("%s has no constant %s", folder, name)
			continue
		}
		if got != want {
			t.Errorf("%s.%s is %s in the code, %s on the page", folder, name, got, want)
		}
	}
}

// decisionPages returns the pages with the rules, one after the other.
func decisionPages(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, name := range []string{"decisions-gateway.md", "decisions-agents.md"} {
		page, err := os.ReadFile(name)
		assert.NilError(t, err)
		all.Write(page)
	}
	return all.String()
}

// TestDecisionIndex checks that decisions.md leads to each rule, and that the pages with the
// rules have constants at all.
func TestDecisionIndex(t *testing.T) {
	index, err := os.ReadFile("decisions.md")
	assert.NilError(t, err)
	pages := decisionPages(t)
	assert.Assert(t, len(constantRow.FindAllString(pages, -1)) > 100)
	for _, match := range regexp.MustCompile(`(?m)^## (.*)$`).FindAllStringSubmatch(pages, -1) {
		assert.Assert(t, strings.Contains(string(index), "["+match[1]+"]"), match[1])
	}
}

// constants returns the constants of a folder's Go files, tests apart: each one's
// expression as the code writes it, by name.
func constants(t *testing.T, folder string) map[string]string {
	t.Helper()
	result := make(map[string]string)
	for _, file := range goFiles(t, folder) {
		for _, declaration := range file.syntax.Decls {
			group, ok := declaration.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			for _, spec := range group.Specs {
				addConstants(t, result, file.set, spec.(*ast.ValueSpec))
			}
		}
	}
	return result
}

// addConstants adds the constants of one declaration.
func addConstants(t *testing.T, result map[string]string, set *token.FileSet, spec *ast.ValueSpec) {
	t.Helper()
	for i, name := range spec.Names {
		if i >= len(spec.Values) {
			continue // repeats the expression before it, as with iota
		}
		var text strings.Builder
		assert.NilError(t, printer.Fprint(&text, set, spec.Values[i]))
		result[name.Name] = text.String()
	}
}
