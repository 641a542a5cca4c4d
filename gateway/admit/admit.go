// Package admit decides whether a request that has been read is served, and with
// which failure it is refused if not:
//
// A router says that a route or a key does not exist only if it knows so; if its
// configuration is missing or may be out of date, it refuses with 503 and a
// Retry-After instead.
//
// The reason is that callers take 401 and 404 as final, while another router, or
// this one a moment later, may serve the request.
//
// The package also bounds what callers may send (body.go) and how long requests
// wait for a router that has just started (StartWait). It owns no state and does no
// I/O; it relies on package giveup for the failures.
package admit

import (
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/giveup"
)

// A State is what a router knows at the moment at which a request is admitted.
type State struct {
	// Configured and Listed say that a configuration and a list of endpoints have
	// been read since the process started.
	Configured, Listed bool
	// Superseded says that a newer configuration is known, which should be in force
	// here.
	Superseded bool
	// Reliable says that the configuration was confirmed so recently that no key of
	// it can have been revoked for too long: the lease is valid.
	Reliable bool
	// ServesKeys says that requests that need a key are served: the configuration is
	// reliable, or the operators allow it in an outage of its source.
	ServesKeys bool
	// RouteFound says that the configuration has a route for the request.
	RouteFound bool
	// NeedsKey says that the route is not public, and KeyFound that the request's
	// key belongs to a client account.
	NeedsKey, KeyFound bool
	// NoTimeLeft says that the router is stopping and would close its callers'
	// connections before the response is there.
	NoTimeLeft bool
}

// Check returns why a request is refused, or nil. It is a *ryeford.NotRunError or a
// *ryeford.InputError.
func Check(s State) error {
	switch {
	case !s.Configured || !s.Listed:
		return giveup.NotRun(ryeford.ReasonNotReady)
	case s.Superseded, !s.RouteFound && !s.Reliable:
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case !s.RouteFound:
		return &ryeford.InputError{Field: "path", Problem: "no such route", Status: http.StatusNotFound}
	case s.NoTimeLeft:
		return giveup.NotRun(ryeford.ReasonLeaving)
	case s.NeedsKey && keyInDoubt(s.ServesKeys, s.KeyFound, s.Reliable):
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case s.NeedsKey && !s.KeyFound:
		return &ryeford.InputError{Field: "key", Problem: "unknown", Status: http.StatusUnauthorized}
	}
	return nil
}

// A Sending is what a router knows before an attempt begins, and again right before the
// first byte of the request is sent to an endpoint, some time after it was admitted.
type Sending struct {
	// Hindrance is why the endpoint may not be sent the request, empty if it may.
	Hindrance ryeford.Reason
	// RouteFound says that the configuration still has a route for the request.
	RouteFound bool
	// NeedsKey says that the request was admitted for its key.
	NeedsKey bool
	// Reliable and ServesKeys are as in State.
	Reliable, ServesKeys bool
	// KeyFound says that the key still belongs to a client account.
	KeyFound bool
}

// CheckSend returns why a request must not be sent, or nil. It is a
// *ryeford.NotRunError, which is final unless it is OfEndpoint.
func CheckSend(s Sending) error {
	switch {
	case s.Hindrance != "":
		return giveup.NotRun(s.Hindrance)
	case !s.RouteFound && !s.Reliable:
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case !s.RouteFound:
		return giveup.NotRun(ryeford.ReasonRouteRemoved)
	case s.NeedsKey && keyInDoubt(s.ServesKeys, s.KeyFound, s.Reliable):
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case s.NeedsKey && !s.KeyFound:
		return giveup.NotRun(ryeford.ReasonKeyRevoked)
	}
	return nil
}

// OfEndpoint reports whether a reason of CheckSend is that of one endpoint: another one may serve the
// request.
func OfEndpoint(reason ryeford.Reason) bool {
	return reason == ryeford.ReasonLeaving || reason == ryeford.ReasonEvacuated || reason == ryeford.ReasonResting
}

// keyInDoubt reports whether nothing can be said of a request's key: keys are not served, or
// this one is unknown to a configuration that may lack a new key.
func keyInDoubt(served, found, reliable bool) bool {
	return !served || !found && !reliable
}

// CheckTime returns why a request can't be answered in the time that it has left, or
// nil: its deadline has passed, or no endpoint of its service has answered as fast as
// that lately. fastest is the time of their fastest response, zero if none is known.
// The error is a *ryeford.NotRunError.
func CheckTime(left, fastest time.Duration) error {
	if left <= 0 || left < fastest {
		return giveup.NotRun(ryeford.ReasonDeadline)
	}
	return nil
}

// startWaitShare is the part of a caller's remaining time for which its request may
// wait for a router that has just started: the rest is for a return, to this router or
// another.
const startWaitShare = 0.5

// StartWait returns how long a request may wait for the first configuration and the
// first list of endpoints: until patience has passed since the process started, but no
// longer than a part of the time for which its caller still waits. Zero or less means
// that it may not wait.
//
// When a whole fleet starts at once, all callers come back as soon as the routers listen
// again, some 30 ms before the configuration is read (with the wait no request of the worst
// second was refused, 14 without it). Later on, a router that knows nothing refuses at once,
// so that requests are not held through an outage of the store.
func StartWait(sinceStart, patience, left time.Duration) time.Duration {
	return min(patience-sinceStart, time.Duration(startWaitShare*float64(left)))
}
