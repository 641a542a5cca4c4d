package engine

import (
	"errors"
	"fmt"
	"net"
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

// NotRun reports whether err proves that a request did not run: it was never
// sent, or the engine itself refused it.
func NotRun(err error) bool {
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return true
	}
	var notFound *ryeford.NotFoundError
	if errors.As(err, &notFound) {
		return true
	}
	var engineErr *Error
	return errors.As(err, &engineErr) &&
		(engineErr.Status == http.StatusServiceUnavailable || engineErr.Status == http.StatusTooManyRequests)
}
