// Package admit decides whether a request that has been read is served, and with
// which error it is refused otherwise.
//
// Rule: a router reports a route or a key as unknown only if its configuration is reliable.
// If the configuration is missing or may be out of date, the router refuses with 503 and a
// Retry-After instead.
//
// Why: callers treat 401 and 404 as final, although another router, or this one shortly
// after, may serve the request.
//
// The package also limits the size of bodies (body.go) and how long requests wait for a
// router that has just started (StartWait). It has no state and does no I/O; the errors come
// from package giveup.
package admit

import (
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/giveup"
)

// A State is the data on which the admission of a request depends.
type State struct {
	// Configured and EndpointsLoaded report that a configuration and a list of endpoints have been read
	// since the process started.
	Configured, EndpointsLoaded bool
	// Superseded reports that a newer configuration exists that should be in force here.
	Superseded bool
	// Reliable reports that the configuration lease is valid: the configuration was confirmed
	// so recently that a key in it can't have been revoked for longer than allowed.
	Reliable bool
	// ServesKeys reports that requests that need a key are served: the configuration is
	// reliable, or operators allow it while the configuration store is down.
	ServesKeys bool
	// RouteFound reports that the configuration has a route for the request.
	RouteFound bool
	// NeedsKey reports that the route is not public, and KeyFound that the request's key
	// belongs to a client account.
	NeedsKey, KeyFound bool
	// NoTimeLeft reports that the router is shutting down and would close the connection
	// before the response is complete.
	NoTimeLeft bool
}

// Check returns why a request is refused, or nil. The error is a *ryeford.NotRunError or a
// *ryeford.InputError.
func Check(s State) error {
	switch {
	case !s.Configured || !s.EndpointsLoaded:
		return giveup.NotRun(ryeford.ReasonNotReady)
	case s.Superseded, !s.RouteFound && !s.Reliable:
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case !s.RouteFound:
		return &ryeford.InputError{Field: "path", Problem: "no such route", Status: http.StatusNotFound}
	case s.NoTimeLeft:
		return giveup.NotRun(ryeford.ReasonLeaving)
	case s.NeedsKey && keyUnverified(s.ServesKeys, s.KeyFound, s.Reliable):
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case s.NeedsKey && !s.KeyFound:
		return &ryeford.InputError{Field: "key", Problem: "unknown", Status: http.StatusUnauthorized}
	}
	return nil
}

// A SendState is the state of a request and its endpoint, checked before an attempt begins and again
// right before the first byte is sent.
type SendState struct {
	// ExclusionReason is the exclusion reason of the endpoint, or empty.
	ExclusionReason ryeford.Reason
	// RouteFound reports that the configuration still has a route for the request.
	RouteFound bool
	// NeedsKey reports that the request was admitted because of its key.
	NeedsKey bool
	// Reliable and ServesKeys are as in State.
	Reliable, ServesKeys bool
	// KeyFound reports that the key still belongs to a client account.
	KeyFound bool
}

// CheckSend returns why a request must not be sent, or nil. The error is a
// *ryeford.NotRunError. It is final unless ConcernsEndpoint returns true for its reason.
func CheckSend(s SendState) error {
	switch {
	case s.ExclusionReason != "":
		return giveup.NotRun(s.ExclusionReason)
	case !s.RouteFound && !s.Reliable:
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case !s.RouteFound:
		return giveup.NotRun(ryeford.ReasonRouteRemoved)
	case s.NeedsKey && keyUnverified(s.ServesKeys, s.KeyFound, s.Reliable):
		return giveup.NotRun(ryeford.ReasonStaleConfiguration)
	case s.NeedsKey && !s.KeyFound:
		return giveup.NotRun(ryeford.ReasonKeyRevoked)
	}
	return nil
}

// ConcernsEndpoint reports whether a reason returned by CheckSend concerns only one endpoint, so
// that another endpoint may serve the request.
func ConcernsEndpoint(reason ryeford.Reason) bool {
	return reason == ryeford.ReasonLeaving || reason == ryeford.ReasonEvacuated || reason == ryeford.ReasonBackingOff
}

// keyUnverified reports whether a key can't be verified: keys are not served, or the key is
// unknown and the configuration may lack a new key.
func keyUnverified(served, found, reliable bool) bool {
	return !served || !found && !reliable
}

// CheckTime returns an error if a request can't be answered in the time left: its deadline
// has passed, or no endpoint of its service has recently answered within that time.
// minResponseTime is the shortest recent response time of the service, zero if unknown. The error is
// a *ryeford.NotRunError.
func CheckTime(left, minResponseTime time.Duration) error {
	if left <= 0 || left < minResponseTime {
		return giveup.NotRun(ryeford.ReasonDeadline)
	}
	return nil
}

// startWaitShare is the share of a caller's remaining time for which its request may wait for a
// router that has just started. The rest is left for a retry at this router or another one.
const startWaitShare = 0.5

// StartWait returns how long a request may wait for the first configuration and the
// first list of endpoints: until startTimeout has elapsed since the process started, limited to a
// share of the time left for the caller. If it is zero or less, the request may not wait.
//
// When a whole fleet starts at once, callers reconnect as soon as the routers listen, which is
// shortly before the configuration is read. Later on, a router without a configuration refuses at
// once, so that no requests are held during a store outage.
func StartWait(sinceStart, startTimeout, left time.Duration) time.Duration {
	return min(startTimeout-sinceStart, time.Duration(startWaitShare*float64(left)))
}
