package engine

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/ryeford/ryeford"
)

// An Error is a failed call of an engine or a service.
type Error struct {
	Op     string // what failed; the path of a call
	Status int    // the HTTP status, if there was a response
	Err    error  // nil if the status is the failure
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine: %s: status %d", e.Op, e.Status)
	}
	return fmt.Sprintf("engine: %s: %v", e.Op, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

func statusError(op string, status int) error {
	switch status {
	case http.StatusNotFound:
		return &ryeford.NotFoundError{Kind: "engine resource", Name: op}
	case http.StatusPreconditionFailed:
		return &ryeford.FenceError{}
	}
	return &Error{Op: op, Status: status}
}

// NotRun reports whether err, of the first call of an attempt, proves that the
// attempt did not run: the connection was not made, or the engine refused it
// because it is full (429, 503) or does not know the model (404). A connection that
// broke later proves nothing.
//
// The gateway's rule only looks the same: its endpoints state in a header that a
// request did not run, and neither 429, 503 nor 404 proves it without that.
func NotRun(err error) bool {
	if netErr, ok := errors.AsType[*net.OpError](err); ok && netErr.Op == "dial" {
		return true
	}
	if _, ok := errors.AsType[*ryeford.NotFoundError](err); ok {
		return true
	}
	engineErr, ok := errors.AsType[*Error](err)
	return ok &&
		(engineErr.Status == http.StatusServiceUnavailable || engineErr.Status == http.StatusTooManyRequests)
}
