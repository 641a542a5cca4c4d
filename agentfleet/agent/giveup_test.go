package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/settings"
)

func TestStallLimit(t *testing.T) {
	limits := &settings.AgentLimits{FirstToken: 4 * time.Second, BetweenTokens: 2 * time.Second}
	assert.Equal(t, stallLimit(limits, false), 4*time.Second)
	assert.Equal(t, stallLimit(limits, true), 2*time.Second)
}

func TestMayResume(t *testing.T) {
	for _, test := range []struct {
		rule      string
		notRun    bool
		resumes   int
		cancelled bool
		want      bool
	}{
		{"a broken stream is resumed", false, 0, false, true},
		{"as often as allowed", false, maxResumes - 1, false, true},
		{"and not once more", false, maxResumes, false, false},
		{"a run that did not start has no rest", true, 0, false, false},
		{"a cancelled one is not wanted", false, 0, true, false},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, mayResume(&streamError{notRun: test.notRun}, test.resumes, test.cancelled), test.want)
		})
	}
}
