package router

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestNextStepAfterFailure checks what follows each failure of a dispatch.
func TestNextStepAfterFailure(t *testing.T) {
	notRun := func(reason ryeford.Reason) error { return &ryeford.NotRunError{Reason: reason} }
	unknown := func(cause error) error {
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, Err: cause}
	}
	for _, test := range []struct {
		name       string
		err        error
		repeatable bool
		want       nextStep
	}{
		{"refused for load", notRun(ryeford.ReasonOverload), false, stepOverflow},
		{"refused for the share", notRun(ryeford.ReasonShare), false, stepOverflow},
		{"agent leaving", notRun(ryeford.ReasonLeaving), false, stepOverflow},
		{"agent not connected", notRun(ryeford.ReasonUnreachable), false, stepOverflow},
		{"too late for the agent", notRun(ryeford.ReasonExpired), false, stepOverflow},
		{"another engine has the prefix", notRun(ryeford.ReasonRedirect), true, stepFree},
		{"attempt abandoned", notRun(ryeford.ReasonTombstone), true, stepGiveUp},
		{"may have run, repeatable", unknown(nil), true, stepRetry},
		{"may have run, not repeatable", unknown(nil), false, stepGiveUp},
		{"unknown, caused by a refusal", unknown(notRun(ryeford.ReasonOverload)), false, stepGiveUp},
		{"any other error", errors.New("fault"), true, stepGiveUp},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, nextStepAfterFailure(test.err, test.repeatable), test.want)
		})
	}
}

// TestAllowsAnotherRound checks when the first candidate gets a second dispatch.
func TestAllowsAnotherRound(t *testing.T) {
	for _, test := range []struct {
		name   string
		last   error
		rounds int
		want   bool
	}{
		{"refused for load", &ryeford.NotRunError{Reason: ryeford.ReasonOverload}, 1, true},
		{"refused for load again", &ryeford.NotRunError{Reason: ryeford.ReasonOverload}, 2, false},
		{"above its share", &ryeford.NotRunError{Reason: ryeford.ReasonShare}, 1, false},
		{"may have run", &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable}, 1, false},
		{"no dispatch", nil, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, allowsAnotherRound(test.last, test.rounds), test.want)
		})
	}
}
