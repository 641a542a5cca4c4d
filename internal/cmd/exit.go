package cmd

import (
	"errors"
	"net/http"
	"strings"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/operator"
	"github.com/ryeford/ryeford/settings"
)

// The program's exit codes. docs/interfaces.md lists them for users.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2 // wrong arguments, settings or input
	exitConflict = 3 // another operator changed the same template first
	exitNotRun   = 4 // refused or unavailable; nothing was carried out
	exitUnknown  = 5 // the request may have been carried out
	exitMissed   = 6 // a replay missed an expected outcome
)

// A UsageError reports invalid arguments.
type UsageError struct {
	Problem string
}

func (e *UsageError) Error() string { return e.Problem }

// A MissedError lists the expected outcomes that a replay missed.
type MissedError struct {
	Missed []string
}

func (e *MissedError) Error() string { return "missed: " + strings.Join(e.Missed, "; ") }

func exitCode(err error) int {
	var usage *UsageError
	var settingsErr *settings.Error
	var input *ryeford.InputError
	var missed *MissedError
	var operatorErr *operator.Error
	var failure *caller.Failure
	switch {
	case errors.As(err, &usage), errors.As(err, &settingsErr), errors.As(err, &input):
		return exitUsage
	case errors.As(err, &missed):
		return exitMissed
	case errors.As(err, &failure):
		return exitCodeFor(failure.Ran)
	case !errors.As(err, &operatorErr):
		return exitFailure
	case operatorErr.Status == http.StatusConflict:
		return exitConflict
	case operatorErr.Status == http.StatusBadRequest:
		return exitUsage
	}
	return exitCodeFor(operatorErr.Ran)
}

// exitCodeFor returns the exit code of a failed request, given whether it has run.
func exitCodeFor(ran string) int {
	if ran == caller.RunNot {
		return exitNotRun
	}
	return exitUnknown
}
