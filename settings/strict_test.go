package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// defaults has a function that returns the defaults of each kind of settings file, by
// the name of its example.
var defaults = map[string]func() any{
	"agent":    func() any { return DefaultAgent() },
	"gateway":  func() any { return DefaultGateway() },
	"router":   func() any { return DefaultRouter() },
	"standin":  func() any { return &Standin{} },
	"template": func() any { return DefaultTemplate() },
}

// keyAndValue matches a key with a scalar value.
var keyAndValue = regexp.MustCompile(`\b([a-z_]+): *([^ ,{}\[\]#\n]+)`)

// TestStrict checks the error for each example with one mistake: a missing line, a value
// of the wrong form or out of range, an unknown or duplicate key; and which of two missing
// keys is named. After an intended change, run go test ./settings -update and review the
// diff of the golden files.
func TestStrict(t *testing.T) {
	for kind, newDefaults := range defaults {
		t.Run(kind, func(t *testing.T) {
			content, err := os.ReadFile(filepath.Join(examples, kind+".yaml"))
			assert.NilError(t, err)
			var got strings.Builder
			for _, m := range mistakes(string(content)) {
				result := "accepted"
				if err := Parse([]byte(m.content), newDefaults()); err != nil {
					result = err.Error()
				}
				fmt.Fprintf(&got, "%s => %s\n", m.name, strings.ReplaceAll(result, "\n", " | "))
			}
			golden.Assert(t, got.String(), "strict-"+kind+".golden")
		})
	}
}

// A mistake is a variant of a settings file with an error in it.
type mistake struct{ name, content string }

// mistakes returns variants of a valid file, each with one mistake. The line that opens
// a block is never removed, since it is not deterministic which of the block's keys is
// then reported as unknown.
func mistakes(content string) []mistake {
	var all []mistake
	lines := strings.SplitAfter(content, "\n")
	for i, line := range lines {
		text, _, _ := strings.Cut(line, "#")
		text = strings.TrimSpace(text)
		if text == "" {
			continue
		}
		indent := strings.Repeat(" ", len(line)-len(strings.TrimLeft(line, " -")))
		all = append(all,
			mistake{fmt.Sprintf("line %d twice", i+1), replaceLine(lines, i, line+line)},
			mistake{fmt.Sprintf("line %d after an unknown key", i+1), replaceLine(lines, i, indent+"bogus: 1\n"+line)})
		if !strings.HasSuffix(text, ":") {
			all = append(all, mistake{fmt.Sprintf("line %d missing", i+1), replaceLine(lines, i, "")})
			all = append(all, missingPairs(lines, i)...)
		}
		for _, match := range keyAndValue.FindAllStringSubmatchIndex(text, -1) {
			begin := strings.Index(line, text)
			for _, value := range []string{"oops", "-1", "9999999999", "9999h", "[]", "null"} {
				all = append(all, mistake{
					fmt.Sprintf("line %d %s=%s", i+1, text[match[2]:match[3]], value),
					replaceLine(lines, i, line[:begin+match[4]]+value+line[begin+match[5]:]),
				})
			}
		}
	}
	return all
}

// missingPairs returns the variants that lack line i and a later one, both scalar values
// at the top level.
func missingPairs(lines []string, i int) []mistake {
	if strings.HasPrefix(lines[i], " ") {
		return nil
	}
	var all []mistake
	for other := i + 1; other < len(lines); other++ {
		if match := keyAndValue.FindStringIndex(lines[other]); match == nil || match[0] != 0 {
			continue
		}
		without := replaceLine(lines[:other], i, "") + strings.Join(lines[other+1:], "")
		all = append(all, mistake{fmt.Sprintf("lines %d and %d missing", i+1, other+1), without})
	}
	return all
}

// replaceLine returns the lines, joined, with line i replaced by text.
func replaceLine(lines []string, i int, text string) string {
	return strings.Join(lines[:i], "") + text + strings.Join(lines[i+1:], "")
}
