package engine

import (
	"fmt"
	"net/http"

	"github.com/ryeford/ryeford"
)

// An Error is a failure to talk to an engine or a service.
type Error struct {
	Op     string
	Status int // the HTTP status, where there was an answer
	Err    error
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

// statusError returns the error that a status of an engine means.
func statusError(op string, status int) error {
	switch status {
	case http.StatusNotFound:
		return &ryeford.NotFoundError{Kind: "engine resource", Name: op}
	case http.StatusPreconditionFailed:
		return &ryeford.FenceError{}
	}
	return &Error{Op: op, Status: status}
}
