package giveup

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestStatusOf guards against a status that promises that the request has not run although an earlier
// attempt may have.
func TestStatusOf(t *testing.T) {
	notRun := &ryeford.NotRunError{Reason: ryeford.ReasonOverload, RetryAfter: time.Second}
	for name, test := range map[string]struct {
		err    error
		status int
		reason string
	}{
		"not run":                         {notRun, http.StatusServiceUnavailable, "overload"},
		"an earlier attempt may have run": {&ryeford.MayHaveRunError{Reason: ryeford.ReasonOverload, Err: notRun}, http.StatusBadGateway, "overload"},
		"an earlier attempt may have run, deadline passed": {&ryeford.MayHaveRunError{Reason: ryeford.ReasonDeadline, Err: notRun}, http.StatusGatewayTimeout, "deadline"},
		"no such route": {&ryeford.InputError{Field: "path", Status: http.StatusNotFound}, http.StatusNotFound, "input"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, statusOf(test.err), test.status)
			assert.Equal(t, reasonOf(test.err), test.reason)
		})
	}
}

// TestDecide checks how a request ends that gets no response from an endpoint.
func TestDecide(t *testing.T) {
	lost := &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost}
	for _, row := range []struct {
		rule    string
		request Request
		status  int
		reason  ryeford.Reason
		abort   bool
	}{
		{"nothing was sent: not run", Request{Err: NotRun(ryeford.ReasonNoCandidate)}, 503, "no_candidate", false},
		{"every attempt was refused: not run", Request{Err: NotRun(ryeford.ReasonOverload), Last: NotRun(ryeford.ReasonOverload)}, 503, "overload", false},
		{"the last was refused, an earlier one may have run: no promise", Request{Err: NotRun(ryeford.ReasonOverload), Last: NotRun(ryeford.ReasonOverload), MayHaveRun: true}, 502, "overload", false},
		{"no endpoint is left after one that may have run: no promise", Request{Err: NotRun(ryeford.ReasonNoCandidate), Last: lost, MayHaveRun: true}, 502, "no_candidate", false},
		{"the attempt may have run: no promise", Request{Err: lost, Last: lost, MayHaveRun: true}, 502, "engine_lost", false},
		{"deadline passed, and it may have run", Request{Err: Stopped(ryeford.ReasonDeadline, true), MayHaveRun: true}, 504, "deadline", false},
		{"deadline passed before anything was sent: not run", Request{Err: Stopped(ryeford.ReasonDeadline, false)}, 503, "deadline", false},
		{"the caller has disconnected, and it may have run", Request{Err: Stopped(ryeford.ReasonCancelled, true), MayHaveRun: true}, 502, "cancelled", false},
		{"the router is shutting down, and it may have run", Request{Err: Stopped(ryeford.ReasonLeaving, true), MayHaveRun: true}, 502, "leaving", false},
		{"the router is shutting down before anything was sent", Request{Err: Stopped(ryeford.ReasonLeaving, false)}, 503, "leaving", false},
		{"the key was revoked: the refusal is final", Request{Err: NotRun(ryeford.ReasonKeyRevoked)}, 401, "key_taken", false},
		{"the key was revoked, but an attempt may have run", Request{Err: NotRun(ryeford.ReasonKeyRevoked), Last: lost, MayHaveRun: true}, 502, "key_taken", false},
		{"the route was removed: the refusal is final", Request{Err: NotRun(ryeford.ReasonRouteRemoved)}, 404, "route_removed", false},
		{"the route was removed, but an attempt may have run", Request{Err: NotRun(ryeford.ReasonRouteRemoved), Last: lost, MayHaveRun: true}, 502, "route_removed", false},
		{"quarantined: not run", Request{Err: Quarantined(time.Hour)}, 503, "quarantined", false},
		{"quarantined, and an attempt may have run", Request{Err: Quarantined(time.Hour), Last: lost, MayHaveRun: true}, 502, "quarantined", false},
		{"a response has begun: aborted", Request{Err: lost, Last: lost, MayHaveRun: true, ResponseStarted: true}, 502, "engine_lost", true},
	} {
		t.Run(row.rule, func(t *testing.T) {
			row.request.Caller.Left = time.Minute
			got := Decide(row.request)
			assert.Equal(t, got.Status, row.status)
			assert.Equal(t, got.Reason, string(row.reason))
			assert.Equal(t, got.RetryAfter.From > 0, row.status == http.StatusServiceUnavailable)
			assert.Equal(t, got.Abort, row.abort)
			assert.Equal(t, got.Final, row.reason == ryeford.ReasonQuarantined)
			if got.Final && got.Status == http.StatusServiceUnavailable {
				assert.Equal(t, got.RetryAfter, RetryInterval{From: time.Hour, To: time.Hour})
			}
			assert.Assert(t, !row.request.MayHaveRun || !PromisesNotRun(got.Status))
		})
	}
}

// TestNotRun checks the earliest retry time for each reason, which is zero if the configuration no
// longer allows the request.
func TestNotRun(t *testing.T) {
	for reason, want := range map[ryeford.Reason]time.Duration{
		ryeford.ReasonNotReady:           300 * time.Millisecond,
		ryeford.ReasonNoCandidate:        150 * time.Millisecond,
		ryeford.ReasonUnreachable:        150 * time.Millisecond,
		ryeford.ReasonStaleConfiguration: 100 * time.Millisecond,
		ryeford.ReasonKeyRevoked:         0,
		ryeford.ReasonRouteRemoved:       0,
		ryeford.ReasonLeaving:            10 * time.Millisecond,
		ryeford.ReasonBackingOff:         10 * time.Millisecond,
		ryeford.ReasonEvacuated:          10 * time.Millisecond,
		ryeford.ReasonOverload:           100 * time.Millisecond,
		ryeford.ReasonDeadline:           100 * time.Millisecond,
		ryeford.ReasonCancelled:          100 * time.Millisecond,
	} {
		assert.Equal(t, NotRun(reason).RetryAfter, want, string(reason))
		assert.Equal(t, NotRun(reason).Reason, reason)
	}
}

// TestPromisesNotRun checks which statuses of endpoints are not forwarded.
func TestPromisesNotRun(t *testing.T) {
	for status, want := range map[int]bool{
		408: true, 421: true, 429: true, 503: true,
		200: false, 400: false, 404: false, 500: false, 502: false, 504: false,
	} {
		assert.Equal(t, PromisesNotRun(status), want, "%d", status)
	}
}

// TestClosesConnection checks after which refusals a caller must reconnect.
func TestClosesConnection(t *testing.T) {
	for _, row := range []struct {
		rule string
		err  error
		want bool
	}{
		{"the rest of the body is unread", &ryeford.InputError{Status: 413}, true},
		{"the next data may not be a request", &ryeford.InputError{}, true},
		{"another router may have a newer configuration", NotRun(ryeford.ReasonStaleConfiguration), true},
		{"no other router would admit it", &ryeford.InputError{Status: 404}, false},
		{"the next request may be admitted", NotRun(ryeford.ReasonOverload), false},
	} {
		outcome := Decide(Request{Err: row.err})
		assert.Equal(t, ClosesConnection(&outcome), row.want, row.rule)
	}
}
