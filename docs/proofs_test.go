package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// testName matches the name of a test, fuzz target or benchmark on a page.
var testName = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z]*)")

// pagesWithTests are the pages that name tests as proofs of what they say today.
var pagesWithTests = []string{"proofs.md", "findings.md"}

// TestNamedTests checks that each test that a page names as a proof exists.
func TestNamedTests(t *testing.T) {
	tests := testNames(t)
	for _, page := range pagesWithTests {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range testName.FindAllStringSubmatch(string(content), -1) {
			if !tests[match[1]] {
				t.Errorf("%s names %s, which is in no test file", page, match[1])
			}
		}
	}
}

// testNames returns the names of all functions of all test files.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	assert.NilError(t, filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
				names[function.Name.Name] = true
			}
		}
		return nil
	}))
	return names
}
