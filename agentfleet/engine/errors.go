package engine

import (
	"fmt"
	"net/http"

	"github.com/ryeford/ryeford"
)

// An Error is a failed call of an engine or a service.
type Error struct {
	Op     string // what failed; the path of a call
	Status int    // the HTTP status, if there was a response
	Err    error  // nil if the status is the failure
}

// Error returns the text of e.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine: %s: status %d", e.Op, e.Status)
	}
	return fmt.Sprintf("engine: %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause of e.
func (e *Error) Unwrap() error { return e.Err }

// statusError returns the error that an engine's status stands for.
func statusError(op string, status int) error {
	switch status {
	case http.StatusNotFound:
		return &ryeford.NotFoundError{Kind: "engine resource", Name: op}
	case http.StatusPreconditionFailed:
		return &ryeford.FenceError{}
	}
	return &Error{Op: op, Status: status}
}
