package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// link matches a link of a page to another page or a heading, and not to the web.
	link = regexp.MustCompile(`\]\(([^):#]*)(?:#([^)]*))?\)`)
	// heading matches a heading of a page.
	heading = regexp.MustCompile(`(?m)^#+ (.*)$`)
	// notInAnchor matches what an anchor leaves out of its heading.
	notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// TestLinks checks that each link between the pages leads to a file, and to a heading in
// it if the link names one.
func TestLinks(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"../*.md", "*.md", "incidents/*.md"} {
		found, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		pages = append(pages, found...)
	}
	for _, page := range pages {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range link.FindAllStringSubmatch(string(content), -1) {
			target := page
			if match[1] != "" {
				target = filepath.Join(filepath.Dir(page), match[1])
			}
			if !leads(target, match[2]) {
				t.Errorf("%s: %s leads nowhere", page, match[0])
			}
		}
	}
}

// leads reports whether a file exists and has a heading with the anchor, if that is
// not empty.
func leads(file, anchor string) bool {
	if anchor == "" {
		_, err := os.Stat(file)
		return err == nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	for _, match := range heading.FindAllStringSubmatch(string(content), -1) {
		if anchorOf(match[1]) == anchor {
			return true
		}
	}
	return false
}

// anchorOf returns the anchor of a heading.
func anchorOf(heading string) string {
	return strings.ReplaceAll(notInAnchor.ReplaceAllString(strings.ToLower(heading), ""), " ", "-")
}
