package cmd

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/operator"
	"github.com/ryeford/ryeford/settings"
)

// TestExitCode checks the exit code of each kind of error, also if it is wrapped: scripts
// rely on them.
func TestExitCode(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want int
	}{
		{"wrong arguments", &UsageError{}, 2},
		{"wrong settings", &settings.Error{Err: errors.New("no such file")}, 2},
		{"wrong input", &ryeford.InputError{}, 2},
		{"another operator was first", &operator.Error{Status: 409, Ran: "not_run"}, 3},
		{"an operator's input is wrong", &operator.Error{Status: 400, Ran: "not_run"}, 2},
		{"an operator's call was refused", &operator.Error{Status: 503, Ran: "not_run"}, 4},
		{"an operator's call may have run", &operator.Error{Status: 503, Ran: "unknown"}, 5},
		{"no router answered an operator", &operator.Error{Err: errors.New("refused")}, 5},
		{"a request was refused", &caller.Failure{Ran: "not_run"}, 4},
		{"a request may have run", &caller.Failure{Ran: "unknown"}, 5},
		{"a replay missed an outcome", &MissedError{}, 6},
		{"anything else", errors.New("disk full"), 1},
	} {
		assert.Equal(t, exitCode(test.err), test.want, test.name)
		assert.Equal(t, exitCode(fmt.Errorf("wrapped: %w", test.err)), test.want, test.name)
	}
}
