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
	exitNotRun   = 4 // refused or unavailable; nothing was done
	exitUnknown  = 5 // it may have been done
	exitMissed   = 6 // a replay missed a stated outcome
)

// A UsageError says what is wrong with the arguments.
type UsageError struct {
	Problem string
}

func (e *UsageError) Error() string { return e.Problem }

// A MissedError says which stated outcomes a replay missed.
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
		return exitCodeOfRun(failure.Ran)
	case !errors.As(err, &operatorErr):
		return exitFailure
	case operatorErr.Status == http.StatusConflict:
		return exitConflict
	case operatorErr.Status == http.StatusBadRequest:
		return exitUsage
	}
	return exitCodeOfRun(operatorErr.Ran)
}

// exitCodeOfRun returns the exit code of a failure whose answer says whether the
// request has run.
func exitCodeOfRun(ran string) int {
	if ran == caller.RunNot {
		return exitNotRun
	}
	return exitUnknown
}
