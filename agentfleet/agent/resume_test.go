package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/settings"
)

func TestStallTimeout(t *testing.T) {
	limits := &settings.AgentLimits{FirstToken: 4 * time.Second, BetweenTokens: 2 * time.Second}
	assert.Equal(t, stallTimeout(limits, false), 4*time.Second)
	assert.Equal(t, stallTimeout(limits, true), 2*time.Second)
}

func TestMayResume(t *testing.T) {
	for _, test := range []struct {
		rule      string
		call      *ryeford.Call
		notRun    bool
		resumes   int
		cancelled bool
		want      bool
	}{
		{"a broken stream is resumed", nil, false, 0, false, true},
		{"a run is resumed up to maxResumes times", nil, false, maxResumes - 1, false, true},
		{"a run is not resumed more than maxResumes times", nil, false, maxResumes, false, false},
		{"a run that did not start is not resumed", nil, true, 0, false, false},
		{"a cancelled run is not resumed", nil, false, 0, true, false},
		{"a call of a service is not resumed", &ryeford.Call{}, false, 0, false, false},
	} {
		t.Run(test.rule, func(t *testing.T) {
			d, failure := &wire.Dispatch{Call: test.call}, &streamError{notRun: test.notRun}
			assert.Equal(t, mayResume(d, failure, test.resumes, test.cancelled), test.want)
		})
	}
}
