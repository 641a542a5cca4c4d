package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A goFile is a parsed Go file.
type goFile struct {
	content []byte
	set     *token.FileSet
	syntax  *ast.File
}

// goFiles returns the Go files of a folder of the module, tests apart. There are none if
// there is no such folder.
func goFiles(t *testing.T, folder string) []goFile {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("..", filepath.FromSlash(folder), "*.go"))
	assert.NilError(t, err)
	var files []goFile
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		content, err := os.ReadFile(name)
		assert.NilError(t, err)
		set := token.NewFileSet()
		syntax, err := parser.ParseFile(set, name, content, parser.SkipObjectResolution|parser.ParseComments)
		assert.NilError(t, err)
		files = append(files, goFile{content: content, set: set, syntax: syntax})
	}
	return files
}
