package engine

import (
	"errors"
	"net"
	"net/http"

	"github.com/ryeford/ryeford"
)

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
