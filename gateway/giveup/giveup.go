// Package giveup decides how a request ends that gets no response from an endpoint.
//
// Rule: the gateway responds with a status of its own that indicates whether the request may have
// run: 503 with a Retry-After only if no attempt can have run it, 502 or 504 if one may have. If
// part of a response has been sent, the connection is aborted. The Retry-After is computed in
// retryafter.go.
//
// Why: callers retry after a 503 even if the request must run only once, and a truncated
// response must not look complete.
//
// The package has no state and does no I/O. It uses the errors of the root package:
// NotRunError, MayHaveRunError and InputError.
package giveup

import (
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
)

// NotRun returns the error of a request that has not run. Its RetryAfter is the earliest time at
// which a retry may succeed, or zero if the configuration no longer allows the request.
func NotRun(reason ryeford.Reason) *ryeford.NotRunError {
	return &ryeford.NotRunError{Reason: reason, RetryAfter: minRetryAfter(reason)}
}

// Quarantined returns the error of a quarantined request: identical requests have ended the endpoints
// that ran them. left is how long the quarantine still lasts.
func Quarantined(left time.Duration) *ryeford.NotRunError {
	return &ryeford.NotRunError{Reason: ryeford.ReasonQuarantined, RetryAfter: left}
}

// Stopped returns the error of a request that ends before an endpoint has answered it: its
// deadline has passed, its caller has disconnected, or the router is shutting down.
func Stopped(reason ryeford.Reason, mayHaveRun bool) error {
	if mayHaveRun {
		return &ryeford.MayHaveRunError{Reason: reason}
	}
	return NotRun(reason)
}

// A Request is a request that ends without a response from an endpoint.
type Request struct {
	Err  error // why the request ends
	Last error // error of the last attempt, or nil
	// MayHaveRun reports that any of its attempts may have run.
	MayHaveRun bool
	// ResponseStarted reports that part of a response has been sent to the caller.
	ResponseStarted bool
	// UnavailableFor is how long all endpoints of the service remain ejected or back off; zero if one
	// of them does neither, or if there are none.
	UnavailableFor time.Duration
	// BackingOffFor is how long all of them back off; zero if one doesn't.
	BackingOffFor time.Duration
	// Unlisted reports that no listed endpoint of the service accepts requests.
	Unlisted bool
	// OverloadedFor is how long requests for the service have been refused because of load.
	OverloadedFor time.Duration
	Caller        Caller
	Recent        RecentCounts
}

// An Outcome is how a request ends.
type Outcome struct {
	// Err is the error to log. It is a *MayHaveRunError if the request may have run.
	Err error
	// Status is the HTTP status of the response, unless Abort is true.
	Status int
	// RetryAfter is the interval in which the caller should retry.
	RetryAfter RetryInterval
	// Reason is the code of the failure in logs and metrics.
	Reason string
	// Final reports that callers must not retry automatically, whatever the status is. Many of them
	// do so after a 503.
	Final bool
	// Abort reports that the caller's connection is aborted.
	Abort bool
}

// Decide returns how a request ends.
func Decide(r Request) Outcome {
	err := r.Err
	var notRun *ryeford.NotRunError
	if r.MayHaveRun && errors.As(err, &notRun) {
		// The last attempt has not run, but an earlier one may have.
		err = &ryeford.MayHaveRunError{Reason: notRun.Reason, Err: r.Last}
	}
	outcome := Outcome{Err: err, Status: statusOf(err), Reason: reasonOf(err), Abort: r.ResponseStarted}
	outcome.Final = outcome.Reason == string(ryeford.ReasonQuarantined)
	switch {
	case outcome.Status != http.StatusServiceUnavailable:
	case outcome.Final: // quarantined, not overloaded: there are no simultaneous retries to spread
		outcome.RetryAfter = RetryInterval{From: r.earliestRetry(), To: r.earliestRetry()}
	default:
		outcome.RetryAfter = retryInterval(r.earliestRetry(), r.OverloadedFor, r.Caller, r.Recent)
	}
	return outcome
}

// ClosesConnection reports whether the connection of a caller whose request was not
// admitted is closed after the response: the unread data may not be a request, or another
// router may have a configuration that is not stale.
func ClosesConnection(o *Outcome) bool {
	return o.Status == http.StatusRequestEntityTooLarge || o.Status == http.StatusBadRequest ||
		o.Reason == string(ryeford.ReasonStaleConfiguration)
}

// statusOf returns the HTTP status of a failure. MayHaveRunError is checked first, since it may
// wrap the NotRunError of a later attempt, which proves nothing about earlier ones.
func statusOf(err error) int {
	var input *ryeford.InputError
	var notRun *ryeford.NotRunError
	var mayHaveRun *ryeford.MayHaveRunError
	switch {
	case errors.As(err, &input) && input.Status != 0:
		return input.Status
	case errors.As(err, &input):
		return http.StatusBadRequest
	case errors.As(err, &mayHaveRun) && mayHaveRun.Reason == ryeford.ReasonDeadline:
		return http.StatusGatewayTimeout
	case errors.As(err, &mayHaveRun):
		return http.StatusBadGateway
	case errors.As(err, &notRun):
		return notRunStatus(notRun.Reason)
	}
	return http.StatusBadGateway
}

// notRunStatus returns the HTTP status of a request that has not run. If the
// configuration no longer allows the request, it is the status that a retry would get.
func notRunStatus(reason ryeford.Reason) int {
	switch reason {
	case ryeford.ReasonKeyRevoked:
		return http.StatusUnauthorized
	case ryeford.ReasonRouteRemoved:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// reasonOf returns the code of a failure.
func reasonOf(err error) string {
	var input *ryeford.InputError
	var notRun *ryeford.NotRunError
	var mayHaveRun *ryeford.MayHaveRunError
	switch {
	case errors.As(err, &input):
		return "input"
	case errors.As(err, &mayHaveRun):
		return string(mayHaveRun.Reason)
	case errors.As(err, &notRun):
		return string(notRun.Reason)
	}
	return "failure"
}

// PromisesNotRun reports whether callers infer from a status that a request has not run. An
// endpoint's response with such a status is not forwarded unless the endpoint states
// that it has not run the request.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
