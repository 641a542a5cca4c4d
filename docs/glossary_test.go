package docs

import (
	"go/ast"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// rootFolder is how the glossary writes the module's root folder.
const rootFolder = "ryeford"

var (
	// glossaryRow matches a row of docs/glossary.md: its word and its last column.
	glossaryRow = regexp.MustCompile("(?m)^\\| ([^|`]+) \\|.*\\| ([^|]+) \\|$")
	// codeName matches a name of the code as folder.name.
	codeName = regexp.MustCompile("`([a-z/]+)\\.([A-Za-z]+)`")
)

// TestGlossary checks that the code still uses each word of docs/glossary.md: the names
// of its row exist, and the word is in the files of the first one's folder.
func TestGlossary(t *testing.T) {
	page, err := os.ReadFile("glossary.md")
	assert.NilError(t, err)
	rows := glossaryRow.FindAllStringSubmatch(string(page), -1)[1:] // without the head
	assert.Assert(t, len(rows) > 0)
	for _, row := range rows {
		word, names := row[1], codeName.FindAllStringSubmatch(row[2], -1)
		if len(names) == 0 {
			t.Errorf("%s: its row names nothing in the code", word)
			continue
		}
		for _, name := range names {
			if !codeOf(t, name[1]).identifiers[name[2]] {
				t.Errorf("%s: %s has no %s", word, name[1], name[2])
			}
		}
		if !strings.Contains(codeOf(t, names[0][1]).text, squeeze(word)) {
			t.Errorf("%s: %s does not use the word", word, names[0][1])
		}
	}
}

// code is what the Go files of a folder hold, tests apart.
type code struct {
	text        string // squeezed
	identifiers map[string]bool
}

// codeOf reads the files of a folder, as the glossary writes it.
func codeOf(t *testing.T, folder string) code {
	t.Helper()
	if folder == rootFolder {
		folder = "."
	}
	var text strings.Builder
	identifiers := make(map[string]bool)
	for _, file := range goFiles(t, folder) {
		text.Write(file.content)
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			if identifier, ok := node.(*ast.Ident); ok {
				identifiers[identifier.Name] = true
			}
			return true
		})
	}
	return code{text: squeeze(text.String()), identifiers: identifiers}
}

// squeeze returns a text in lower case without what a name leaves out of words: spaces,
// line ends with the signs of comments, and hyphens.
func squeeze(text string) string {
	return strings.NewReplacer(" ", "", "\n", "", "\t", "", "/", "", "-", "").Replace(strings.ToLower(text))
}
