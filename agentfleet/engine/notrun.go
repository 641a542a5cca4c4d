package engine

import (
	"errors"
	"net"
	"net/http"

	"github.com/ryeford/ryeford"
)

// NotRun reports whether err, of the first call of an attempt, proves that the
// attempt did not run: the connection was not made, or the engine refused it
// because it is full (429, 503) or does not know the model (404). A connection that
// broke later proves nothing.
//
// The gateway's rule only looks the same: its endpoints state in a header that a
// request did not run, and neither 429, 503 nor 404 proves it without that.
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
