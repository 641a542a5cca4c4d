package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// fileName matches a name in backquotes that is a file or folder of the module.
	fileName = regexp.MustCompile("`((?:[a-z]+/)+|(?:[a-z]+/)*[a-z]+\\.go)`")
	// whereClause matches the part of a decision that says where it stands.
	whereClause = regexp.MustCompile(`(?s)\*\*Where\*\*.*?(?:\n\n|\*\*Given\*\*|$)`)
	// namedCode matches a name in backquotes that may be declared in the code.
	namedCode = regexp.MustCompile("`(?:[A-Za-z]+\\.)?([A-Za-z]+)`")
	// tableFunction matches a function in a table of questions.
	tableFunction = regexp.MustCompile("`([A-Za-z.]+)` in `")
)

// TestNamedFiles checks that each Go file and folder that a page on the present code
// names exists. A file without its folder may be in any.
func TestNamedFiles(t *testing.T) {
	code := readCode(t)
	for _, page := range []string{"../README.md", "architecture.md", "OPERATIONS.md", "decisions.md", "decisions-gateway.md", "decisions-agents.md", "platform.md", "operators.md", "proofs.md"} {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range fileName.FindAllStringSubmatch(string(content), -1) {
			name := strings.TrimSuffix(match[1], "/")
			if !code.files[name] {
				t.Errorf("%s: there is no %s", page, match[1])
			}
		}
	}
}

// TestNamedFunctions checks that each function, type and field that the pages of
// decisions name as the place of a rule, and each function in the tables of questions of
// docs/OPERATIONS.md and docs/operators.md, is declared.
func TestNamedFunctions(t *testing.T) {
	code := readCode(t)
	for _, clause := range whereClause.FindAllString(decisionPages(t), -1) {
		for _, match := range namedCode.FindAllStringSubmatch(clause, -1) {
			if match[1] != "go" && !code.declared[match[1]] && !code.files[match[1]] {
				t.Errorf("decisions: nothing is called %s", match[0])
			}
		}
	}
	for _, page := range []string{"OPERATIONS.md", "operators.md"} {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		found := tableFunction.FindAllStringSubmatch(string(content), -1)
		assert.Assert(t, len(found) > 0, page)
		for _, match := range found {
			name := match[1][strings.LastIndexByte(match[1], '.')+1:]
			if !code.declared[name] {
				t.Errorf("%s: nothing is called %s", page, match[1])
			}
		}
	}
}

// A codeNames holds the names of a module's code, tests apart.
type codeNames struct {
	files    map[string]bool // folders, and files with and without their folder
	declared map[string]bool // what is declared outside of functions, and fields
}

// readCode reads the names of the module's code.
func readCode(t *testing.T) *codeNames {
	t.Helper()
	names := &codeNames{files: make(map[string]bool), declared: make(map[string]bool)}
	root := os.DirFS("..")
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(name, ".") && name != ".":
			return fs.SkipDir
		case entry.IsDir():
			names.files[name] = true
			names.files[path.Base(name)] = true
		case path.Ext(name) == ".go" && !strings.HasSuffix(name, "_test.go"):
			names.files[name] = true
			names.files[path.Base(name)] = true
			file, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", name), nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			names.addDeclared(file)
		}
		return nil
	})
	assert.NilError(t, err)
	return names
}

// addDeclared adds the names that a file declares outside of functions' bodies.
func (n *codeNames) addDeclared(file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			n.declared[node.Name.Name] = true
			return false
		case *ast.TypeSpec:
			n.declared[node.Name.Name] = true
		case *ast.ValueSpec:
			n.addNames(node.Names)
		case *ast.Field:
			n.addNames(node.Names)
		}
		return true
	})
}

// addNames adds some declared names.
func (n *codeNames) addNames(identifiers []*ast.Ident) {
	for _, identifier := range identifiers {
		n.declared[identifier.Name] = true
	}
}
