package docs

import (
	"io/fs"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// history matches what belongs on the pages and into commits, not into comments: commits,
// incidents, issues, dates.
var history = regexp.MustCompile(`\bcommit [0-9a-f]{7}|\([0-9a-f]{7}\)|\bincident inc|\binc-[0-9a-f]{4}|\bissue [0-9]|\b20[0-9]{2}-[0-9]{2}-[0-9]{2}\b|\bbench\b`)

// tuning matches what tells whether or how a constant was measured or set.
var tuning = regexp.MustCompile(`(?i)\bnot\s+(?://\s*)?measured\b|\bnone is measured\b|\bset by:? (?:the )?(?:runs?|simulation)\b|\b(?:was|were) tried[.;,]|\bmade no (?:clear )?difference\b`)

// TestCommentsWithoutHistory checks that comments of the code, tests apart, name neither
// commits, incidents, issues and dates nor the bench, and tell no constant's tuning.
func TestCommentsWithoutHistory(t *testing.T) {
	walked := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if name := entry.Name(); name == "journal" || name == "target" || name == ".git" {
			return filepath.SkipDir
		}
		folder, err := filepath.Rel("..", path)
		assert.NilError(t, err)
		for _, file := range goFiles(t, filepath.ToSlash(folder)) {
			walked++
			checkComments(t, file)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, walked > 100, "the module's files were not found")
}

// checkComments reports what is history in the comments of a file.
func checkComments(t *testing.T, file goFile) {
	t.Helper()
	for _, group := range file.syntax.Comments {
		if found := tuning.FindString(group.Text()); found != "" {
			t.Errorf("%s: %q in a comment", file.set.Position(group.Pos()), found)
		}
		for _, comment := range group.List {
			if found := history.FindString(comment.Text); found != "" {
				t.Errorf("%s: %q in a comment", file.set.Position(comment.Pos()), found)
			}
		}
	}
}
