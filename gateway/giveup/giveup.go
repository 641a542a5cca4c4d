// Package giveup decides how a request ends that gets no response from an
// endpoint:
//
// A request is answered with a status of the gateway's own that says whether it may
// have run: 503 and a Retry-After only if no attempt can have run it, 502 or 504 if
// one may have. If part of a response has been sent, the connection is broken off. When
// callers are told to come back is in retryafter.go.
//
// The reason is that callers send a request again after 503 even if it must run
// only once; and that a broken response must not look complete.
//
// The package owns no state and does no I/O. It relies on the errors of the root
// package: NotRunError, MayHaveRunError and InputError.
package giveup

import (
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
)

// NotRun returns the error of a request that has not run for a reason, with the time
// after which a return makes sense. It is zero if none does.
func NotRun(reason ryeford.Reason) *ryeford.NotRunError {
	return &ryeford.NotRunError{Reason: reason, RetryAfter: returnAfter(reason)}
}

// Quarantined returns the error of a request that is held for a time since others that are the same
// have ended the endpoints that ran them.
func Quarantined(left time.Duration) *ryeford.NotRunError {
	return &ryeford.NotRunError{Reason: ryeford.ReasonQuarantined, RetryAfter: left}
}

// Stopped returns the error of a request that ends before an endpoint has answered it: its
// deadline has passed, its caller has gone, or the router stops.
func Stopped(reason ryeford.Reason, mayHaveRun bool) error {
	if mayHaveRun {
		return &ryeford.MayHaveRunError{Reason: reason}
	}
	return NotRun(reason)
}

// A Request is a request that ends without a response from an endpoint.
type Request struct {
	Err  error // why it ends
	Last error // how the last attempt ended, or nil
	// MayHaveRun says that any of its attempts may have run.
	MayHaveRun bool
	// Begun says that part of a response has been sent to the caller.
	Begun bool
	// Unavailable is for how long all endpoints of the service are still ejected or rest; zero
	// if one does neither, or if there is none.
	Unavailable time.Duration
	// Resting is for how long all of them rest; zero if one doesn't.
	Resting time.Duration
	// Unlisted says that no endpoint of the service is listed that accepts requests.
	Unlisted bool
	// Overloaded is for how long requests for the service have been refused for load.
	Overloaded time.Duration
	Caller     Caller
	Recent     Recent
}

// A Verdict is how a request ends.
type Verdict struct {
	// Err is what is logged. It is a *MayHaveRunError if the request may have run.
	Err error
	// Status is the HTTP status that the caller gets, unless Abort is true.
	Status int
	// RetryAfter is when the caller is told to come back.
	RetryAfter Band
	// Reason is the code of the failure in logs and metrics.
	Reason string
	// Final says that callers are not to send the request again by themselves, whatever the status
	// is: many do so after a 503.
	Final bool
	// Abort says that the caller's connection is broken off.
	Abort bool
}

// Decide returns how a request ends.
func Decide(r Request) Verdict {
	err := r.Err
	var notRun *ryeford.NotRunError
	if r.MayHaveRun && errors.As(err, &notRun) {
		// The last attempt has not run, but an earlier one may have.
		err = &ryeford.MayHaveRunError{Reason: notRun.Reason, Err: r.Last}
	}
	verdict := Verdict{Err: err, Status: statusOf(err), Reason: reasonOf(err), Abort: r.Begun}
	verdict.Final = verdict.Reason == string(ryeford.ReasonQuarantined)
	switch {
	case verdict.Status != http.StatusServiceUnavailable:
	case verdict.Final: // it is not load that holds the request: there is no crowd to spread
		verdict.RetryAfter = Band{From: r.earliestReturn(), To: r.earliestReturn()}
	default:
		verdict.RetryAfter = returnBand(r.earliestReturn(), r.Overloaded, r.Caller, r.Recent)
	}
	return verdict
}

// ClosesConnection reports whether the connection of a caller whose request was not
// admitted is closed after the response: because its rest may not be a request, or
// because another router may have a configuration that isn't stale.
func ClosesConnection(v *Verdict) bool {
	return v.Status == http.StatusRequestEntityTooLarge || v.Status == http.StatusBadRequest ||
		v.Reason == string(ryeford.ReasonStaleConfiguration)
}

// statusOf returns the HTTP status of a failure. A MayHaveRunError is looked for first:
// it may wrap the NotRunError of a later attempt, which promises nothing for the
// earlier ones.
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
// configuration no longer allows it, the caller is told what it would be told if it
// came back.
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

// PromisesNotRun reports whether callers take a status for the promise that a
// request has not run. An endpoint's response with such a status, but without the
// endpoint's statement that it has not run the request, is not passed on.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
